#include <nlohmann/json.hpp>

#include "persimmonstair/schema/codec.hpp"
#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

/// The log counts as unreachable if no read succeeded for this long.
constexpr std::chrono::seconds kLogReadTimeout{2};
/// Number of records after which a snapshot of a stream is written even if the log's retention time
/// does not require one yet.
constexpr std::uint64_t kMaxRecordsSinceSnapshot = 20'000;

base::RecordId IdOf(const schema::Record& record) {
  return std::visit([](const auto& value) { return value.id; }, record);
}

template <class Result>
Result ConvertOutcome(AppendOutcome outcome) {
  return static_cast<Result>(outcome);
}

}  // namespace

base::RecordId Scheduler::Impl::NextRecordId() {
  return {options_.process + "-s" + std::to_string(++last_record_)};
}

bool Scheduler::Impl::LogReachable() const {
  return !log_failed_ && log_read_at_ && now_.monotonic - *log_read_at_ < kLogReadTimeout;
}

bool Scheduler::Impl::Ready() const {
  for (const auto& [stream, reader] : readers_) {
    if (!reader.CaughtUp()) return false;
  }
  return true;
}

void Scheduler::Impl::AppendRecord(const base::StreamName& stream, const schema::Record& record) {
  appends_.Add(stream, IdOf(record), schema::EncodeRecord(record));
}

void Scheduler::Impl::OnEvent(const AppendDone& event) {
  if (event.outcome != AppendOutcome::kAppended) log_failed_ = true;
  for (const auto& record_outcome : appends_.OnDone(event)) OnRecordOutcome(record_outcome);
}

void Scheduler::Impl::OnRecordOutcome(const AppendQueue::RecordOutcome& record_outcome) {
  if (record_outcome.stream == kClaimsStream) {
    const auto result = ConvertOutcome<effects::AppendResult>(record_outcome.outcome);
    return Perform(effects_.OnAppendResult(now_, record_outcome.id, result));
  }
  if (record_outcome.stream == kProgramsStream) {
    const auto result = ConvertOutcome<programs::AppendResult>(record_outcome.outcome);
    return Perform(store_.OnAppendResult(now_, record_outcome.id, result));
  }
  if (record_outcome.outcome != AppendOutcome::kNotAppended) return;
  if (record_outcome.stream == kControlStream) {
    lease_manager_.OnNotAppended(record_outcome.id);
    limiter_.OnNotAppended(now_.monotonic, record_outcome.id);
    return;
  }
  EndCatalogueChange(
      record_outcome.id,
      base::Fail(base::ErrorCode::kLogUnavailable, "the change was not appended to the log",
                 base::Verdict::kNotRun, std::chrono::seconds{2}));
}

void Scheduler::Impl::OnEvent(const LogReadFailed& /*event*/) {
  log_failed_ = true;
  Perform(effects_.OnReadFailed(now_));
  Perform(store_.OnReadFailed(now_));
}

void Scheduler::Impl::OnEvent(const LogRead& event) {
  const auto reader = readers_.find(event.stream);
  if (reader == readers_.end()) return;
  log_read_at_ = now_.monotonic;
  log_failed_ = false;
  const auto restore = [this, &event](const std::string& state) {
    return RestoreStream(event.stream, state);
  };
  const auto records = reader->second.OnRead(event, restore);
  for (const auto& [offset, record] : records) {
    if (event.stream == kCatalogueStream) ApplyCatalogueRecord(offset, record);
    if (event.stream == kControlStream) ApplyControlRecord(offset, record);
    if (event.stream == kClaimsStream) Perform(effects_.OnRecord(now_, offset, record));
    if (event.stream == kProgramsStream) Perform(store_.OnRecord(now_, offset, record));
  }
  if (event.stream == kClaimsStream) {
    // While the record at offset 0 is retained, no record has expired, and the claim table is
    // complete for every key.
    const base::WallTime oldest_at = event.oldest.value == 0 ? base::WallTime{} : event.oldest_at;
    Perform(effects_.OnReadEnd(now_, event.oldest, oldest_at, event.at_end));
  } else if (event.stream == kProgramsStream) {
    Perform(store_.OnReadEnd(now_, event.oldest, event.at_end));
  }
}

