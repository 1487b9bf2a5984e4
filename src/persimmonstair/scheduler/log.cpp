#include <nlohmann/json.hpp>

#include "core.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::scheduler {
namespace {

constexpr std::chrono::seconds kLogSilence{2};
/// Records after which a stream's state is written again, before retention requires it.
constexpr std::uint64_t kSnapshotRecords = 20'000;

base::RecordId IdOf(const schema::Record& record) {
  return std::visit([](const auto& value) { return value.id; }, record);
}

template <class Result>
Result ConvertOutcome(AppendOutcome outcome) {
  return static_cast<Result>(outcome);
}

}  // namespace

base::RecordId Scheduler::Core::NextRecordId() {
  return {options_.process + "-s" + std::to_string(++last_record_)};
}

bool Scheduler::Core::LogReachable() const {
  return !log_failed_ && log_read_at_ && now_.monotonic - *log_read_at_ < kLogSilence;
}

bool Scheduler::Core::Ready() const {
  for (const auto& [stream, reader] : readers_) {
    if (!reader.Started()) return false;
  }
  return true;
}

void Scheduler::Core::AppendRecord(const base::StreamName& stream, const schema::Record& record) {
  appends_.Add(stream, IdOf(record), schema::EncodeRecord(record));
}

void Scheduler::Core::On(const AppendDone& event) {
  if (event.outcome != AppendOutcome::kAppended) log_failed_ = true;
  for (const auto& settled : appends_.OnDone(event)) Settle(settled);
}

void Scheduler::Core::Settle(const AppendQueue::Settled& settled) {
  if (settled.stream == kClaimsStream) {
    const auto result = ConvertOutcome<effects::AppendResult>(settled.outcome);
    return Perform(effects_.OnAppendResult(now_, settled.id, result));
  }
  if (settled.stream == kProgramsStream) {
    const auto result = ConvertOutcome<programs::AppendResult>(settled.outcome);
    return Perform(store_.OnAppendResult(now_, settled.id, result));
  }
  if (settled.outcome != AppendOutcome::kNotAppended) return;
  if (settled.stream == kControlStream) {
    keeper_.OnNotAppended(settled.id);
    limiter_.OnNotAppended(now_.monotonic, settled.id);
    return;
  }
  EndChange(settled.id,
            base::Fail(base::ErrorCode::kLogUnavailable, "the log did not take the change",
                       base::Verdict::kNotRun, std::chrono::seconds{2}));
}

void Scheduler::Core::On(const LogReadFailed& /*event*/) {
  log_failed_ = true;
  Perform(effects_.OnReadFailed(now_));
  Perform(store_.OnReadFailed(now_));
}

void Scheduler::Core::On(const LogRead& event) {
  const auto reader = readers_.find(event.stream);
  if (reader == readers_.end()) return;
  log_read_at_ = now_.monotonic;
  log_failed_ = false;
  const auto restore = [this, &event](const std::string& state) {
    return RestoreStream(event.stream, state);
  };
  const auto records = reader->second.OnRead(event, restore);
  for (const auto& [offset, record] : records) {
    if (event.stream == kCatalogueStream) ApplyCatalogue(offset, record);
    if (event.stream == kControlStream) ApplyControl(offset, record);
    if (event.stream == kClaimsStream) Perform(effects_.OnRecord(now_, offset, record));
    if (event.stream == kProgramsStream) Perform(store_.OnRecord(now_, offset, record));
  }
  if (event.stream == kClaimsStream) {
    // While the first record is still retained nothing has expired, and every key can be judged.
    const base::WallTime oldest_at = event.oldest.value == 0 ? base::WallTime{} : event.oldest_at;
    Perform(effects_.OnReadEnd(now_, event.oldest, oldest_at, event.at_end));
  } else if (event.stream == kProgramsStream) {
    Perform(store_.OnReadEnd(now_, event.oldest, event.at_end));
  }
}

void Scheduler::Core::ApplyCatalogue(base::Offset offset, const schema::Record& record) {
  const auto* change = std::get_if<schema::CatalogueChange>(&record);
  if (change == nullptr) return;
  const auto result = catalogue_.Apply(offset, *change);
  if (result) UseCatalogue();
  EndChange(change->id, result);
}

void Scheduler::Core::ApplyControl(base::Offset offset, const schema::Record& record) {
  const auto effect = registry_.Apply(offset, record);
  Perform(keeper_.OnRecord(now_.monotonic, offset, record, effect, registry_));
  UseLease();
  Perform(limiter_.OnRecord(now_.monotonic, record, effect, registry_));
  orders_.OnRecord(now_.monotonic, offset, record, effect, registry_);
  using Kind = membership::Effect::Kind;
  if (effect.kind == Kind::kReclaimed || effect.kind == Kind::kLeft ||
      effect.kind == Kind::kRegistered) {
    TakeOverFrom(effect.instance);
  }
  if (effect.kind == Kind::kReclaimed || effect.kind == Kind::kLeft) {
    Route(routing::PeerGone{effect.instance});
  }
}

void Scheduler::Core::On(const RecordsFetched& event) {
  std::vector<std::pair<base::Offset, schema::Record>> records;
  for (const LogEntry& entry : event.entries) {
    if (auto record = schema::DecodeRecord(entry.body)) {
      records.emplace_back(entry.offset, std::move(*record));
    }
  }
  Perform(store_.OnFetched(now_, event.failed, records));
}

std::string Scheduler::Core::StreamState(const base::StreamName& stream) const {
  if (stream == kCatalogueStream) return catalogue_.Snapshot();
  return nlohmann::json{{"registry", registry_.Snapshot()}, {"shares", limiter_.Snapshot()}}.dump();
}

bool Scheduler::Core::RestoreStream(const base::StreamName& stream, const std::string& state) {
  const auto json = nlohmann::json::parse(state, nullptr, false);
  if (!json.is_object()) return false;
  if (stream == kCatalogueStream) {
    if (!json.contains("version") || !json["version"].is_number_unsigned()) return false;
    if (!catalogue_.Restore(json["version"].get<std::uint64_t>(), state)) return false;
    UseCatalogue();
    return true;
  }
  if (!json.contains("registry") || !json.contains("shares")) return false;
  auto registry = membership::Registry::Restore(json["registry"].get<std::string>());
  if (!registry) return false;
  if (!limiter_.Restore(now_.monotonic, json["shares"].get<std::string>())) return false;
  registry_ = std::move(*registry);
  return true;
}

void Scheduler::Core::WriteSnapshots() {
  // The live instance with the lowest id writes; a second writer does no harm.
  const auto live = liveness_.Live(now_.monotonic);
  if (!Ready() || !LogReachable() || live.empty() || live.front() != options_.instance) return;
  const bool due = now_.monotonic - last_snapshot_write_ >= options_.retention / 2;
  for (const auto& stream : {kCatalogueStream, kControlStream}) {
    const StreamReader& reader = Reader(stream);
    if (reader.SinceSnapshot() == 0) continue;
    if (!due && reader.SinceSnapshot() < kSnapshotRecords) continue;
    last_snapshot_write_ = now_.monotonic;
    AppendRecord(
        stream, schema::StreamSnapshot{NextRecordId(), stream, reader.Next(), StreamState(stream)});
  }
}

}  // namespace persimmonstair::scheduler
