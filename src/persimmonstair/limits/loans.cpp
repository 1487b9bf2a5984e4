#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

#include "workspace_limiter.hpp"

// Token loans: both the borrower's and the lender's part.
namespace persimmonstair::limits {
namespace {

// Time between two rounds of requests: short after one that brought something, and doubling while
// the fleet has no tokens, so that an overloaded workspace costs few messages.
constexpr base::Duration kShortPause = std::chrono::milliseconds{2};
constexpr base::Duration kLongPause = std::chrono::milliseconds{32};
// A lender that did not answer is passed over for this time; long enough to spare the timeouts of
// a dead instance until its shares are reclaimed.
constexpr base::Duration kSilentFor = std::chrono::seconds{2};
// Instances beyond the holders that are asked for tokens of their floor.
constexpr std::size_t kSampledPeers = 10;
// Borrowers of one workspace that are remembered as candidates for a share.
constexpr std::size_t kMaxBorrowers = 16;

}  // namespace

void WorkspaceLimiter::ForgetExpired(base::TimePoint now) {
  context_.counters.loans_unused += static_cast<std::uint64_t>(
      std::erase_if(loans_, [&](const Loan& loan) { return now >= loan.until; }));
  std::erase_if(asks_,
                [&](const Ask& ask) { return now >= ask.sent + context_.options.loan_life; });
}

void WorkspaceLimiter::Borrow(base::TimePoint now, LimiterOutput& out) {
  if (current_) {
    if (now < current_->sent + context_.options.loan_timeout) return;
    context_.silent_until[current_->lender] = now + kSilentFor;
    current_.reset();
  }
  if (!round_open_) {
    if (now < next_round_) return;
    StartRound(now);
  }
  if (round_.empty()) {
    EndRound(now);
    return;
  }
  const base::InstanceId lender = round_.back();
  round_.pop_back();
  SendAsk(now, lender, out);
}

void WorkspaceLimiter::StartRound(base::TimePoint now) {
  round_ = Lenders(now);
  round_open_ = true;
  round_got_any_ = false;
}

void WorkspaceLimiter::EndRound(base::TimePoint now) {
  round_open_ = false;
  backoff_ = round_got_any_ ? kShortPause : std::clamp(backoff_ * 2, kShortPause, kLongPause);
  next_round_ = now + backoff_;
}

std::vector<base::InstanceId> WorkspaceLimiter::Lenders(base::TimePoint now) {
  std::vector<std::pair<double, base::InstanceId>> ranked;
  const auto add = [&](const base::InstanceId& id, double weight) {
    const auto silent = context_.silent_until.find(id);
    if (silent != context_.silent_until.end() && now < silent->second) return;
    if (id == context_.self) return;
    // Random order by weight: borrowers spread over the lenders.
    const double random = static_cast<double>(context_.random() >> 11U) * 0x1p-53;
    ranked.emplace_back(id == last_lender_ ? 2.0 : std::pow(random, 1 / weight), id);
  };
  const auto& holders = context_.table.Holders(id_);
  for (const auto& [id, ppm] : holders) add(id, 1.0 + ppm);
  const std::size_t n = std::min(context_.peers.size(), kSampledPeers);
  const std::size_t first = context_.Random(context_.peers.size());
  for (std::size_t i = 0; i < n; ++i) {
    const base::InstanceId& id = context_.peers[(first + i) % context_.peers.size()];
    if (!holders.contains(id)) add(id, 1.0 + context_.floors.Newest(id));
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  if (ranked.size() > context_.options.lenders_per_round) {
    ranked.resize(context_.options.lenders_per_round);
  }
  std::vector<base::InstanceId> out;
  for (auto it = ranked.rbegin(); it != ranked.rend(); ++it) out.push_back(std::move(it->second));
  return out;
}

void WorkspaceLimiter::SendAsk(base::TimePoint now, const base::InstanceId& lender,
                               LimiterOutput& out) {
  const double missing = static_cast<double>(waiting_.size()) - Available(now);
  schema::TokenLoanRequest request;
  request.workspace = id_;
  request.nonce = ++context_.last_nonce;
  request.tokens_milli = static_cast<std::uint64_t>(std::ceil(std::max(missing, 0.001) * 1000));
  current_ = Ask{request.nonce, lender, now};
  asks_.push_back(*current_);
  ++context_.counters.loan_requests;
  out.messages.push_back({lender, std::move(request)});
}

LimiterOutput WorkspaceLimiter::OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                                              const schema::TokenLoanRequest& request) {
  schema::TokenLoan loan{request.workspace, request.nonce, 0};
  LimiterOutput out;
  // Own waiting requests go first; a leaving instance must not have loans running.
  double wanted =
      waiting_.empty() && !context_.leaving ? static_cast<double>(request.tokens_milli) / 1000 : 0;
  Refresh(now);
  const base::TimePoint until = now + context_.options.loan_life + context_.options.loan_margin;
  const auto lend = [&](Bucket& bucket, bool usable) {
    if (!usable) return;
    const double part = std::floor(std::min(wanted, bucket.Level(now)) * 1000) / 1000;
    if (part <= 0) return;
    bucket.Lend(part, context_.faults.lent_tokens_free_capacity ? now : until);
    wanted -= part;
    loan.tokens_milli += static_cast<std::uint64_t>(std::llround(part * 1000));
  };
  lend(leased_, context_.LeasedUsable(now));
  lend(floor_, context_.FloorUsable(now));
  if (loan.tokens_milli > 0) {
    ++context_.counters.loans_given;
    if (lent_to_.size() < kMaxBorrowers || lent_to_.contains(from)) {
      lent_to_[from] += static_cast<double>(loan.tokens_milli) / 1000;
    }
  }
  out.messages.push_back({from, std::move(loan)});
  return out;
}

LimiterOutput WorkspaceLimiter::OnLoan(base::TimePoint now, const base::InstanceId& from,
                                       const schema::TokenLoan& loan) {
  const auto it = std::find_if(asks_.begin(), asks_.end(), [&](const Ask& ask) {
    return ask.nonce == loan.nonce && ask.lender == from;
  });
  if (it == asks_.end()) return {};
  const base::TimePoint until = context_.faults.loan_never_expires
                                    ? base::TimePoint::max()
                                    : it->sent + context_.options.loan_life;
  // Erasing the request makes a second copy of the loan worthless.
  if (!context_.faults.loan_used_twice) asks_.erase(it);
  if (current_ && current_->nonce == loan.nonce) current_.reset();
  context_.silent_until.erase(from);
  if (now >= until) return {};
  if (loan.tokens_milli > 0) {
    loans_.push_back({static_cast<double>(loan.tokens_milli) / 1000, until});
    round_got_any_ = true;
    backoff_ = {};
    last_lender_ = from;
  } else if (last_lender_ == from) {
    last_lender_ = {};
  }
  return Pump(now);
}

LimiterOutput WorkspaceLimiter::OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                                    std::uint64_t nonce) {
  // The request may have arrived all the same, so its loan stays acceptable.
  context_.silent_until[to] = now + kSilentFor;
  if (current_ && current_->nonce == nonce) current_.reset();
  return waiting_.empty() ? LimiterOutput{} : Pump(now);
}

}  // namespace persimmonstair::limits
