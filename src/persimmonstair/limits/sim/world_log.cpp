#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "persimmonstair/schema/codec.hpp"
#include "sim/process.hpp"
#include "sim/world.hpp"

// Simulates the log service and each process's access to it.
namespace persimmonstair::limits::sim {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr base::Duration kAppendInterval = milliseconds{60};
constexpr base::Duration kAppendTimeout = milliseconds{2'000};

base::RecordId IdOf(const schema::Record& record) {
  return std::visit([](const auto& value) { return value.id; }, record);
}

bool InForce(const std::map<std::size_t, base::TimePoint>& map, std::size_t key,
             base::TimePoint now) {
  const auto it = map.find(key);
  return it != map.end() && now < it->second;
}

}  // namespace

bool World::LogReachable(std::size_t instance) const {
  return now_ >= log_down_until_ && !InForce(log_unreachable_until_, instance, now_) &&
         !InForce(partitioned_until_, instance % plan_.data_centres, now_);
}

bool World::CanReach(std::size_t a, std::size_t b) const {
  const std::size_t from = a % plan_.data_centres;
  const std::size_t to = b % plan_.data_centres;
  if (from == to) return true;
  return !InForce(partitioned_until_, from, now_) && !InForce(partitioned_until_, to, now_) &&
         !InForce(peers_disconnected_until_, from, now_) &&
         !InForce(peers_disconnected_until_, to, now_);
}

void World::Read(Process& process) {
  if (!LogReachable(process.instance) || InForce(unreadable_until_, process.instance, now_)) return;
  process.last_read = now_;
  const base::Duration lag =
      now_ < log_slow_until_ ? milliseconds{RandomBetween(0, 3'000)} : base::Duration{0};
  const base::TimePoint local = process.LocalTime(now_);
  while (process.registry.Next().value < log_.size()) {
    const base::Offset offset = process.registry.Next();
    if (log_times_[offset.value] > now_ - lag) break;
    const schema::Record& record = log_[offset.value];
    const membership::Effect effect = process.registry.Apply(offset, record);
    process.lease_manager.OnRecord(local, offset, record, effect, process.registry);
    process.limiter.SetLease(local, process.lease_manager.View());
    process.limiter.OnRecord(local, record, effect, process.registry);
  }
}

void World::Flush(const std::shared_ptr<Process>& process) {
  Process& p = *process;
  if (p.queue.empty() || p.append_in_flight || now_ - p.last_append < kAppendInterval) return;
  p.last_append = now_;
  p.append_in_flight = true;
  const std::uint64_t number = ++p.append_number;
  After(kAppendTimeout, process, [process, number] {
    if (process->append_number == number) process->append_in_flight = false;
  });
  Append(process, std::exchange(p.queue, {}));
}

void World::Append(const std::shared_ptr<Process>& process, std::vector<schema::Record> records) {
  const std::uint64_t number = process->append_number;
  if (!LogReachable(process->instance)) {
    // Half of the failures are reported as certain; the others have an unknown outcome and time
    // out.
    if (RandomUnit() < 0.5) return;
    After(milliseconds{1}, process, [this, process, number, records = std::move(records)] {
      if (process->append_number == number) process->append_in_flight = false;
      for (const auto& record : records) {
        process->lease_manager.OnNotAppended(IdOf(record));
        process->limiter.OnNotAppended(process->LocalTime(now_), IdOf(record));
      }
      process->limiter.SetLease(process->LocalTime(now_), process->lease_manager.View());
    });
    return;
  }
  const bool late = Happens(plan_.probabilities.late_append) || now_ < log_slow_until_;
  const base::Duration delay =
      microseconds{late ? RandomBetween(500, 10'000'000) : RandomBetween(500, 5'000)};
  const bool lost_answer = late || Happens(plan_.probabilities.lose_answer);
  const bool repeated = Happens(plan_.probabilities.repeat_append);
  if (repeated) {
    After(delay + milliseconds{RandomBetween(1, 5'000)}, nullptr,
          [this, records] { AddToLog(records); });
  }
  After(delay, nullptr, [this, process, number, lost_answer, records = std::move(records)] {
    AddToLog(records);
    if (lost_answer || now_ < log_down_until_) return;
    After(microseconds{RandomBetween(500, 3'000)}, process, [process, number] {
      if (process->append_number == number) process->append_in_flight = false;
    });
  });
}

void World::AddToLog(const std::vector<schema::Record>& records) {
  if (now_ < log_down_until_) return;
  ++totals_.appends;
  for (const schema::Record& record : records) {
    log_.push_back(record);
    log_times_.push_back(now_);
    ++totals_.records;
    if (count_bytes_) totals_.record_bytes += schema::EncodeRecord(record).size();
  }
}

}  // namespace persimmonstair::limits::sim
