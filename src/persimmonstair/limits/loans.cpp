#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

#include "workspace_limiter.hpp"

// Token loans, on the borrower's and on the lender's side.
namespace persimmonstair::limits {
namespace {

// Pause between two rounds of loan requests: the minimum after a round that got tokens, doubled up
// to the maximum after rounds without, so that an overloaded workspace causes few messages.
constexpr base::Duration kMinRoundPause = std::chrono::milliseconds{2};
constexpr base::Duration kMaxRoundPause = std::chrono::milliseconds{32};
// A lender that did not answer is skipped for this time. Otherwise each round would wait for the
// timeout of a dead instance until its shares are reclaimed.
constexpr base::Duration kSkipUnresponsiveFor = std::chrono::seconds{2};
// Instances without a leased share that are asked for tokens of their reserved share.
constexpr std::size_t kSampledPeers = 10;
// Largest number of borrowers of one workspace that are considered when a share moves.
constexpr std::size_t kMaxBorrowers = 16;

}  // namespace

void WorkspaceLimiter::DropExpiredLoans(base::TimePoint now) {
  context_.counters.loans_unused += static_cast<std::uint64_t>(
      std::erase_if(loans_, [&](const Loan& loan) { return now >= loan.until; }));
  std::erase_if(open_loan_requests_, [&](const PendingLoanRequest& sent_request) {
    return now >= sent_request.sent + context_.options.loan_lifetime;
  });
}

void WorkspaceLimiter::Borrow(base::TimePoint now, LimiterOutput& out) {
  if (loan_request_) {
    if (now < loan_request_->sent + context_.options.loan_timeout) return;
    context_.unresponsive_until[loan_request_->lender] = now + kSkipUnresponsiveFor;
    loan_request_.reset();
  }
  if (!loan_round_open_) {
    if (now < next_loan_round_) return;
    StartLoanRound(now);
  }
  if (lenders_to_ask_.empty()) {
    EndLoanRound(now);
    return;
  }
  const base::InstanceId lender = lenders_to_ask_.back();
  lenders_to_ask_.pop_back();
  SendLoanRequest(now, lender, out);
}

void WorkspaceLimiter::StartLoanRound(base::TimePoint now) {
  lenders_to_ask_ = Lenders(now);
  loan_round_open_ = true;
  loan_round_got_tokens_ = false;
}

void WorkspaceLimiter::EndLoanRound(base::TimePoint now) {
  loan_round_open_ = false;
  backoff_ = loan_round_got_tokens_ ? kMinRoundPause
                                    : std::clamp(backoff_ * 2, kMinRoundPause, kMaxRoundPause);
  next_loan_round_ = now + backoff_;
}

std::vector<base::InstanceId> WorkspaceLimiter::Lenders(base::TimePoint now) {
  std::vector<std::pair<double, base::InstanceId>> ranked;
  const auto add = [&](const base::InstanceId& id, double weight) {
    const auto silent = context_.unresponsive_until.find(id);
    if (silent != context_.unresponsive_until.end() && now < silent->second) return;
    if (id == context_.self) return;
    // Weighted random order, so that borrowers spread over the lenders. The last lender that gave
    // tokens comes first.
    const double random = static_cast<double>(context_.random() >> 11U) * 0x1p-53;
    ranked.emplace_back(id == last_lender_ ? 2.0 : std::pow(random, 1 / weight), id);
  };
  const auto& holders = context_.table.Holders(id_);
  for (const auto& [id, ppm] : holders) add(id, 1.0 + ppm);
  const std::size_t n = std::min(context_.peers.size(), kSampledPeers);
  const std::size_t first = context_.Random(context_.peers.size());
  for (std::size_t i = 0; i < n; ++i) {
    const base::InstanceId& id = context_.peers[(first + i) % context_.peers.size()];
    if (!holders.contains(id)) add(id, 1.0 + context_.reserved_shares.NewestShare(id));
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  if (ranked.size() > context_.options.lenders_per_round) {
    ranked.resize(context_.options.lenders_per_round);
  }
  std::vector<base::InstanceId> out;
  for (auto it = ranked.rbegin(); it != ranked.rend(); ++it) out.push_back(std::move(it->second));
  return out;
}

void WorkspaceLimiter::SendLoanRequest(base::TimePoint now, const base::InstanceId& lender,
                                       LimiterOutput& out) {
  const double missing = static_cast<double>(queued_requests_.size()) - Available(now);
  schema::TokenLoanRequest request;
  request.workspace = id_;
  request.nonce = ++context_.last_nonce;
  request.tokens_milli = static_cast<std::uint64_t>(std::ceil(std::max(missing, 0.001) * 1000));
  loan_request_ = PendingLoanRequest{request.nonce, lender, now};
  open_loan_requests_.push_back(*loan_request_);
  ++context_.counters.loan_requests;
  out.messages.push_back({lender, std::move(request)});
}

LimiterOutput WorkspaceLimiter::OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                                              const schema::TokenLoanRequest& request) {
  schema::TokenLoan loan{request.workspace, request.nonce, 0};
  LimiterOutput out;
  // Requests queued here come first. A leaving instance must not have open loans.
  double wanted = queued_requests_.empty() && !context_.leaving
                      ? static_cast<double>(request.tokens_milli) / 1000
                      : 0;
  ApplyShares(now);
  const base::TimePoint until = now + context_.options.loan_lifetime + context_.options.loan_margin;
  const auto lend = [&](Bucket& bucket, bool usable) {
    if (!usable) return;
    const double part = std::floor(std::min(wanted, bucket.Level(now)) * 1000) / 1000;
    if (part <= 0) return;
    bucket.Lend(part, context_.faults.lent_tokens_free_capacity ? now : until);
    wanted -= part;
    loan.tokens_milli += static_cast<std::uint64_t>(std::llround(part * 1000));
  };
  lend(leased_, context_.LeaseValid(now));
  lend(reserved_, context_.ReservedShareUsable(now));
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
  const auto it =
      std::find_if(open_loan_requests_.begin(), open_loan_requests_.end(),
                   [&](const PendingLoanRequest& sent_request) {
                     return sent_request.nonce == loan.nonce && sent_request.lender == from;
                   });
  if (it == open_loan_requests_.end()) return {};
  const base::TimePoint until = context_.faults.loan_never_expires
                                    ? base::TimePoint::max()
                                    : it->sent + context_.options.loan_lifetime;
  // Without the request, a second copy of the loan message is ignored.
  if (!context_.faults.loan_used_twice) open_loan_requests_.erase(it);
  if (loan_request_ && loan_request_->nonce == loan.nonce) loan_request_.reset();
  context_.unresponsive_until.erase(from);
  if (now >= until) return {};
  if (loan.tokens_milli > 0) {
    loans_.push_back({static_cast<double>(loan.tokens_milli) / 1000, until});
    loan_round_got_tokens_ = true;
    backoff_ = {};
    last_lender_ = from;
  } else if (last_lender_ == from) {
    last_lender_ = {};
  }
  return ProcessQueue(now);
}

LimiterOutput WorkspaceLimiter::OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                                    std::uint64_t nonce) {
  // The request may have arrived nevertheless, so a loan for it is still accepted.
  context_.unresponsive_until[to] = now + kSkipUnresponsiveFor;
  if (loan_request_ && loan_request_->nonce == nonce) loan_request_.reset();
  return queued_requests_.empty() ? LimiterOutput{} : ProcessQueue(now);
}

}  // namespace persimmonstair::limits