void Scheduler::Impl::ApplyCatalogueRecord(base::Offset offset, const schema::Record& record) {
  const auto* change = std::get_if<schema::CatalogueChange>(&record);
  if (change == nullptr) return;
  const auto result = catalogue_.Apply(offset, *change);
  if (result) PropagateCatalogue();
  EndCatalogueChange(change->id, result);
}

void Scheduler::Impl::ApplyControlRecord(base::Offset offset, const schema::Record& record) {
  const auto effect = registry_.Apply(offset, record);
  Perform(lease_manager_.OnRecord(now_.monotonic, offset, record, effect, registry_));
  PropagateLease();
  Perform(limiter_.OnRecord(now_.monotonic, record, effect, registry_));
  order_lease_.OnRecord(now_.monotonic, offset, record, effect, registry_);
  using Kind = membership::Effect::Kind;
  if (effect.kind == Kind::kReclaimed || effect.kind == Kind::kLeft ||
      effect.kind == Kind::kRegistered) {
    TakeOverFrom(effect.instance);
  }
  if (effect.kind == Kind::kReclaimed || effect.kind == Kind::kLeft) {
    Route(routing::PeerGone{effect.instance});
  }
}

void Scheduler::Impl::OnEvent(const RecordsFetched& event) {
  std::vector<std::pair<base::Offset, schema::Record>> records;
  for (const LogEntry& entry : event.entries) {
    if (auto record = schema::DecodeRecord(entry.body)) {
      records.emplace_back(entry.offset, std::move(*record));
    }
  }
  Perform(store_.OnFetched(now_, event.failed, records));
}

std::string Scheduler::Impl::StreamState(const base::StreamName& stream) const {
  if (stream == kCatalogueStream) return catalogue_.Snapshot();
  return nlohmann::json{{"registry", registry_.Snapshot()}, {"shares", limiter_.Snapshot()}}.dump();
}

bool Scheduler::Impl::RestoreStream(const base::StreamName& stream, const std::string& state) {
  const auto json = nlohmann::json::parse(state, nullptr, false);
  if (!json.is_object()) return false;
  if (stream == kCatalogueStream) {
    if (!json.contains("version") || !json["version"].is_number_unsigned()) return false;
    if (!catalogue_.Restore(json["version"].get<std::uint64_t>(), state)) return false;
    PropagateCatalogue();
    return true;
  }
  if (!json.contains("registry") || !json.contains("shares")) return false;
  auto registry = membership::Registry::Restore(json["registry"].get<std::string>());
  if (!registry) return false;
  if (!limiter_.Restore(now_.monotonic, json["shares"].get<std::string>())) return false;
  registry_ = std::move(*registry);
  return true;
}

void Scheduler::Impl::WriteSnapshots() {
  // The live instance with the lowest id writes. If views differ and two instances write, the
  // second snapshot does no harm.
  const auto live = liveness_.Live(now_.monotonic);
  if (!Ready() || !LogReachable() || live.empty() || live.front() != options_.instance) return;
  const bool due = now_.monotonic - last_snapshot_write_ >= options_.retention / 2;
  for (const auto& stream : {kCatalogueStream, kControlStream}) {
    const StreamReader& reader = Reader(stream);
    if (reader.RecordsSinceSnapshot() == 0) continue;
    if (!due && reader.RecordsSinceSnapshot() < kMaxRecordsSinceSnapshot) continue;
    last_snapshot_write_ = now_.monotonic;
    AppendRecord(stream, schema::StreamSnapshot{NextRecordId(), stream, reader.NextOffset(),
                                                StreamState(stream)});
  }
}

}  // namespace persimmonstair::scheduler
