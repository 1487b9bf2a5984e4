#include "standin/log_role.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

namespace persimmonstair::standin {
namespace {

namespace asio = boost::asio;

constexpr std::int64_t kMaxWaitMs = 30'000;
constexpr std::int64_t kMaxEntries = 10'000;
/// Interval at which a long poll checks whether its reader has disconnected.
constexpr std::chrono::milliseconds kLongPollCheckInterval{250};

std::int64_t WallMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Largest record. A larger one might not fit into the response of a read.
constexpr std::size_t kMaxRecordBytes = 7U << 20U;

bool HasLargeRecord(const Json& batch) {
  const Json& records = batch["records"];
  return std::any_of(records.begin(), records.end(), [](const Json& record) {
    return record["data"].get_ref<const std::string&>().size() > kMaxRecordBytes;
  });
}

bool ValidBatch(const Json& body) {
  const auto records = body.is_object() ? body.find("records") : body.end();
  if (!body.is_object() || records == body.end() || !records->is_array() || records->empty()) {
    return false;
  }
  return std::all_of(records->begin(), records->end(), [](const Json& record) {
    return record.is_object() && record.contains("id") && record["id"].is_string() &&
           record.contains("data") && record["data"].is_string();
  });
}

Json EntryJson(std::uint64_t offset, const std::string& id, const std::string& data) {
  Json entry;
  entry["offset"] = offset;
  entry["id"] = id;
  entry["data"] = data;
  return entry;
}

}  // namespace

struct LogRole::Stream {
  std::uint64_t NextOffset() const { return oldest_offset + records.size(); }
  /// Wakes all long polls of the stream.
  void WakeLongPolls() {
    for (asio::steady_timer* waiting : long_polls) waiting->cancel();
  }

