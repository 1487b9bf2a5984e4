#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <variant>

#include "workspace_limiter.hpp"

// Leased shares: claims unheld ones, and moves shares to the instances that borrow most.
namespace persimmonstair::limits {
namespace {

constexpr double kPpmPerUnit = 1'000'000;
// Weight of the last period in the smoothed demand. A sudden load shows within two to three
// seconds.
constexpr double kDemandSmoothing = 0.4;
// A holder keeps this multiple of its own demand and gives at most this multiple of what was lent.
constexpr double kHeadroom = 1.25;
constexpr base::Duration kClaimRetry = std::chrono::seconds{2};
// A claim is delayed by a random part of this time, so that few instances claim the same shares at
// once.
constexpr base::Duration kClaimSpread = std::chrono::milliseconds{200};
// Used by LimiterFaults::restore_move_at_once: the share is restored after this time, before the
// outcome of its move is known.
constexpr base::Duration kEarlyRevertDelay = std::chrono::milliseconds{200};

}  // namespace

void WorkspaceLimiter::UpdateDemand(base::TimePoint now) {
  const double seconds = base::ToSeconds(now - demand_at_);
  demand_at_ = now;
  if (seconds <= 0) return;
  const double rate = static_cast<double>(arrivals_) / seconds;
  arrivals_ = 0;
  demand_per_s_ += kDemandSmoothing * (rate - demand_per_s_);
}

LimiterOutput WorkspaceLimiter::Balance(base::TimePoint now, const membership::Registry& registry,
                                        bool may_move) {
  UpdateDemand(now);
  ApplyShares(now);
  if (pending_ && context_.faults.restore_move_at_once &&
      now - pending_->sent > kEarlyRevertDelay) {
    RevertPendingMove(now);
  }
  LimiterOutput out;
  const auto borrower = TopBorrower(registry);
  if (borrower && may_move && !pending_ && context_.LeaseValid(now) && !context_.leaving) {
    const std::uint32_t ppm = PpmToGive(borrower->second);
    if (ppm >= context_.options.smallest_move_ppm) out = Move(now, registry, borrower->first, ppm);
  }
  for (auto& [id, tokens] : lent_to_) tokens *= 1 - kDemandSmoothing;
  std::erase_if(lent_to_, [](const auto& entry) { return entry.second < 0.05; });
  return out;
}

std::optional<std::pair<base::InstanceId, double>> WorkspaceLimiter::TopBorrower(
    const membership::Registry& registry) const {
  const auto& holders = context_.table.Holders(id_);
  std::optional<std::pair<base::InstanceId, double>> top;
  for (const auto& [id, tokens] : lent_to_) {
    if (!holders.contains(id) && holders.size() >= kMaxHolders) continue;
    const membership::Member* member = registry.Find(id);
    if (member == nullptr || member->end != membership::LifetimeEnd::kNone) continue;
    if (!top || tokens > top->second) top.emplace(id, tokens);
  }
  // `lent_to_` decays by the smoothing weight in each period; this turns it into tokens per second.
  if (top) top->second *= kDemandSmoothing / base::ToSeconds(context_.options.balance_period);
  return top;
}

std::uint32_t WorkspaceLimiter::PpmToGive(double borrower_per_s) const {
  if (limit_.rate_per_s <= 0) return 0;
  const double held = LeasedPpm();
  const double own = demand_per_s_ * kHeadroom / limit_.rate_per_s * kPpmPerUnit;
  const double surplus = held + reserved_share_ * kPpmPerUnit - own;
  const double wanted = borrower_per_s * kHeadroom / limit_.rate_per_s * kPpmPerUnit;
  double give = std::clamp(std::min(surplus, wanted), 0.0, held);
  // If the rest would be too small for a later move and has no demand, it is given too.
  if (held - give < context_.options.smallest_move_ppm && surplus >= held) give = held;
  return static_cast<std::uint32_t>(give);
}

LimiterOutput WorkspaceLimiter::Move(base::TimePoint now, const membership::Registry& registry,
                                     const base::InstanceId& to, std::uint32_t ppm) {
  const std::uint32_t held = LeasedPpm();
  const membership::Member* member = registry.Find(to);
  if (ppm == 0 || ppm > held || member == nullptr) return {};
  const double part = static_cast<double>(ppm) / held;
  const double level = leased_.Level(now);
  // Tokens lent from this share may still be in use and must fit into the remaining capacity.
  if (leased_.Lent() > leased_.Capacity() * (1 - part)) return {};
  schema::ShareMove record;
  record.id = context_.NextId();
  record.workspace = id_;
  record.from = context_.self;
  record.from_incarnation = context_.lease.incarnation;
  record.to = to;
  record.to_incarnation = member->incarnation;
  record.share_ppm = ppm;
  record.tokens_milli = static_cast<std::uint64_t>(std::floor(level * part * 1000));
  record.lease_sequence = context_.lease.sequence;
  const double tokens = static_cast<double>(record.tokens_milli) / 1000;
  if (!context_.faults.keep_share_while_moving) leased_.Take(tokens);
  pending_ = PendingMove{record.id, ppm, tokens, record.lease_sequence, now};
  ApplyShares(now);
  ++context_.counters.moves;
  LimiterOutput out;
  out.records.emplace_back(std::move(record));
  return out;
}

LimiterOutput WorkspaceLimiter::MoveAllShares(base::TimePoint now,
                                              const membership::Registry& registry,
                                              const base::InstanceId& new_holder) {
  ApplyShares(now);
  if (pending_ || !context_.LeaseValid(now)) return {};
  return Move(now, registry, new_holder, LeasedPpm());
}

LimiterOutput WorkspaceLimiter::Claim(base::TimePoint now) {
  const bool wanted = arrivals_ > 0 || demand_per_s_ > 0.01 || !queued_requests_.empty();
  if (!wanted || !context_.lease.no_pending_renewal || !context_.LeaseValid(now) ||
      context_.leaving || context_.table.UnheldPpm(id_) == 0) {
    claim_planned_ = false;
    return {};
  }
  if (!claim_planned_) {
    claim_planned_ = true;
    next_claim_ = std::max(
        next_claim_,
        now + base::Duration{static_cast<std::int64_t>(context_.Random(kClaimSpread.count()))});
  }
  if (now < next_claim_) return {};
  next_claim_ = now + kClaimRetry;
  LimiterOutput out;
  out.records.emplace_back(schema::ShareClaim{context_.NextId(), id_, context_.self,
                                              context_.lease.incarnation, context_.lease.sequence});
  return out;
}

void WorkspaceLimiter::OnShareChange(base::TimePoint now, const ShareChange& change) {
  ApplyShares(now);
  if (change.tokens_milli > 0) leased_.Put(now, static_cast<double>(change.tokens_milli) / 1000);
  if (change.delta_ppm > 0 && context_.faults.new_share_starts_full) {
    leased_.Put(now, limit_.burst);
  }
}

void WorkspaceLimiter::OnOwnRecord(base::TimePoint now, const schema::Record& record,
                                   bool changed_table) {
  if (!pending_) return;
  if (const auto* move = std::get_if<schema::ShareMove>(&record)) {
    if (move->id != pending_->id) return;
    if (changed_table) {
      pending_.reset();
    } else {
      ++context_.counters.moves_invalid;
      RevertPendingMove(now);
    }
    ApplyShares(now);
    return;
  }
  // A move that names an earlier renewal can't become valid after a later one.
  const auto* renewal = std::get_if<schema::LeaseRecord>(&record);
  if (renewal != nullptr && renewal->sequence > pending_->sequence) {
    ++context_.counters.moves_invalid;
    RevertPendingMove(now);
  }
}

void WorkspaceLimiter::OnNotAppended(base::TimePoint now, const base::RecordId& id) {
  if (pending_ && pending_->id == id) RevertPendingMove(now);
}

void WorkspaceLimiter::RevertPendingMove(base::TimePoint now) {
  const double tokens = pending_->tokens;
  pending_.reset();
  ApplyShares(now);
  if (!context_.faults.keep_share_while_moving) leased_.Put(now, tokens);
}

}  // namespace persimmonstair::limits
