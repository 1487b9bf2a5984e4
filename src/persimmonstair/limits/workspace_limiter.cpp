#include "workspace_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace persimmonstair::limits {
namespace {

constexpr double kWhole = 1'000'000;
// Sums of fractions lent by several instances may miss one by a rounding error of this size.
constexpr double kRounding = 1e-9;
constexpr base::Duration kLongestRetry = std::chrono::seconds{30};

}  // namespace

bool Context::FloorUsable(base::TimePoint now) const {
  return faults.no_lease_check ? lease.registered : lease.FloorUsable(now);
}

bool Context::LeasedUsable(base::TimePoint now) const {
  return faults.no_lease_check ? lease.registered : lease.LeasedUsable(now);
}

base::RecordId Context::NextId() {
  return base::RecordId{self.value + "." + process + ".l" + std::to_string(++last_id)};
}

std::size_t Context::Random(std::size_t below) { return below == 0 ? 0 : random() % below; }

void WorkspaceLimiter::SetLimit(base::TimePoint now, const Limit& limit) {
  Refresh(now);
  limit_ = limit;
  floor_.SetLimits(now, limit.rate_per_s * floor_share_, limit.burst * floor_share_);
  leased_.SetLimits(now, limit.rate_per_s * leased_share_, limit.burst * leased_share_);
}

std::uint32_t WorkspaceLimiter::LeasedPpm() const {
  const std::uint32_t held = context_.table.Held(id_, context_.self);
  if (!pending_ || context_.faults.keep_share_while_moving) return held;
  return held - std::min(held, pending_->ppm);
}

void WorkspaceLimiter::Refresh(base::TimePoint now) {
  // Before that, an earlier process under this id may use the same shares. Once started, an expired
  // lease stops the use of tokens but not the refill: nobody else has the share until it is
  // reclaimed.
  const bool started = context_.lease.registered && now >= context_.lease.usable_from;
  const double floor = started ? context_.floors.Current() / kWhole : 0;
  const double leased = started ? LeasedPpm() / kWhole : 0;
  if (floor != floor_share_) {
    floor_share_ = floor;
    floor_.SetLimits(now, limit_.rate_per_s * floor, limit_.burst * floor);
  }
  if (leased != leased_share_) {
    leased_share_ = leased;
    leased_.SetLimits(now, limit_.rate_per_s * leased, limit_.burst * leased);
  }
}

void WorkspaceLimiter::Restart(base::TimePoint now) {
  pending_.reset();
  floor_share_ = 0;
  leased_share_ = 0;
  floor_.SetLimits(now, 0, 0);
  leased_.SetLimits(now, 0, 0);
  floor_.Clear();
  leased_.Clear();
  Refresh(now);
}

double WorkspaceLimiter::LoanTokens() const {
  double sum = 0;
  for (const Loan& loan : loans_) sum += loan.tokens;
  return sum;
}

double WorkspaceLimiter::Available(base::TimePoint now) {
  Refresh(now);
  ForgetExpired(now);
  double sum = LoanTokens();
  if (context_.LeasedUsable(now)) sum += leased_.Level(now);
  if (context_.FloorUsable(now)) sum += floor_.Level(now);
  return sum;
}

SharesInUse WorkspaceLimiter::Shares(base::TimePoint now) {
  Refresh(now);
  SharesInUse out;
  if (context_.FloorUsable(now)) {
    out.floor_ppm = static_cast<std::uint32_t>(std::lround(floor_share_ * kWhole));
  }
  if (context_.LeasedUsable(now)) {
    out.leased_ppm = static_cast<std::uint32_t>(std::lround(leased_share_ * kWhole));
  }
  return out;
}

bool WorkspaceLimiter::TakeOne(base::TimePoint now) {
  if (Available(now) < 1 - kRounding) return false;
  double left = 1;
  context_.counters.admitted_with_loan += loans_.empty() ? 0 : 1;
  // Loans first, because they expire.
  for (Loan& loan : loans_) {
    const double part = std::min(left, loan.tokens);
    loan.tokens -= part;
    left -= part;
  }
  std::erase_if(loans_, [](const Loan& loan) { return loan.tokens <= 0; });
  if (context_.LeasedUsable(now)) {
    const double part = std::min(left, leased_.Level(now));
    leased_.Take(part);
    left -= part;
  }
  if (context_.FloorUsable(now)) floor_.Take(std::min(left, floor_.Level(now)));
  ++context_.counters.admitted;
  return true;
}

AdmitResult WorkspaceLimiter::Admit(base::TimePoint now, base::RequestId request) {
  ++arrivals_;
  if (waiting_.empty() && TakeOne(now)) return {{Decision::kAdmitted, {}}, {}};
  if (waiting_.size() >= context_.options.max_waiting) {
    ++context_.counters.refused;
    return {{Decision::kRefused, RetryAfter()}, {}};
  }
  waiting_.push_back({request, now + context_.options.hold});
  LimiterOutput out = Pump(now);
  if (std::erase(out.admitted, request) > 0) return {{Decision::kAdmitted, {}}, std::move(out)};
  return {{Decision::kWaiting, {}}, std::move(out)};
}

void WorkspaceLimiter::Cancel(base::RequestId request) {
  std::erase_if(waiting_, [&](const Waiting& entry) { return entry.request == request; });
}

LimiterOutput WorkspaceLimiter::RefuseAll() {
  LimiterOutput out;
  for (const Waiting& entry : waiting_) out.refused.push_back({entry.request, {}});
  context_.counters.refused += waiting_.size();
  waiting_.clear();
  return out;
}

LimiterOutput WorkspaceLimiter::Pump(base::TimePoint now) {
  LimiterOutput out;
  RefuseExpired(now, out);
  Serve(now, out);
  if (!waiting_.empty()) Borrow(now, out);
  return out;
}

void WorkspaceLimiter::Serve(base::TimePoint now, LimiterOutput& out) {
  while (!waiting_.empty() && TakeOne(now)) {
    out.admitted.push_back(waiting_.front().request);
    waiting_.pop_front();
  }
}

void WorkspaceLimiter::RefuseExpired(base::TimePoint now, LimiterOutput& out) {
  while (!waiting_.empty() && waiting_.front().deadline <= now) {
    out.refused.push_back({waiting_.front().request, RetryAfter()});
    waiting_.pop_front();
    ++context_.counters.refused;
  }
}

base::Duration WorkspaceLimiter::RetryAfter() const {
  if (limit_.rate_per_s <= 0) return kLongestRetry;
  // The fleet gets one token in 1/rate; those who wait here go first.
  const double seconds = (static_cast<double>(waiting_.size()) + 1) / limit_.rate_per_s;
  const auto wait = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, base::ToSeconds(kLongestRetry))));
  return std::max(wait, context_.options.hold);
}

base::TimePoint WorkspaceLimiter::NextDeadline() const {
  base::TimePoint next = waiting_.front().deadline;
  if (current_) return std::min(next, current_->sent + context_.options.loan_timeout);
  return std::min(next, next_round_);
}

}  // namespace persimmonstair::limits
