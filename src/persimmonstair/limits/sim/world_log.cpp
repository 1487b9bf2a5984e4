#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "persimmonstair/schema/codec.hpp"
#include "sim/process.hpp"
#include "sim/world.hpp"

// The log service and each process's access to it.
namespace persimmonstair::limits::sim {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr base::Duration kAppendInterval = milliseconds{60};
constexpr base::Duration kAppendTimeout = milliseconds{2'000};

base::RecordId IdOf(const schema::Record& record) {
  return std::visit([](const auto& value) { return value.id; }, record);
}

bool Until(const std::map<std::size_t, base::TimePoint>& map, std::size_t key,
           base::TimePoint now) {
  const auto it = map.find(key);
  return it != map.end() && now < it->second;
}

}  // namespace

bool World::LogReachable(std::size_t instance) const {
  return now_ >= log_down_until_ && !Until(blind_until_, instance, now_) &&
         !Until(cut_until_, instance % plan_.data_centres, now_);
}

bool World::CanTalk(std::size_t a, std::size_t b) const {
  const std::size_t from = a % plan_.data_centres;
  const std::size_t to = b % plan_.data_centres;
  if (from == to) return true;
  return !Until(cut_until_, from, now_) && !Until(cut_until_, to, now_) &&
         !Until(split_until_, from, now_) && !Until(split_until_, to, now_);
}

void World::Read(Process& process) {
  if (!LogReachable(process.instance) || Until(read_blind_until_, process.instance, now_)) return;
  process.last_read = now_;
  const base::Duration lag =
      now_ < log_slow_until_ ? milliseconds{Between(0, 3'000)} : base::Duration{0};
  const base::TimePoint local = process.Local(now_);
  while (process.registry.Next().value < log_.size()) {
    const base::Offset offset = process.registry.Next();
    if (log_at_[offset.value] > now_ - lag) break;
    const schema::Record& record = log_[offset.value];
    const membership::Effect effect = process.registry.Apply(offset, record);
    process.keeper.OnRecord(local, offset, record, effect, process.registry);
    process.limiter.SetLease(local, process.keeper.View());
    process.limiter.OnRecord(local, record, effect, process.registry);
  }
}

void World::Flush(const std::shared_ptr<Process>& process) {
  Process& p = *process;
  if (p.queue.empty() || p.in_flight || now_ - p.last_append < kAppendInterval) return;
  p.last_append = now_;
  p.in_flight = true;
  const std::uint64_t number = ++p.append;
  After(kAppendTimeout, process, [process, number] {
    if (process->append == number) process->in_flight = false;
  });
  Append(process, std::exchange(p.queue, {}));
}

void World::Append(const std::shared_ptr<Process>& process, std::vector<schema::Record> records) {
  const std::uint64_t number = process->append;
  if (!LogReachable(process->instance)) {
    // Half of the failures are certain, the others end with a timeout.
    if (Unit() < 0.5) return;
    After(milliseconds{1}, process, [this, process, number, records = std::move(records)] {
      if (process->append == number) process->in_flight = false;
      for (const auto& record : records) {
        process->keeper.OnNotAppended(IdOf(record));
        process->limiter.OnNotAppended(process->Local(now_), IdOf(record));
      }
      process->limiter.SetLease(process->Local(now_), process->keeper.View());
    });
    return;
  }
  const bool late = Chance(plan_.chances.late_append) || now_ < log_slow_until_;
  const base::Duration delay = microseconds{late ? Between(500, 10'000'000) : Between(500, 5'000)};
  const bool lost_answer = late || Chance(plan_.chances.lose_answer);
  const bool repeated = Chance(plan_.chances.repeat_append);
  if (repeated) {
    After(delay + milliseconds{Between(1, 5'000)}, nullptr,
          [this, records] { TakeEffect(records); });
  }
  After(delay, nullptr, [this, process, number, lost_answer, records = std::move(records)] {
    TakeEffect(records);
    if (lost_answer || now_ < log_down_until_) return;
    After(microseconds{Between(500, 3'000)}, process, [process, number] {
      if (process->append == number) process->in_flight = false;
    });
  });
}

void World::TakeEffect(const std::vector<schema::Record>& records) {
  if (now_ < log_down_until_) return;
  ++totals_.appends;
  for (const schema::Record& record : records) {
    log_.push_back(record);
    log_at_.push_back(now_);
    ++totals_.records;
    if (count_bytes_) totals_.record_bytes += schema::EncodeRecord(record).size();
  }
}

}  // namespace persimmonstair::limits::sim
