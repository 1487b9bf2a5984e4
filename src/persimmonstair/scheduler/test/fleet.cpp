#include "fleet.hpp"

#include <gtest/gtest.h>
#include <openssl/sha.h>

#include <nlohmann/json.hpp>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::scheduler::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{10};
constexpr base::Duration kLinkDelay{500};
constexpr std::int64_t kStartUnixSeconds = 1'700'000'000;

std::string Hex(const KeyDigest& digest) {
  static const char* const digits = "0123456789abcdef";
  std::string out;
  for (const std::uint8_t byte : digest) {
    out += digits[byte >> 4U];
    out += digits[byte & 15U];
  }
  return out;
}

nlohmann::json Entry() { return {{"owner", "test"}, {"class", "interactive"}}; }

nlohmann::json Key(const std::string& key, const std::string& workspace) {
  auto json = Entry();
  json["sha256"] = Hex(Fleet::DigestOf(key));
  if (workspace.empty()) {
    json["role"] = "operator";
  } else {
    json["workspace"] = workspace;
  }
  return json;
}

nlohmann::json Target(const std::string& kind, int number) {
  auto json = Entry();
  json["kind"] = kind;
  json["data_centre"] = "d" + std::to_string(1 + number % 3);
  json["address"] = "127.0.0.1";
  json["port"] = 9000 + number;
  json["slots"] = 4;
  return json;
}

nlohmann::json TestCatalogue(int instances) {
  nlohmann::json json;
  for (const char* name : {"north", "south"}) {
    auto workspace = Entry();
    workspace["rate_per_s"] = 50;
    workspace["burst"] = 100;
    workspace["program_budget_tokens"] = 100000;
    json["workspaces"][name] = workspace;
    json["keys"][std::string(name) + "-desk"] = Key(std::string(name) + "-key", name);
  }
  json["keys"]["operator"] = Key("operator-key", "");
  json["models"]["m"] = Entry();
  for (int n = 1; n <= 2; ++n) {
    auto engine = Target("engine", n);
    engine["models"] = {"m"};
    json["targets"]["engine-" + std::to_string(n)] = engine;
    auto service = Target("service", n + 10);
    service["routes"] = {"deposit", "quote", "opening-hours"};
    json["targets"]["service-" + std::to_string(n)] = service;
  }
  const auto route = [](bool open, bool idempotent) {
    auto entry = Entry();
    entry["path"] = "/run";
    entry["open"] = open;
    entry["idempotent"] = idempotent;
    return entry;
  };
  json["routes"] = {{"deposit", route(false, false)},
                    {"quote", route(false, true)},
                    {"opening-hours", route(true, true)}};
  for (int n = 1; n <= instances; ++n) {
    auto instance = Entry();
    instance["data_centre"] = "d" + std::to_string(1 + (n - 1) % 3);
    instance["floor_ppm"] = 200'000 / instances;
    json["instances"]["i" + std::to_string(n)] = instance;
  }
  return json;
}

}  // namespace

KeyDigest Fleet::DigestOf(const std::string& key) {
  KeyDigest out{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), out.data());
  return out;
}

Fleet::Fleet(int instances, std::uint64_t seed, base::Duration retention)
    : now_(std::chrono::seconds{1000}), seed_(seed) {
  nodes_.resize(static_cast<std::size_t>(instances));
  for (int n = 0; n < instances; ++n) {
    Options& options = nodes_[n].options;
    options.instance = {"i" + std::to_string(n + 1)};
    options.retention = retention;
    options.data_centre = {"d" + std::to_string(1 + n % 3)};
    for (int other = 0; other < instances; ++other) {
      if (other == n) continue;
      options.peers.push_back(
          {{"i" + std::to_string(other + 1)}, {"d" + std::to_string(1 + other % 3)}});
    }
  }
  for (const char* name : {"engine-1", "engine-2", "service-1", "service-2"}) targets[name];
}

void Fleet::Start() {
  schema::CatalogueChange change;
  change.id = {"seed"};
  const auto json = TestCatalogue(static_cast<int>(nodes_.size()));
  for (const auto& [section, entries] : json.items()) {
    for (const auto& [name, value] : entries.items()) {
      change.edits.push_back({section, name, 0, false, value.dump()});
    }
  }
  log.streams[{"catalogue"}].records.push_back(schema::EncodeRecord(change));
  for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) StartProcess(n);
  // A lease becomes usable only after the longest possible lease of an earlier process has ended.
  Run(std::chrono::seconds{12});
}

