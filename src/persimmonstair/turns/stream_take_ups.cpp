#include "persimmonstair/turns/stream_take_ups.hpp"

#include <algorithm>

namespace persimmonstair::turns {

StreamTakeUps::Key StreamTakeUps::KeyOf(const schema::StreamTakeUp& record) {
  return {record.workspace, record.program, record.stream};
}

void StreamTakeUps::Apply(const schema::StreamTakeUp& record, base::Offset offset) {
  Stream& stream = streams_[KeyOf(record)];
  stream.expires_ms = std::max(stream.expires_ms, record.expires_ms);
  const std::uint64_t fence = offset.value + 1;
  const auto known = std::find_if(stream.attempts.begin(), stream.attempts.end(),
                                  [&](const auto& one) { return one.second.id == record.attempt; });
  if (known != stream.attempts.end()) {
    if (known->first >= fence) return;
    stream.attempts.erase(known);
  }
  stream.attempts[fence] = {record.attempt, record.event};
}

TakeUpOrder StreamTakeUps::Find(const schema::StreamTakeUp& record) const {
  TakeUpOrder order;
  const auto stream = streams_.find(KeyOf(record));
  if (stream == streams_.end()) return order;
  std::uint64_t newest_event = 0;
  for (const auto& [fence, attempt] : stream->second.attempts) {
    order.fence = fence;
    if (attempt.id == record.attempt) break;
    // Its caller had gone on without it.
    if (attempt.event < newest_event) continue;
    newest_event = attempt.event;
    if (attempt.event < record.event) order.least_fence = fence;
  }
  order.overtaken = record.event < newest_event;
  return order;
}

void StreamTakeUps::Expire(std::int64_t now_ms) {
  std::erase_if(streams_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::turns
