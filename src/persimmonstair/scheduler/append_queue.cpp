#include "append_queue.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::scheduler {
namespace {

/// Maximum bytes of all records in one call, a size that log services accept.
constexpr std::size_t kMaxCallBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxCallRecords = 500;

}  // namespace

void AppendQueue::Add(const base::StreamName& stream, base::RecordId id, std::string text) {
  stream_queues_[stream].queued_records.push_back({std::move(id), std::move(text)});
}

bool AppendQueue::TakeCallToken(base::TimePoint now) {
  call_tokens_ =
      std::min(kBurstCalls, call_tokens_ + base::ToSeconds(now - refilled_at_) * calls_per_s_);
  refilled_at_ = now;
  if (call_tokens_ < 1) return false;
  call_tokens_ -= 1;
  return true;
}

Append AppendQueue::MakeCall(const base::StreamName& stream, StreamQueue& stream_queue) {
  Append append;
  append.append = {++last_call_};
  append.stream = stream;
  std::size_t bytes = 0;
  // A record that exceeds the size limit is sent in a call of its own.
  while (!stream_queue.queued_records.empty() && append.ids.size() < kMaxCallRecords &&
         (append.ids.empty() ||
          bytes + stream_queue.queued_records.front().text.size() <= kMaxCallBytes)) {
    bytes += stream_queue.queued_records.front().text.size();
    append.records.push_back(std::move(stream_queue.queued_records.front().text));
    append.ids.push_back(std::move(stream_queue.queued_records.front().id));
    stream_queue.queued_records.pop_front();
  }
  in_flight_[append.append] = {stream, append.ids};
  stream_queue.in_flight = append.append;
  ++call_count_;
  record_count_ += append.ids.size();
  return append;
}

std::vector<Append> AppendQueue::Flush(base::TimePoint now) {
  std::vector<Append> out;
  for (auto& [stream, stream_queue] : stream_queues_) {
    if (stream_queue.queued_records.empty() || stream_queue.in_flight.has_value()) continue;
    if (!TakeCallToken(now)) break;
    out.push_back(MakeCall(stream, stream_queue));
  }
  return out;
}

std::vector<AppendQueue::RecordOutcome> AppendQueue::OnDone(const AppendDone& done) {
  std::vector<RecordOutcome> out;
  const auto it = in_flight_.find(done.append);
  if (it == in_flight_.end()) return out;
  for (auto& id : it->second.ids) out.push_back({it->second.stream, std::move(id), done.outcome});
  stream_queues_[it->second.stream].in_flight.reset();
  in_flight_.erase(it);
  return out;
}

std::size_t AppendQueue::PendingRecords() const {
  std::size_t n = 0;
  for (const auto& [stream, stream_queue] : stream_queues_) n += stream_queue.queued_records.size();
  for (const auto& [id, call] : in_flight_) n += call.ids.size();
  return n;
}

}  // namespace persimmonstair::scheduler