void Fleet::StartProcess(int instance) {
  Node& node = nodes_[instance];
  ++node.process_number;
  node.options.process = node.options.instance.value + "-" + std::to_string(node.process_number);
  node.options.incarnation = {node.process_number};
  node.options.seed = seed_ + static_cast<std::uint64_t>(instance);
  node.scheduler.emplace(node.options);
  node.alive = true;
  node.paused = false;
  node.read.clear();
  node.origins.clear();
  node.paused_events.clear();
}

void Fleet::Kill(int instance) {
  nodes_[instance].alive = false;
  nodes_[instance].scheduler.reset();
}

void Fleet::Restart(int instance) { StartProcess(instance); }

void Fleet::Resume(int instance) {
  nodes_[instance].paused = false;
  for (auto& event : std::exchange(nodes_[instance].paused_events, {})) {
    HandleEvent(instance, std::move(event));
  }
}

void Fleet::StartPartition(const std::set<int>& separated, bool log_unreachable) {
  for (const int n : separated) {
    nodes_[n].separated = true;
    nodes_[n].log_unreachable = log_unreachable;
  }
}

void Fleet::EndPartition() {
  for (Node& node : nodes_) node.separated = node.log_unreachable = false;
}

base::Now Fleet::Clock() const {
  return {now_, base::WallTime{std::chrono::seconds{kStartUnixSeconds} + now_.time_since_epoch()}};
}

std::string Fleet::IdempotencyKey(const std::string& text) const {
  return std::to_string(base::UnixMillis(Clock().wall) / 1000) + "." + text;
}

void Fleet::HandleEvent(int instance, Event event) {
  Node& node = nodes_[instance];
  if (!node.alive) return;
  if (node.paused) {
    node.paused_events.push_back(std::move(event));
    return;
  }
  auto actions = node.scheduler->Handle(Clock(), std::move(event));
  for (Action& action : actions) {
    std::visit([this, instance](auto& value) { ExecuteAction(instance, value); }, action);
  }
}

void Fleet::RunLater(base::Duration delay, std::function<void()> action) {
  scheduled_actions_.emplace(now_ + delay, std::move(action));
}

void Fleet::HandleEventLater(int instance, base::Duration delay, Event event) {
  const std::uint64_t process_number = nodes_[instance].process_number;
  RunLater(delay, [this, instance, process_number, event = std::move(event)] {
    if (nodes_[instance].process_number == process_number) HandleEvent(instance, event);
  });
}

void Fleet::Run(base::Duration duration, base::Duration step) {
  const base::TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += step;
    while (!scheduled_actions_.empty() && scheduled_actions_.begin()->first <= now_) {
      auto action = std::move(scheduled_actions_.begin()->second);
      scheduled_actions_.erase(scheduled_actions_.begin());
      action();
    }
    DeliverLogReads();
    for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
      // A paused process gets no ticks, so it detects the pause by a gap in time when it resumes.
      if (!nodes_[n].paused) HandleEvent(n, Tick{});
    }
  }
}

void Fleet::DeliverLogReads() {
  for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
    Node& node = nodes_[n];
    if (!node.alive || node.paused) continue;
    for (const auto& name : Scheduler::Streams()) {
      if (!CanReachLog(node)) {
        HandleEvent(n, LogReadFailed{name});
        continue;
      }
      FakeLog::Stream& stream = log.streams[name];
      std::size_t& next = node.read[name];
      LogRead read;
      read.stream = name;
      read.from = {next};
      for (next = std::max(next, stream.oldest); next < stream.records.size(); ++next) {
        read.entries.push_back({{next}, stream.records[next]});
      }
      read.next = {next};
      read.oldest = {stream.oldest};
      read.at_end = true;
      HandleEvent(n, std::move(read));
    }
  }
}

const Reply* Fleet::ReplyTo(base::RequestId request) const {
  const auto it = replies_.find(request);
  return it == replies_.end() ? nullptr : &it->second;
}

const Reply* Fleet::Wait(base::RequestId request, base::Duration max_duration) {
  const base::TimePoint end = now_ + max_duration;
  while (ReplyTo(request) == nullptr && now_ < end) Run(kStep);
  return ReplyTo(request);
}

base::RequestId Fleet::Send(int instance, CallerRequest request) {
  request.request = {++last_request_};
  const base::RequestId id = request.request;
  HandleEvent(instance, std::move(request));
  return id;
}

