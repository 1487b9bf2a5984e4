#include "append_queue.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::scheduler {
namespace {

/// One call stays below this size, which log services accept.
constexpr std::size_t kMaxCallBytes = std::size_t{1} << 20U;
constexpr std::size_t kMaxCallRecords = 500;

}  // namespace

void AppendQueue::Add(const base::StreamName& stream, base::RecordId id, std::string text) {
  lanes_[stream].waiting.push_back({std::move(id), std::move(text)});
}

bool AppendQueue::TakeCallToken(base::TimePoint now) {
  tokens_ = std::min(kBurstCalls, tokens_ + base::ToSeconds(now - at_) * calls_per_s_);
  at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

Append AppendQueue::MakeCall(const base::StreamName& stream, Lane& lane) {
  Append append;
  append.append = {++last_call_};
  append.stream = stream;
  std::size_t bytes = 0;
  // A single record above the size limit is still sent, alone.
  while (!lane.waiting.empty() && append.ids.size() < kMaxCallRecords &&
         (append.ids.empty() || bytes + lane.waiting.front().text.size() <= kMaxCallBytes)) {
    bytes += lane.waiting.front().text.size();
    append.records.push_back(std::move(lane.waiting.front().text));
    append.ids.push_back(std::move(lane.waiting.front().id));
    lane.waiting.pop_front();
  }
  in_flight_[append.append] = {stream, append.ids};
  lane.in_flight = append.append;
  ++calls_;
  records_ += append.ids.size();
  return append;
}

std::vector<Append> AppendQueue::Flush(base::TimePoint now) {
  std::vector<Append> out;
  for (auto& [stream, lane] : lanes_) {
    if (lane.waiting.empty() || lane.in_flight.has_value()) continue;
    if (!TakeCallToken(now)) break;
    out.push_back(MakeCall(stream, lane));
  }
  return out;
}

std::vector<AppendQueue::Settled> AppendQueue::OnDone(const AppendDone& done) {
  std::vector<Settled> out;
  const auto it = in_flight_.find(done.append);
  if (it == in_flight_.end()) return out;
  for (auto& id : it->second.ids) out.push_back({it->second.stream, std::move(id), done.outcome});
  lanes_[it->second.stream].in_flight.reset();
  in_flight_.erase(it);
  return out;
}

std::size_t AppendQueue::Pending() const {
  std::size_t n = 0;
  for (const auto& [stream, lane] : lanes_) n += lane.waiting.size();
  for (const auto& [id, call] : in_flight_) n += call.ids.size();
  return n;
}

}  // namespace persimmonstair::scheduler