  std::deque<Record> records;
  std::uint64_t oldest_offset = 0;
  std::set<asio::steady_timer*> long_polls;
};

LogRole::LogRole(asio::io_context& io, LogSettings settings)
    : io_(io),
      settings_(settings),
      random_(settings.seed),
      append_tokens_(std::max(1.0, settings.max_appends_per_s)),
      append_tokens_refilled_at_(Clock::now()) {}

LogRole::~LogRole() = default;

Task LogRole::Handle(Exchange& exchange) {
  const std::string method = exchange.method();
  const std::string stream = exchange.PathBetween("/v1/streams/", "/records");
  const std::string fetched = exchange.PathBetween("/v1/streams/", "/records/fetch");
  if (!stream.empty() && method == "POST") {
    co_await HandleAppend(exchange, stream);
  } else if (!stream.empty() && method == "GET") {
    co_await HandleRead(exchange, stream);
  } else if (!fetched.empty() && method == "POST") {
    co_await HandleFetch(exchange, fetched);
  } else if (exchange.path() == "/v1/stats") {
    co_await HandleStats(exchange);
  } else {
    co_await exchange.RespondError(404, "not_found", "unknown path", "not_run");
  }
}

LogRole::Stream& LogRole::GetStream(const std::string& name) {
  auto& slot = streams_[name];
  if (!slot) slot = std::make_unique<Stream>();
  DropExpiredRecords(*slot);
  return *slot;
}

void LogRole::DropExpiredRecords(Stream& stream) const {
  const std::int64_t now_ms = WallMillis();
  const auto retention_ms = static_cast<std::int64_t>(faults.retention_ms);
  while (!stream.records.empty()) {
    const bool too_old = retention_ms > 0 && stream.records.front().at_ms + retention_ms < now_ms;
    const bool too_many =
        faults.retention_records > 0 && stream.records.size() > faults.retention_records;
    if (!too_old && !too_many) return;
    stream.records.pop_front();
    ++stream.oldest_offset;
  }
}

void LogRole::OnFaultsChanged() {
  for (auto& [name, stream] : streams_) {
    DropExpiredRecords(*stream);
    stream->WakeLongPolls();
  }
}

bool LogRole::ConsumeAppendToken() {
  if (settings_.max_appends_per_s <= 0) return true;
  const auto now = Clock::now();
  const double passed_s = std::chrono::duration<double>(now - append_tokens_refilled_at_).count();
  append_tokens_refilled_at_ = now;
  append_tokens_ = std::min(std::max(1.0, settings_.max_appends_per_s),
                            append_tokens_ + passed_s * settings_.max_appends_per_s);
  if (append_tokens_ < 1) return false;
  append_tokens_ -= 1;
  return true;
}

std::uint64_t LogRole::AppendBatch(Stream& stream, Json batch) {
  const std::uint64_t first = stream.NextOffset();
  const std::int64_t at_ms = WallMillis();
  for (Json& record : batch["records"]) {
    stream.records.push_back({std::move(record["id"].get_ref<std::string&>()),
                              std::move(record["data"].get_ref<std::string&>()), at_ms});
    ++stored_records_;
  }
  ++appends_;
  DropExpiredRecords(stream);
  stream.WakeLongPolls();
  return first;
}

Task LogRole::HandleAppend(Exchange& exchange, const std::string& name) {
  if (exchange.request().body().size() > settings_.max_append_bytes) {
    co_await exchange.RespondError(413, "payload_too_large", "append batch exceeds the size limit",
                                   "not_run");
    co_return;
  }
  Json batch = Json::parse(exchange.request().body(), nullptr, false);
  if (!ValidBatch(batch)) {
    co_await exchange.RespondError(400, "invalid_request",
                                   "records must be a list of objects with string id and data",
                                   "not_run");
    co_return;
  }
  if (HasLargeRecord(batch)) {
    co_await exchange.RespondError(413, "payload_too_large", "record exceeds the size limit",
                                   "not_run");
    co_return;
  }
  if (ConsumeFault(faults.refuse_appends)) {
    ++refused_;
    co_await exchange.RespondError(503, "unavailable", "append refused", "not_run");
    co_return;
  }
  if (!ConsumeAppendToken()) {
    ++refused_;
    co_await exchange.RespondError(429, "rate_limited", "append rate limit exceeded", "not_run");
    co_return;
  }
  Json answer;
  answer["first_offset"] = AppendBatch(GetStream(name), std::move(batch));
  const bool lost = random_() % 1000 < faults.lose_append_per_mille;
  if (ConsumeFault(faults.lose_append_answers) || lost) exchange.set_fault(ResponseFault::kLose);
  co_await exchange.RespondJson(200, answer);
}

Json LogRole::ReadJson(Stream& stream, std::uint64_t from, std::uint64_t max_entries) const {
  std::uint64_t next = std::max(from, stream.oldest_offset);
  std::size_t bytes = 0;
  Json entries = Json::array();
  while (next < stream.NextOffset() && entries.size() < max_entries) {
    const Record& record = stream.records[next - stream.oldest_offset];
    bytes += record.data.size();
    if (!entries.empty() && bytes > settings_.max_read_bytes) break;
    entries.push_back(EntryJson(next, record.id, record.data));
    ++next;
  }
  Json out;
  out["entries"] = std::move(entries);
  out["next_offset"] = next;
  out["oldest_offset"] = stream.oldest_offset;
  out["oldest_at_ms"] = stream.records.empty() ? WallMillis() : stream.records.front().at_ms;
  out["at_end"] = next >= stream.NextOffset();
  return out;
}

Task LogRole::WaitForRecords(Stream& stream, Clock::time_point until) {
  asio::steady_timer timer(io_, until);
  stream.long_polls.insert(&timer);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  stream.long_polls.erase(&timer);
}

Task LogRole::HandleRead(Exchange& exchange, const std::string& name) {
  const auto from =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, exchange.QueryNumber("from", 0)));
  const auto max_entries =
      std::clamp<std::int64_t>(exchange.QueryNumber("max", 1000), 1, kMaxEntries);
  const auto wait_ms = std::clamp<std::int64_t>(exchange.QueryNumber("wait_ms", 0), 0, kMaxWaitMs);
  const auto deadline = Clock::now() + std::chrono::milliseconds(wait_ms);
  Stream& stream = GetStream(name);
  while (from >= stream.NextOffset() && Clock::now() < deadline && faults.outage.empty() &&
         !exchange.PeerGone()) {
    co_await WaitForRecords(stream, std::min(deadline, Clock::now() + kLongPollCheckInterval));
  }
  if (!exchange.usable()) co_return;
  // An outage that began during the wait applies to this read too.
  co_await ApplyOutage(faults, exchange);
  if (exchange.responded() || !exchange.usable()) co_return;
  DropExpiredRecords(stream);
  co_await exchange.RespondJson(200,
                                ReadJson(stream, from, static_cast<std::uint64_t>(max_entries)));
}

Task LogRole::HandleFetch(Exchange& exchange, const std::string& name) {
  const Json body = Json::parse(exchange.request().body(), nullptr, false);
  if (!body.is_object() || !body.contains("offsets") || !body["offsets"].is_array()) {
    co_await exchange.RespondError(400, "invalid_request", "offsets must be a list", "not_run");
    co_return;
  }
  const Stream& stream = GetStream(name);
  Json entries = Json::array();
  Json unread = Json::array();
  std::size_t bytes = 0;
  for (const Json& wanted : body["offsets"]) {
    if (!wanted.is_number_unsigned()) continue;
    const auto offset = wanted.get<std::uint64_t>();
    if (offset < stream.oldest_offset || offset >= stream.NextOffset()) continue;
    const Record& record = stream.records[offset - stream.oldest_offset];
    if (!entries.empty() && bytes + record.data.size() > settings_.max_read_bytes) {
      unread.push_back(offset);
      continue;
    }
    bytes += record.data.size();
    entries.push_back(EntryJson(offset, record.id, record.data));
  }
  Json out;
  out["entries"] = std::move(entries);
  out["unread"] = std::move(unread);
  co_await exchange.RespondJson(200, out);
}

Task LogRole::HandleStats(Exchange& exchange) {
  Json out;
  out["appends"] = appends_;
  out["refused"] = refused_;
  out["records"] = stored_records_;
  for (const auto& [name, stream] : streams_) {
    out["streams"][name]["oldest_offset"] = stream->oldest_offset;
    out["streams"][name]["next_offset"] = stream->NextOffset();
  }
  co_await exchange.RespondJson(200, out);
}

}  // namespace persimmonstair::standin