base::RequestId Fleet::OpenProgram(int instance, const std::string& key) {
  CallerRequest request;
  request.kind = CallKind::kOpenProgram;
  request.key = DigestOf(key);
  request.model = {"m"};
  return Send(instance, std::move(request));
}

std::string Fleet::MustOpen(int instance) {
  const Reply* reply = Wait(OpenProgram(instance));
  if (reply == nullptr || reply->status != 201) {
    ADD_FAILURE() << "program was not opened: " << (reply ? reply->body : "no answer");
    return "";
  }
  return nlohmann::json::parse(reply->body).at("id");
}

base::RequestId Fleet::Turn(int instance, const std::string& program, const std::string& text,
                            std::uint32_t turn, const std::string& key) {
  CallerRequest request;
  request.kind = CallKind::kTurn;
  request.key = DigestOf(key);
  request.program = {program};
  request.turn = turn;
  request.body =
      nlohmann::json{
          {"model", "m"}, {"max_tokens", 16}, {"messages", {{{"role", "user"}, {"content", text}}}}}
          .dump();
  return Send(instance, std::move(request));
}

base::RequestId Fleet::Service(int instance, const std::string& route,
                               const std::string& idempotency, const std::string& body,
                               const std::string& key) {
  CallerRequest request;
  request.kind = CallKind::kServiceCall;
  if (!key.empty()) request.key = DigestOf(key);
  request.route = {route};
  request.method = "POST";
  request.idempotency_key = idempotency;
  request.body = body;
  return Send(instance, std::move(request));
}

base::RequestId Fleet::Change(int instance, const std::string& section, const std::string& name,
                              std::uint64_t base_version, const std::string& value, bool remove) {
  nlohmann::json edit{{"section", section}, {"name", name}, {"base_version", base_version}};
  if (remove) {
    edit["remove"] = true;
  } else {
    edit["value"] = nlohmann::json::parse(value);
  }
  CallerRequest request;
  request.kind = CallKind::kChangeCatalogue;
  request.key = DigestOf("operator-key");
  request.body = nlohmann::json{{"reason", "test"}, {"edits", {edit}}}.dump();
  return Send(instance, std::move(request));
}

Status Fleet::StatusOf(int instance) const { return nodes_[instance].scheduler->status(Clock()); }

int Fleet::RunCount(const std::string& key) const {
  int out = 0;
  for (const auto& [name, target] : targets) {
    if (const auto it = target.runs.find(key); it != target.runs.end()) out += it->second;
  }
  return out;
}

std::string Fleet::CatalogueEntry(const std::string& section, const std::string& name) const {
  return TestCatalogue(static_cast<int>(nodes_.size())).at(section).at(name).dump();
}

int Fleet::IndexOf(const base::InstanceId& instance) const {
  for (int n = 0; n < static_cast<int>(nodes_.size()); ++n) {
    if (nodes_[n].options.instance == instance) return n;
  }
  return -1;
}

void Fleet::ExecuteAction(int instance, Reply& action) {
  Node& node = nodes_[instance];
  const auto origin = node.origins.find(action.request);
  if (origin == node.origins.end()) {
    replies_[action.request] = std::move(action);
    return;
  }
  schema::ForwardedReply reply{origin->second.second, action.status, action.headers, action.body};
  Deliver(instance, origin->second.first, reply);
  node.origins.erase(origin);
}

void Fleet::ExecuteAction(int instance, Append& action) {
  Node& node = nodes_[instance];
  if (!CanReachLog(node)) {
    return HandleEventLater(instance, milliseconds{1},
                            AppendDone{action.append, AppendOutcome::kNotAppended, {}});
  }
  auto& records = log.streams[action.stream].records;
  const base::Offset first{records.size()};
  for (auto& record : action.records) records.push_back(std::move(record));
  ++log.appends;
  AppendOutcome outcome = AppendOutcome::kAppended;
  if (log.lost_append_replies > 0) {
    --log.lost_append_replies;
    outcome = AppendOutcome::kUnknown;
  }
  HandleEventLater(instance, milliseconds{2}, AppendDone{action.append, outcome, first});
}

