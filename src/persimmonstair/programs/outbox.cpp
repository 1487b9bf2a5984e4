#include "outbox.hpp"

#include <utility>

namespace persimmonstair::programs {

base::RecordId Outbox::NewId() {
  return {options_.instance.value + "." + std::to_string(options_.incarnation.value) + ".p" +
          std::to_string(++next_)};
}

void Outbox::Send(const base::Now& now, const base::RecordId& id, schema::Record record,
                  ProgramActions& out) {
  out.emplace_back(AppendRecord{id, record});
  records_[id] = Item{std::move(record), AppendState::kInFlight, now.monotonic};
}

void Outbox::OnResult(const base::RecordId& id, AppendResult result) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  if (result == AppendResult::kAppended) it->second.state = AppendState::kAppended;
  if (result == AppendResult::kUnknown) it->second.state = AppendState::kUnknown;
  if (result == AppendResult::kNotAppended) it->second.state = AppendState::kMissing;
}

void Outbox::OnReadToEnd() {
  for (auto& [id, item] : records_) {
    if (item.state == AppendState::kUnknown) item.state = AppendState::kMissing;
  }
}

void Outbox::ResendMissing(const base::Now& now, ProgramActions& out) {
  for (auto& [id, item] : records_) {
    if (item.state != AppendState::kMissing) continue;
    if (now.monotonic - item.sent_at < options_.repeat_interval) continue;
    item.state = AppendState::kInFlight;
    item.sent_at = now.monotonic;
    out.emplace_back(AppendRecord{id, item.record});
  }
}

}  // namespace persimmonstair::programs
