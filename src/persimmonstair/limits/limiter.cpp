#include "persimmonstair/limits/limiter.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

#include "workspace_limiter.hpp"

namespace persimmonstair::limits {
namespace {

template <class T>
void Append(std::vector<T>& to, std::vector<T>& from) {
  to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

}  // namespace

void LimiterOutput::Add(LimiterOutput other) {
  Append(records, other.records);
  Append(messages, other.messages);
  Append(admitted, other.admitted);
  Append(refused, other.refused);
}

struct Limiter::Impl {
  explicit Impl(LimiterContext context_in) : context(std::move(context_in)) {}

  LimiterContext context;
  std::map<base::WorkspaceId, WorkspaceLimiter> workspaces;
  /// Workspaces with queued requests, so that a tick does not have to visit all workspaces.
  std::set<base::WorkspaceId> with_queued_requests;
  base::TimePoint next_balance;
  /// Share moves that this instance may still make; refilled in each balance period.
  double move_budget = 1;

  WorkspaceLimiter* Find(const base::WorkspaceId& id) {
    const auto it = workspaces.find(id);
    return it == workspaces.end() ? nullptr : &it->second;
  }
  void UpdateQueuedSet(const base::WorkspaceId& id, const WorkspaceLimiter& workspace) {
    if (workspace.HasQueuedRequests()) {
      with_queued_requests.insert(id);
    } else {
      with_queued_requests.erase(id);
    }
  }
  void UpdatePeers(const membership::Registry& registry);
  LimiterOutput Balance(base::TimePoint now, const membership::Registry& registry,
                        bool log_reachable);
  void ResolvePendingMoves(base::TimePoint now, const schema::Record& record,
                           const membership::Effect& effect,
                           const std::vector<ShareChange>& changes);
};

void Limiter::Impl::UpdatePeers(const membership::Registry& registry) {
  context.peers.clear();
  for (const auto& [id, m] : registry.Members()) {
    if (id != context.self && m.end == membership::LifetimeEnd::kNone) context.peers.push_back(id);
  }
}

LimiterOutput Limiter::Impl::Balance(base::TimePoint now, const membership::Registry& registry,
                                     bool log_reachable) {
  LimiterOutput out;
  UpdatePeers(registry);
  // The reserved share is raised only while this instance is registered, see ReservedShares.
  if (context.lease.registered) context.reserved_shares.Raise(registry);
  std::erase_if(context.unresponsive_until, [&](const auto& entry) { return now >= entry.second; });
  const double fleet = static_cast<double>(context.peers.size()) + 1;
  move_budget = std::min(context.options.moves_per_period,
                         move_budget + context.options.fleet_moves_per_period / fleet);
  for (auto& [id, workspace] : workspaces) {
    const bool may_move = log_reachable && context.lease.no_pending_renewal && move_budget >= 1;
    LimiterOutput part = workspace.Balance(now, registry, may_move);
    move_budget -= static_cast<double>(part.records.size());
    out.Add(std::move(part));
  }
  return out;
}

Limiter::Limiter(base::InstanceId self, std::string process, std::uint64_t seed,
                 LimiterOptions options, LimiterFaults faults)
    : impl_(std::make_unique<Impl>(
          LimiterContext{std::move(self), std::move(process), seed, options, faults})) {}
Limiter::~Limiter() = default;
Limiter::Limiter(Limiter&&) noexcept = default;
Limiter& Limiter::operator=(Limiter&&) noexcept = default;

void Limiter::SetLimit(base::TimePoint now, const base::WorkspaceId& workspace,
                       const Limit& limit) {
  const auto [it, is_new] = impl_->workspaces.try_emplace(workspace, impl_->context, workspace);
  it->second.SetLimit(now, limit);
}

LimiterOutput Limiter::RemoveLimit(base::TimePoint now, const base::WorkspaceId& workspace) {
  WorkspaceLimiter* found = impl_->Find(workspace);
  if (found == nullptr) return {};
  found->ApplyShares(now);
  LimiterOutput out = found->RefuseAll();
  impl_->workspaces.erase(workspace);
  impl_->with_queued_requests.erase(workspace);
  return out;
}

void Limiter::SetReservedShares(base::TimePoint now, std::uint64_t version,
                                const std::map<base::InstanceId, std::uint32_t>& reserved_shares) {
  impl_->context.reserved_shares.Set(version, reserved_shares);
  for (auto& [id, workspace] : impl_->workspaces) workspace.ApplyShares(now);
}

std::uint64_t Limiter::ReservedSharesVersion() const {
  return impl_->context.reserved_shares.NewestVersion();
}
std::uint32_t Limiter::ReservedPpm() const { return impl_->context.reserved_shares.CurrentShare(); }

void Limiter::SetLease(base::TimePoint now, const membership::LeaseView& view) {
  LimiterContext& context = impl_->context;
  const bool restarted = context.lease.incarnation != view.incarnation;
  context.lease = view;
  if (!restarted) return;
  context.reserved_shares.Reset();
  for (auto& [id, workspace] : impl_->workspaces) workspace.Restart(now);
}

AdmitResult Limiter::Admit(base::TimePoint now, const base::WorkspaceId& workspace,
                           base::RequestId request) {
  WorkspaceLimiter* found = impl_->Find(workspace);
  if (found == nullptr) return {};
  AdmitResult out = found->Admit(now, request);
  if (out.admission.decision == Decision::kEnqueued) impl_->with_queued_requests.insert(workspace);
  return out;
}

void Limiter::Cancel(const base::WorkspaceId& workspace, base::RequestId request) {
  WorkspaceLimiter* found = impl_->Find(workspace);
  if (found == nullptr) return;
  found->Cancel(request);
  impl_->UpdateQueuedSet(workspace, *found);
}

LimiterOutput Limiter::OnRecord(base::TimePoint now, const schema::Record& record,
                                const membership::Effect& effect,
                                const membership::Registry& registry) {
  const std::vector<ShareChange> changes = impl_->context.table.Apply(record, effect, registry);
  impl_->ResolvePendingMoves(now, record, effect, changes);
  for (const ShareChange& change : changes) {
    if (change.instance != impl_->context.self) continue;
    if (WorkspaceLimiter* found = impl_->Find(change.workspace)) found->OnShareChange(now, change);
  }
  return {};
}

// Ends pending moves of this instance whose outcome the record decides.
void Limiter::Impl::ResolvePendingMoves(base::TimePoint now, const schema::Record& record,
                                        const membership::Effect& effect,
                                        const std::vector<ShareChange>& changes) {
  if (const auto* move = std::get_if<schema::ShareMove>(&record)) {
    WorkspaceLimiter* found = move->from == context.self ? Find(move->workspace) : nullptr;
    if (found != nullptr) found->OnOwnRecord(now, record, !changes.empty());
  }
  if (effect.kind == membership::Effect::Kind::kRenewed && effect.instance == context.self) {
    for (auto& [id, workspace] : workspaces) workspace.OnOwnRecord(now, record, false);
  }
}

LimiterOutput Limiter::OnLoanRequest(base::TimePoint now, const base::InstanceId& from,
                                     const schema::TokenLoanRequest& request) {
  if (WorkspaceLimiter* found = impl_->Find(request.workspace)) {
    return found->OnLoanRequest(now, from, request);
  }
  LimiterOutput out;
  out.messages.push_back({from, schema::TokenLoan{request.workspace, request.nonce, 0}});
  return out;
}

LimiterOutput Limiter::OnLoan(base::TimePoint now, const base::InstanceId& from,
                              const schema::TokenLoan& loan) {
  WorkspaceLimiter* found = impl_->Find(loan.workspace);
  if (found == nullptr) return {};
  LimiterOutput out = found->OnLoan(now, from, loan);
  impl_->UpdateQueuedSet(loan.workspace, *found);
  return out;
}

LimiterOutput Limiter::OnLoanRequestFailed(base::TimePoint now, const base::InstanceId& to,
                                           const schema::TokenLoanRequest& request) {
  WorkspaceLimiter* found = impl_->Find(request.workspace);
  if (found == nullptr) return {};
  LimiterOutput out = found->OnLoanRequestFailed(now, to, request.nonce);
  impl_->UpdateQueuedSet(request.workspace, *found);
  return out;
}

LimiterOutput Limiter::Tick(base::TimePoint now, const membership::Registry& registry,
                            bool log_reachable) {
  LimiterOutput out;
  for (const base::WorkspaceId& id :
       std::vector(impl_->with_queued_requests.begin(), impl_->with_queued_requests.end())) {
    WorkspaceLimiter& workspace = *impl_->Find(id);
    out.Add(workspace.ProcessQueue(now));
    impl_->UpdateQueuedSet(id, workspace);
  }
  if (log_reachable) {
    for (auto& [id, workspace] : impl_->workspaces) out.Add(workspace.Claim(now));
  }
  if (now >= impl_->next_balance) {
    impl_->next_balance = now + impl_->context.options.balance_period;
    out.Add(impl_->Balance(now, registry, log_reachable));
  }
  return out;
}

std::optional<base::TimePoint> Limiter::NextDeadline() const {
  std::optional<base::TimePoint> next;
  for (const base::WorkspaceId& id : impl_->with_queued_requests) {
    const base::TimePoint at = impl_->workspaces.find(id)->second.NextDeadline();
    next = std::min(next.value_or(at), at);
  }
  return next;
}

void Limiter::OnNotAppended(base::TimePoint now, const base::RecordId& id) {
  for (auto& [name, workspace] : impl_->workspaces) workspace.OnNotAppended(now, id);
}

LimiterOutput Limiter::Leave(base::TimePoint now, const membership::Registry& registry,
                             const base::InstanceId& new_holder) {
  LimiterOutput out;
  impl_->context.leaving = true;
  for (auto& [id, each] : impl_->workspaces) out.Add(each.MoveAllShares(now, registry, new_holder));
  return out;
}

std::string Limiter::Snapshot() const { return impl_->context.table.Snapshot(); }

base::Result<void> Limiter::Restore(base::TimePoint now, std::string_view text) {
  auto table = ShareTable::Restore(text);
  if (!table) return tl::make_unexpected(std::move(table).error());
  impl_->context.table = std::move(*table);
  for (auto& [id, workspace] : impl_->workspaces) workspace.ApplyShares(now);
  return {};
}

const ShareTable& Limiter::Table() const { return impl_->context.table; }
const LimiterCounters& Limiter::Counters() const { return impl_->context.counters; }

SharesInUse Limiter::Shares(base::TimePoint now, const base::WorkspaceId& workspace) {
  WorkspaceLimiter* found = impl_->Find(workspace);
  return found == nullptr ? SharesInUse{} : found->Shares(now);
}

double Limiter::Available(base::TimePoint now, const base::WorkspaceId& workspace) {
  WorkspaceLimiter* found = impl_->Find(workspace);
  return found == nullptr ? 0 : found->Available(now);
}

std::size_t Limiter::QueuedRequests() const {
  std::size_t n = 0;
  for (const base::WorkspaceId& id : impl_->with_queued_requests) {
    n += impl_->workspaces.find(id)->second.QueuedCount();
  }
  return n;
}

}  // namespace persimmonstair::limits