void Fleet::ExecuteAction(int instance, FetchRecords& action) {
  RecordsFetched fetched;
  fetched.stream = action.stream;
  fetched.failed = !CanReachLog(nodes_[instance]);
  const auto& stream = log.streams[action.stream];
  for (const auto& offset : action.offsets) {
    if (fetched.failed || offset.value < stream.oldest) continue;
    if (offset.value >= stream.records.size()) continue;
    fetched.entries.push_back({offset, stream.records[offset.value]});
  }
  HandleEventLater(instance, milliseconds{2}, std::move(fetched));
}

void Fleet::Deliver(int from, int to, const schema::PeerMessage& message) {
  if (to < 0 || !nodes_[to].alive || !CanReach(from, to)) return;
  PeerReceived received;
  received.from = nodes_[from].options.instance;
  received.incarnation = nodes_[from].options.incarnation;
  received.message = message;
  if (const auto* forwarded = std::get_if<schema::ForwardedRequest>(&message)) {
    received.request = {++last_request_};
    nodes_[to].origins[received.request] = {from, forwarded->request};
  }
  HandleEventLater(to, kLinkDelay, std::move(received));
}

void Fleet::ExecuteAction(int instance, SendPeer& action) {
  const int to = IndexOf(action.to);
  const bool delivered = to >= 0 && nodes_[to].alive && CanReach(instance, to);
  if (!delivered && action.reliable) {
    HandleEventLater(instance, kLinkDelay,
                     PeerSendFailed{action.to, std::move(action.message), false});
    return;
  }
  Deliver(instance, to, action.message);
}

void Fleet::ExecuteAction(int instance, BroadcastPeer& action) {
  for (int to = 0; to < static_cast<int>(nodes_.size()); ++to) {
    if (to != instance) Deliver(instance, to, action.message);
  }
}

void Fleet::ExecuteAction(int instance, scheduler::Stopped& action) {
  nodes_[instance].stopped = true;
  nodes_[instance].left = action.left;
}

void Fleet::ExecuteAction(int instance, CancelAttempt& action) {
  HandleEventLater(
      instance, kLinkDelay,
      TargetFailed{action.attempt, FailureKind::kCancelled, base::Verdict::kMayHaveRun, false});
}

TargetDone Fleet::MakeResponse(const Dispatch& dispatch, FakeTarget& target) {
  TargetDone done;
  done.attempt = dispatch.attempt;
  done.status = 200;
  if (dispatch.path == "/v1/load") {
    done.body = R"({"running":0,"waiting":0,"leaving":false})";
  } else if (dispatch.path == "/v1/programs") {
    nlohmann::json programs = nlohmann::json::array();
    for (const auto& it : target.held) programs.push_back({{"program", it}, {"tokens", 1}});
    done.body = nlohmann::json{{"programs", programs}}.dump();
  } else if (dispatch.method == "DELETE") {
    target.held.erase(dispatch.path.substr(std::string("/v1/programs/").size()));
    done.body = "{}";
  } else if (dispatch.path == "/v1/chat/completions") {
    target.held.insert(dispatch.headers.at("persimmonstair-program"));
    const std::string text = "answer " + std::to_string(target.received.size());
    done.body =
        nlohmann::json{
            {"id", "c"},
            {"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}}},
            {"usage", {{"prompt_tokens", 10}, {"completion_tokens", 5}}}}
            .dump();
    done.prompt_tokens = 10;
    done.completion_tokens = 5;
  } else {
    done.body = R"({"done":true})";
  }
  return done;
}

void Fleet::ExecuteAction(int instance, Dispatch& action) {
  FakeTarget& target = targets[action.target.value];
  if (target.mode == TargetMode::kRefuse) {
    return HandleEventLater(
        instance, milliseconds{1},
        TargetFailed{action.attempt, FailureKind::kConnectRefused, base::Verdict::kNotRun, false});
  }
  const bool internal = action.request.value == 0;
  if (!internal) {
    target.received.push_back(action);
    if (const auto key = action.headers.find("idempotency-key"); key != action.headers.end()) {
      ++target.runs[key->second];
    }
  }
  if (target.mode == TargetMode::kRespond || internal) {
    TargetDone done = MakeResponse(action, target);
    return HandleEventLater(instance, target.delay, std::move(done));
  }
  const bool closes = target.mode == TargetMode::kCloseAfterRun;
  HandleEventLater(
      instance, closes ? target.delay : action.first_byte_timeout,
      TargetFailed{action.attempt,
                   closes ? FailureKind::kConnectionClosed : FailureKind::kFirstByteTimeout,
                   base::Verdict::kMayHaveRun, false});
}

}  // namespace persimmonstair::scheduler::test
