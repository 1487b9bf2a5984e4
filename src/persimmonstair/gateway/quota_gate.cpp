#include "quota_gate.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "clock.hpp"
#include "persimmonstair/schema/quota_codec.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using quota::Admission;
using quota::AdmissionResult;
using quota::Asker;
using quota::ProgramStage;
using std::chrono::milliseconds;

namespace {

/// Time for which a home that did not answer isn't asked again.
constexpr milliseconds kSilentTime{500};

constexpr std::chrono::hours kWithoutEnd{24};

std::optional<udp::endpoint> ToUdp(const dispatch::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) return std::nullopt;
  return udp::endpoint(address, endpoint.port);
}

}  // namespace

base::Result<void> QuotaGate::Listen(const dispatch::Endpoint& endpoint) {
  const auto local = ToUdp(endpoint);
  error_code ec = asio::error::invalid_argument;
  if (local) socket_.open(local->protocol(), ec);
  if (!ec) socket_.bind(*local, ec);
  if (!ec) return {};
  return base::Fail(base::ErrorCode::kInvalidRequest, "can't use UDP " + endpoint.address + ":" +
                                                          std::to_string(endpoint.port) + ": " +
                                                          ec.message());
}

asio::awaitable<void> QuotaGate::Run() {
  for (;;) {
    udp::endpoint sender;
    const auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(buffer_), sender,
                                                             asio::as_tuple(asio::use_awaitable));
    // An error reports an earlier datagram that nobody took; the next one may arrive.
    if (ec) continue;
    const auto message = schema::DecodeQuota({buffer_.data(), n});
    if (message) Handle(*message, sender);
  }
}

asio::awaitable<AdmissionResult> QuotaGate::Admit(const Workspace& workspace, ProgramStage stage) {
  const std::uint64_t id = next_id_++;
  const Lenders lenders = fleet_.LendersOf(workspace.id);
  const bool helped = lenders.near || !lenders.far.empty();
  const quota::TokenDemand demand{id, stage, helped ? Asker::kOwnCallerWithHelp : Asker::kOwnCaller,
                                  quota::kMaxPatience + quota::kAnswerTime};
  const auto result = queue_.Ask(Now(), workspace.id, workspace.quota, demand);
  if (result) co_return *result;
  const auto waiting = std::make_shared<Waiting>(socket_.get_executor());
  waiting->workspace = workspace.id;
  waiting->stage = stage;
  waiting_[id] = waiting;
  Serve();
  if (helped) {
    co_await SeekHelp(id, waiting, lenders);
  }
  while (!waiting->result) {
    co_await Changed(waiting, kWithoutEnd);
  }
  waiting_.erase(id);
  if (waiting->queued > 0) LeaveLines(id);
  co_return *waiting->result;
}

asio::awaitable<void> QuotaGate::SeekHelp(std::uint64_t id, WaitingPtr waiting, Lenders lenders) {
  // One home after the other: a token too many would be lost.
  std::shuffle(lenders.far.begin(), lenders.far.end(), random_);
  if (lenders.near) lenders.far.insert(lenders.far.begin(), *lenders.near);
  for (const auto& home : lenders.far) {
    // Who has a place in a line takes from further homes only what they have at once.
    const bool has_place = lenders.self || waiting->queued > 0;
    const base::Duration patience = has_place ? base::Duration{} : quota::kMaxPatience;
    co_await AskHome(home, id, waiting, patience);
    if (waiting->result) co_return;
  }
  while (!waiting->result && waiting->queued > 0) {
    co_await Changed(waiting, kWithoutEnd);
  }
  if (waiting->result) co_return;
  if (!lenders.self && !waiting->elsewhere_after) {
    // No home can be reached, which says nothing about the rate.
    queue_.Withdraw(waiting->workspace, id);
    Decide(*waiting, AdmissionResult{Admission::kNoShare, {}});
    co_return;
  }
  const base::Duration elsewhere_after = waiting->elsewhere_after.value_or(kWithoutEnd);
  const auto result = queue_.OnNoHelp(Now(), waiting->workspace, id, elsewhere_after);
  if (result) Decide(*waiting, *result);
}

asio::awaitable<void> QuotaGate::AskHome(dispatch::Endpoint home, std::uint64_t id,
                                         WaitingPtr waiting, base::Duration patience) {
  const auto endpoint = ToUdp(home);
  if (!endpoint) co_return;
  base::TimePoint& silent_until = silent_until_[*endpoint];
  if (Now() < silent_until) co_return;
  waiting->unanswered = 1;
  SendAsk(*endpoint, id, *waiting, patience);
  const base::TimePoint until = Now() + quota::kAnswerTime;
  while (!waiting->result && waiting->unanswered > 0 && Now() < until) {
    co_await Changed(waiting, until - Now());
  }
  if (!waiting->result && waiting->unanswered > 0) silent_until = Now() + kSilentTime;
}

