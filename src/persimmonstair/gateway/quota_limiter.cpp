#include "quota_limiter.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using quota::Admission;
using quota::AdmissionResult;
using quota::ProgramStage;
using quota::TokenRequester;
using std::chrono::milliseconds;

namespace {

/// Time for which a coordinator that did not answer isn't asked again.
constexpr milliseconds kUnansweredBackoff{500};

constexpr std::chrono::hours kNoTimeout{24};

}  // namespace

QuotaLimiter::QuotaLimiter(const asio::any_io_executor& executor, PeerSocket& socket,
                           FleetRegistry& fleet, const ConfigurationFollower& configuration)
    : socket_(socket),
      timer_(executor),
      fleet_(fleet),
      configuration_(configuration),
      queue_(fleet.Shares()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

asio::awaitable<AdmissionResult> QuotaLimiter::Admit(const Workspace& workspace, ProgramStage stage,
                                                     base::Duration time_left) {
  const std::uint64_t id = next_id_++;
  const ReachableCoordinators reachable = fleet_.FindCoordinators(workspace.id);
  const bool asks_peers = reachable.local || !reachable.remote.empty();
  const base::Duration max_wait = quota::MaxTokenWait(stage, time_left);
  const quota::TokenDemand demand{
      id, stage,
      asks_peers ? TokenRequester::kLocalCallerAskingPeers : TokenRequester::kLocalCaller,
      max_wait + quota::kAnswerTimeout};
  const auto result = queue_.Ask(Now(), workspace.id, workspace.quota, demand);
  if (result) co_return *result;
  const auto waiting = std::make_shared<QueuedRequest>(timer_.get_executor());
  waiting->workspace = workspace.id;
  waiting->stage = stage;
  waiting->max_wait = max_wait;
  waiting_requests_[id] = waiting;
  Serve();
  if (asks_peers) {
    co_await RequestRemoteToken(id, waiting, reachable);
  }
  while (!waiting->result) {
    co_await WaitForChange(waiting, kNoTimeout);
  }
  waiting_requests_.erase(id);
  if (waiting->queued > 0) CancelQueuedAsks(id);
  co_return *waiting->result;
}

asio::awaitable<void> QuotaLimiter::RequestRemoteToken(std::uint64_t id, QueuedRequestPtr waiting,
                                                       ReachableCoordinators reachable) {
  // Coordinators are asked one at a time, because a second token for the request would be lost.
  std::shuffle(reachable.remote.begin(), reachable.remote.end(), random_);
  if (reachable.local) reachable.remote.insert(reachable.remote.begin(), *reachable.local);
  for (const auto& coordinator : reachable.remote) {
    // A request that is already queued isn't queued at further coordinators as well; they only lend
    // it a token that they have available now.
    const bool is_queued = reachable.is_coordinator || waiting->queued > 0;
    const base::Duration max_wait = is_queued ? base::Duration{} : waiting->max_wait;
    co_await AskCoordinator(coordinator, id, waiting, max_wait);
    if (waiting->result) co_return;
  }
  while (!waiting->result && waiting->queued > 0) {
    co_await WaitForChange(waiting, kNoTimeout);
  }
  if (waiting->result) co_return;
  if (!reachable.is_coordinator && !waiting->peer_retry_after) {
    // No coordinator answered, so it is unknown whether the workspace is over its rate.
    queue_.Withdraw(waiting->workspace, id);
    SetResult(*waiting, AdmissionResult{Admission::kNoShare, {}});
    co_return;
  }
  const base::Duration peer_retry_after = waiting->peer_retry_after.value_or(kNoTimeout);
  const auto result = queue_.OnNoRemoteToken(Now(), waiting->workspace, id, peer_retry_after);
  if (result) SetResult(*waiting, *result);
}

asio::awaitable<void> QuotaLimiter::AskCoordinator(dispatch::Endpoint coordinator, std::uint64_t id,
                                                   QueuedRequestPtr waiting,
                                                   base::Duration max_wait) {
  const auto endpoint = ToPeerEndpoint(coordinator);
  if (!endpoint) co_return;
  base::TimePoint& backoff_until = backoff_until_[*endpoint];
  if (Now() < backoff_until) co_return;
  waiting->unanswered = 1;
  SendAsk(*endpoint, id, *waiting, max_wait);
  const base::TimePoint until = Now() + quota::kAnswerTimeout;
  while (!waiting->result && waiting->unanswered > 0 && Now() < until) {
    co_await WaitForChange(waiting, until - Now());
  }
  if (!waiting->result && waiting->unanswered > 0) backoff_until = Now() + kUnansweredBackoff;
}

asio::awaitable<void> QuotaLimiter::WaitForChange(QueuedRequestPtr waiting, base::Duration time) {
  waiting->changed.expires_after(time);
  co_await waiting->changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

void QuotaLimiter::SendAsk(const PeerEndpoint& instance, std::uint64_t id,
                           const QueuedRequest& waiting, base::Duration max_wait) {
  DropExpiredAsks();
  const std::uint64_t nonce = next_id_++;
  asks_[nonce] = {waiting.workspace, id, Now() + max_wait + quota::kLoanGrace, instance, false};
  socket_.Send(schema::TokenAsk{waiting.workspace, nonce, waiting.stage == ProgramStage::kBegins,
                                static_cast<std::uint32_t>(base::ToMillis(max_wait))},
               instance);
}

void QuotaLimiter::DropExpiredAsks() {
  const base::TimePoint now = Now();
  while (!asks_.empty() && asks_.begin()->second.usable_until <= now) asks_.erase(asks_.begin());
}

void QuotaLimiter::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  if (const auto* ask = std::get_if<schema::TokenAsk>(&message)) {
    Handle(*ask, sender);
  } else if (const auto* answer = std::get_if<schema::TokenAnswer>(&message)) {
    Handle(*answer);
  } else if (const auto* cancel = std::get_if<schema::TokenCancel>(&message)) {
    Handle(*cancel, sender);
  }
}

void QuotaLimiter::Handle(const schema::TokenAsk& ask, const PeerEndpoint& sender) {
  const RemoteRequest remote{ask.workspace, ask.nonce, sender};
  const auto& configuration = configuration_.Current();
  const Workspace* workspace =
      configuration ? configuration->FindWorkspaceById(ask.workspace) : nullptr;
  if (workspace == nullptr) return;
  const std::uint64_t id = next_id_++;
  const base::Duration longest = ask.begins ? quota::kMaxTokenWait : quota::kMaxTokenWaitUnderWay;
  const auto max_wait = std::min<base::Duration>(milliseconds{ask.patience_ms}, longest);
  const quota::TokenDemand demand{id, ask.begins ? ProgramStage::kBegins : ProgramStage::kUnderWay,
                                  TokenRequester::kPeerInstance, max_wait};
  const auto result = queue_.Ask(Now(), workspace->id, workspace->quota, demand);
  if (result) {
    // An instance without shares can't lend tokens and sends no answer.
    if (result->admission != Admission::kNoShare) SendAnswer(remote, *result);
    return;
  }
  remote_requests_[id] = remote;
  socket_.Send(schema::TokenAnswer{ask.workspace, ask.nonce, false, true, 0}, sender);
  Serve();
}

void QuotaLimiter::Handle(const schema::TokenAnswer& answer) {
  const auto it = asks_.find(answer.nonce);
  if (it == asks_.end() || it->second.workspace != answer.workspace) return;
  const auto found = waiting_requests_.find(it->second.request);
  if (found != waiting_requests_.end()) RecordAnswer(it->second, answer, *found->second);
  const Ask ask = it->second;
  if (!answer.queued) asks_.erase(it);
  if (!answer.granted) return;
  fleet_.Shares().Borrow(Now(), answer.workspace, 1, ask.usable_until);
  Serve();
  // A token that stays borrowed may be used later.
  if (fleet_.Shares().HasBorrowed(Now(), answer.workspace)) return;
  socket_.Send(schema::TokenCancel{answer.workspace, answer.nonce}, ask.instance);
}

void QuotaLimiter::RecordAnswer(Ask& ask, const schema::TokenAnswer& answer,
                                QueuedRequest& waiting) {
  if (ask.queued) {
    --waiting.queued;
  } else if (waiting.unanswered > 0) {
    --waiting.unanswered;
  }
  if (answer.queued) ++waiting.queued;
  ask.queued = answer.queued;
  if (!answer.granted && !answer.queued) {
    const base::Duration after = milliseconds{answer.retry_after_ms};
    waiting.peer_retry_after = std::min(after, waiting.peer_retry_after.value_or(after));
  }
  waiting.changed.cancel();
}

void QuotaLimiter::Handle(const schema::TokenCancel& cancel, const PeerEndpoint& sender) {
  const auto it =
      std::find_if(remote_requests_.begin(), remote_requests_.end(), [&](const auto& one) {
        return one.second.nonce == cancel.nonce && one.second.sender == sender;
      });
  if (it == remote_requests_.end()) {
    EndLoan(cancel, sender);
    return;
  }
  queue_.Withdraw(it->second.workspace, it->first);
  remote_requests_.erase(it);
}

void QuotaLimiter::EndLoan(const schema::TokenCancel& cancel, const PeerEndpoint& sender) {
  const auto it = lent_tokens_.find({sender, cancel.nonce});
  if (it == lent_tokens_.end() || it->second.workspace != cancel.workspace) return;
  fleet_.Shares().EndLoan(Now(), it->second.workspace, it->second.until);
  lent_tokens_.erase(it);
  Serve();
}

void QuotaLimiter::CancelQueuedAsks(std::uint64_t request) {
  // A cancelled ask is dropped: the lender may count a token that it granted meanwhile as used.
  std::erase_if(asks_, [&](const auto& one) {
    const auto& [nonce, ask] = one;
    if (ask.request != request || !ask.queued) return false;
    socket_.Send(schema::TokenCancel{ask.workspace, nonce}, ask.instance);
    return true;
  });
}

void QuotaLimiter::SendAnswer(const RemoteRequest& remote, const AdmissionResult& result) {
  const bool granted = result.admission == Admission::kAdmitted;
  if (granted && result.lent_until > Now()) {
    std::erase_if(lent_tokens_, [now = Now()](const auto& one) { return one.second.until <= now; });
    lent_tokens_[{remote.sender, remote.nonce}] = {remote.workspace, result.lent_until};
  }
  socket_.Send(schema::TokenAnswer{remote.workspace, remote.nonce, granted, false,
                                   static_cast<std::uint32_t>(base::ToMillis(result.retry_after))},
               remote.sender);
}

void QuotaLimiter::SetResult(QueuedRequest& waiting, const AdmissionResult& result) {
  waiting.result = result;
  waiting.changed.cancel();
}

void QuotaLimiter::Serve() {
  const base::TimePoint now = Now();
  for (const quota::Decision& decision : queue_.Serve(now)) {
    if (const auto own = waiting_requests_.find(decision.id); own != waiting_requests_.end()) {
      SetResult(*own->second, decision.result);
    } else if (const auto remote = remote_requests_.find(decision.id);
               remote != remote_requests_.end()) {
      SendAnswer(remote->second, decision.result);
      remote_requests_.erase(remote);
    }
  }
  const auto next = queue_.NextServeTime(now);
  if (!next) return;
  timer_.expires_after(*next - now);
  timer_.async_wait([this](error_code ec) {
    if (!ec) Serve();
  });
}

}  // namespace persimmonstair::gateway
