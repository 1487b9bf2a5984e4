#include "persimmonstair/membership/lease.hpp"

#include <chrono>
#include <iterator>

namespace persimmonstair::membership {

LeaseTimes ScaledTo(LeaseTimes times, std::size_t instances) {
  if (times.fleet_renewals_per_s == 0) return times;
  const base::Duration renew_interval =
      std::chrono::duration_cast<base::Duration>(std::chrono::seconds{1}) * instances /
      times.fleet_renewals_per_s;
  if (renew_interval <= times.renew_interval) return times;
  times.lease = times.lease * renew_interval.count() / times.renew_interval.count();
  times.renew_interval = renew_interval;
  return times;
}

void Output::Add(Output other) {
  records.insert(records.end(), std::make_move_iterator(other.records.begin()),
                 std::make_move_iterator(other.records.end()));
  messages.insert(messages.end(), std::make_move_iterator(other.messages.begin()),
                  std::make_move_iterator(other.messages.end()));
}

}  // namespace persimmonstair::membership