asio::awaitable<void> QuotaGate::Changed(WaitingPtr waiting, base::Duration time) {
  waiting->changed.expires_after(time);
  co_await waiting->changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

void QuotaGate::SendAsk(const udp::endpoint& instance, std::uint64_t id, const Waiting& waiting,
                        base::Duration patience) {
  ForgetOldAsks();
  const std::uint64_t nonce = next_id_++;
  asks_[nonce] = {waiting.workspace, id, Now() + patience + quota::kLoanTime, instance, false};
  Send(schema::TokenAsk{waiting.workspace, nonce, waiting.stage == ProgramStage::kBegins,
                        static_cast<std::uint32_t>(base::ToMillis(patience))},
       instance);
}

void QuotaGate::ForgetOldAsks() {
  const base::TimePoint now = Now();
  while (!asks_.empty() && asks_.begin()->second.usable_until <= now) asks_.erase(asks_.begin());
}

void QuotaGate::Handle(const schema::QuotaMessage& message, const udp::endpoint& sender) {
  if (const auto* ask = std::get_if<schema::TokenAsk>(&message)) {
    Handle(*ask, sender);
  } else if (const auto* answer = std::get_if<schema::TokenAnswer>(&message)) {
    Handle(*answer);
  } else if (const auto* cancel = std::get_if<schema::TokenCancel>(&message)) {
    Handle(*cancel, sender);
  }
}

void QuotaGate::Handle(const schema::TokenAsk& ask, const udp::endpoint& sender) {
  const Remote remote{ask.workspace, ask.nonce, sender};
  const auto& configuration = configuration_.Current();
  const Workspace* workspace =
      configuration ? configuration->FindWorkspaceById(ask.workspace) : nullptr;
  if (workspace == nullptr) return;
  const std::uint64_t id = next_id_++;
  const auto patience =
      std::min<base::Duration>(milliseconds{ask.patience_ms}, quota::kMaxPatience);
  const quota::TokenDemand demand{id, ask.begins ? ProgramStage::kBegins : ProgramStage::kUnderWay,
                                  Asker::kInstance, patience};
  const auto result = queue_.Ask(Now(), workspace->id, workspace->quota, demand);
  if (result) {
    // Without shares of its own the instance can't help, and says so by its silence.
    if (result->admission != Admission::kNoShare) Answer(remote, *result);
    return;
  }
  remotes_[id] = remote;
  Send(schema::TokenAnswer{ask.workspace, ask.nonce, false, true, 0}, sender);
  Serve();
}

void QuotaGate::Handle(const schema::TokenAnswer& answer) {
  const auto it = asks_.find(answer.nonce);
  if (it == asks_.end() || it->second.workspace != answer.workspace) return;
  const auto found = waiting_.find(it->second.request);
  if (found != waiting_.end()) Note(it->second, answer, *found->second);
  const base::TimePoint usable_until = it->second.usable_until;
  if (!answer.queued) asks_.erase(it);
  if (!answer.granted) return;
  fleet_.Shares().Borrow(Now(), answer.workspace, 1, usable_until);
  Serve();
}

void QuotaGate::Note(Ask& ask, const schema::TokenAnswer& answer, Waiting& waiting) {
  if (ask.queued) {
    --waiting.queued;
  } else if (waiting.unanswered > 0) {
    --waiting.unanswered;
  }
  if (answer.queued) ++waiting.queued;
  ask.queued = answer.queued;
  if (!answer.granted && !answer.queued) {
    const base::Duration after = milliseconds{answer.retry_after_ms};
    waiting.elsewhere_after = std::min(after, waiting.elsewhere_after.value_or(after));
  }
  waiting.changed.cancel();
}

void QuotaGate::Handle(const schema::TokenCancel& cancel, const udp::endpoint& sender) {
  const auto it = std::find_if(remotes_.begin(), remotes_.end(), [&](const auto& one) {
    return one.second.nonce == cancel.nonce && one.second.sender == sender;
  });
  if (it == remotes_.end()) return;
  queue_.Withdraw(it->second.workspace, it->first);
  remotes_.erase(it);
}

void QuotaGate::LeaveLines(std::uint64_t request) {
  for (auto& [nonce, ask] : asks_) {
    if (ask.request != request || !ask.queued) continue;
    ask.queued = false;
    Send(schema::TokenCancel{ask.workspace, nonce}, ask.instance);
  }
}

void QuotaGate::Answer(const Remote& remote, const AdmissionResult& result) {
  const bool granted = result.admission == Admission::kAdmitted;
  Send(schema::TokenAnswer{remote.workspace, remote.nonce, granted, false,
                           static_cast<std::uint32_t>(base::ToMillis(result.retry_after))},
       remote.sender);
}

void QuotaGate::Send(const schema::QuotaMessage& message, const udp::endpoint& peer) {
  const auto bytes = std::make_shared<std::string>(schema::EncodeQuota(message));
  socket_.async_send_to(asio::buffer(*bytes), peer, [bytes](error_code /*ec*/, std::size_t /*n*/) {
    // A datagram that can't be sent is as good as lost, which the protocol allows.
  });
}

void QuotaGate::Decide(Waiting& waiting, const AdmissionResult& result) {
  waiting.result = result;
  waiting.changed.cancel();
}

void QuotaGate::Serve() {
  const base::TimePoint now = Now();
  for (const quota::Decision& decision : queue_.Serve(now)) {
    if (const auto own = waiting_.find(decision.id); own != waiting_.end()) {
      Decide(*own->second, decision.result);
    } else if (const auto remote = remotes_.find(decision.id); remote != remotes_.end()) {
      Answer(remote->second, decision.result);
      remotes_.erase(remote);
    }
  }
  const auto next = queue_.NextAt(now);
  if (!next) return;
  timer_.expires_after(*next - now);
  timer_.async_wait([this](error_code ec) {
    if (!ec) Serve();
  });
}

}  // namespace persimmonstair::gateway
