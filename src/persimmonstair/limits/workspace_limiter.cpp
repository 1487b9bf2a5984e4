#include "workspace_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace persimmonstair::limits {
namespace {

constexpr double kPpmPerUnit = 1'000'000;
// Fractions of a token lent by several instances may add up to slightly less than one token.
constexpr double kRoundingTolerance = 1e-9;
constexpr base::Duration kLongestRetryAfter = std::chrono::seconds{30};

}  // namespace

bool LimiterContext::ReservedShareUsable(base::TimePoint now) const {
  return faults.no_lease_check ? lease.registered : lease.ReservedShareUsable(now);
}

bool LimiterContext::LeaseValid(base::TimePoint now) const {
  return faults.no_lease_check ? lease.registered : lease.LeaseValid(now);
}

base::RecordId LimiterContext::NextId() {
  return base::RecordId{self.value + "." + process + ".l" + std::to_string(++last_id)};
}

std::size_t LimiterContext::Random(std::size_t below) { return below == 0 ? 0 : random() % below; }

void WorkspaceLimiter::SetLimit(base::TimePoint now, const Limit& limit) {
  ApplyShares(now);
  limit_ = limit;
  reserved_.SetLimits(now, limit.rate_per_s * reserved_share_, limit.burst * reserved_share_);
  leased_.SetLimits(now, limit.rate_per_s * leased_share_, limit.burst * leased_share_);
}

std::uint32_t WorkspaceLimiter::LeasedPpm() const {
  const std::uint32_t held = context_.table.HeldPpm(id_, context_.self);
  if (!pending_ || context_.faults.keep_share_while_moving) return held;
  return held - std::min(held, pending_->ppm);
}

void WorkspaceLimiter::ApplyShares(base::TimePoint now) {
  // Before `usable_from`, an earlier process under this id may use the same shares. After that, an
  // expired lease stops the use of tokens but not the refill, because no other instance holds the
  // share until it is reclaimed.
  const bool started = context_.lease.registered && now >= context_.lease.usable_from;
  const double reserved = started ? context_.reserved_shares.CurrentShare() / kPpmPerUnit : 0;
  const double leased = started ? LeasedPpm() / kPpmPerUnit : 0;
  if (reserved != reserved_share_) {
    reserved_share_ = reserved;
    reserved_.SetLimits(now, limit_.rate_per_s * reserved, limit_.burst * reserved);
  }
  if (leased != leased_share_) {
    leased_share_ = leased;
    leased_.SetLimits(now, limit_.rate_per_s * leased, limit_.burst * leased);
  }
}

void WorkspaceLimiter::Restart(base::TimePoint now) {
  pending_.reset();
  reserved_share_ = 0;
  leased_share_ = 0;
  reserved_.SetLimits(now, 0, 0);
  leased_.SetLimits(now, 0, 0);
  reserved_.Clear();
  leased_.Clear();
  ApplyShares(now);
}

double WorkspaceLimiter::LoanTokens() const {
  double sum = 0;
  for (const Loan& loan : loans_) sum += loan.tokens;
  return sum;
}

double WorkspaceLimiter::Available(base::TimePoint now) {
  ApplyShares(now);
  DropExpiredLoans(now);
  double sum = LoanTokens();
  if (context_.LeaseValid(now)) sum += leased_.Level(now);
  if (context_.ReservedShareUsable(now)) sum += reserved_.Level(now);
  return sum;
}

SharesInUse WorkspaceLimiter::Shares(base::TimePoint now) {
  ApplyShares(now);
  SharesInUse out;
  if (context_.ReservedShareUsable(now)) {
    out.reserved_ppm = static_cast<std::uint32_t>(std::lround(reserved_share_ * kPpmPerUnit));
  }
  if (context_.LeaseValid(now)) {
    out.leased_ppm = static_cast<std::uint32_t>(std::lround(leased_share_ * kPpmPerUnit));
  }
  return out;
}

bool WorkspaceLimiter::TakeOne(base::TimePoint now) {
  if (Available(now) < 1 - kRoundingTolerance) return false;
  double left = 1;
  context_.counters.admitted_with_loan += loans_.empty() ? 0 : 1;
  // Borrowed tokens are used first, because they expire.
  for (Loan& loan : loans_) {
    const double part = std::min(left, loan.tokens);
    loan.tokens -= part;
    left -= part;
  }
  std::erase_if(loans_, [](const Loan& loan) { return loan.tokens <= 0; });
  if (context_.LeaseValid(now)) {
    const double part = std::min(left, leased_.Level(now));
    leased_.Take(part);
    left -= part;
  }
  if (context_.ReservedShareUsable(now)) reserved_.Take(std::min(left, reserved_.Level(now)));
  ++context_.counters.admitted;
  return true;
}

AdmitResult WorkspaceLimiter::Admit(base::TimePoint now, base::RequestId request) {
  ++arrivals_;
  if (queued_requests_.empty() && TakeOne(now)) return {{Decision::kAdmitted, {}}, {}};
  if (queued_requests_.size() >= context_.options.max_queued_requests) {
    ++context_.counters.refused;
    return {{Decision::kRefused, RetryAfter()}, {}};
  }
  queued_requests_.push_back({request, now + context_.options.queue_timeout});
  LimiterOutput out = ProcessQueue(now);
  if (std::erase(out.admitted, request) > 0) return {{Decision::kAdmitted, {}}, std::move(out)};
  return {{Decision::kEnqueued, {}}, std::move(out)};
}

void WorkspaceLimiter::Cancel(base::RequestId request) {
  std::erase_if(queued_requests_,
                [&](const QueuedRequest& entry) { return entry.request == request; });
}

LimiterOutput WorkspaceLimiter::RefuseAll() {
  LimiterOutput out;
  for (const QueuedRequest& entry : queued_requests_) out.refused.push_back({entry.request, {}});
  context_.counters.refused += queued_requests_.size();
  queued_requests_.clear();
  return out;
}

LimiterOutput WorkspaceLimiter::ProcessQueue(base::TimePoint now) {
  LimiterOutput out;
  RefuseExpired(now, out);
  AdmitQueued(now, out);
  if (!queued_requests_.empty()) Borrow(now, out);
  return out;
}

void WorkspaceLimiter::AdmitQueued(base::TimePoint now, LimiterOutput& out) {
  while (!queued_requests_.empty() && TakeOne(now)) {
    out.admitted.push_back(queued_requests_.front().request);
    queued_requests_.pop_front();
  }
}

void WorkspaceLimiter::RefuseExpired(base::TimePoint now, LimiterOutput& out) {
  while (!queued_requests_.empty() && queued_requests_.front().deadline <= now) {
    out.refused.push_back({queued_requests_.front().request, RetryAfter()});
    queued_requests_.pop_front();
    ++context_.counters.refused;
  }
}

base::Duration WorkspaceLimiter::RetryAfter() const {
  if (limit_.rate_per_s <= 0) return kLongestRetryAfter;
  // The fleet gets one token per 1/rate seconds, and requests queued here are admitted first.
  const double seconds = (static_cast<double>(queued_requests_.size()) + 1) / limit_.rate_per_s;
  const auto wait = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(std::min(seconds, base::ToSeconds(kLongestRetryAfter))));
  return std::max(wait, context_.options.queue_timeout);
}

base::TimePoint WorkspaceLimiter::NextDeadline() const {
  base::TimePoint next = queued_requests_.front().deadline;
  if (loan_request_) return std::min(next, loan_request_->sent + context_.options.loan_timeout);
  return std::min(next, next_loan_round_);
}

}  // namespace persimmonstair::limits
