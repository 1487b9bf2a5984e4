#include "target_connector.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <string>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using dispatch::PathState;
using std::chrono::milliseconds;

/// Time that a direct attempt has before other instances are asked too. Several round trips between
/// data centres.
constexpr milliseconds kDirectHeadStart{60};
/// Maximum time to open a connection directly. A retransmission after a lost packet takes seconds,
/// so another target is faster.
constexpr milliseconds kDirectTimeout{250};
constexpr milliseconds kPeerConnectTimeout{60};
/// Maximum time for an instance to open the connection to the target and to say so.
constexpr milliseconds kPeerAnswerTimeout{200};
/// Instances that are asked whether a target has ended. The first two are in two data centres if
/// there are several.
constexpr std::size_t kEndWitnesses = 2;

const char* ToText(PathState state) {
  switch (state) {
    case PathState::kDirect:
      return "direct";
    case PathState::kDoubtful:
      return "doubtful";
    case PathState::kLost:
      break;
  }
  return "lost";
}

tl::unexpected<boost::system::error_code> Unexpected(boost::system::error_code ec) {
  return tl::make_unexpected(ec);
}

}  // namespace

awaitable<ConnectResult> TargetConnector::Open(dispatch::TargetEntry target,
                                               base::Duration timeout) {
  const PathState state = path_.State();
  const bool unreachable = path_.IsUnreachable(target.id);
  const bool probes = (state == PathState::kLost || unreachable) && path_.TakeProbe(Now());
  if (unreachable && !probes) co_return Unexpected(boost::asio::error::host_unreachable);
  const bool tries_directly = state != PathState::kLost || probes;
  const auto race = std::make_shared<Race>(executor_);
  const base::TimePoint deadline = Now() + timeout;
  if (tries_directly) {
    ++race->running;
    boost::asio::co_spawn(executor_, OpenDirectly(race, target), boost::asio::detached);
  }
  if (state != PathState::kLost) {
    co_await WaitForChange(race, std::min(deadline, Now() + kDirectHeadStart));
  }
  // A target that refuses the connection while others are reached is itself the cause.
  const bool asks_peers = race->running > 0 || path_.State() != PathState::kDirect;
  if (!race->winner && asks_peers) {
    ++race->running;
    boost::asio::co_spawn(executor_, OpenByRelay(race, target, deadline), boost::asio::detached);
  }
  while (!race->winner && race->running > 0 && Now() < deadline) {
    co_await WaitForChange(race, deadline);
  }
  race->over = true;
  if (race->winner) co_return std::move(race->winner);
  if (race->error) co_return tl::make_unexpected(race->error);
  co_return Unexpected(boost::asio::error::timed_out);
}

awaitable<bool> TargetConnector::HasEnded(dispatch::TargetEntry target) {
  HttpConnection direct(executor_);
  const auto ec = co_await direct.Connect(target.endpoint, kDirectTimeout);
  if (!ec) {
    OnDirect(target.id, true);
    co_return false;
  }
  if (!IsRelayable(target.id)) co_return true;
  const RelayRequest request{target.id, target.started_ms};
  std::vector<dispatch::Endpoint> witnesses = peers_.Order(Now(), fleet_.RelayCandidates());
  witnesses.resize(std::min(witnesses.size(), kEndWitnesses));
  for (const auto& peer : witnesses) {
    HttpConnection relayed(executor_);
    const unsigned status = co_await AskRelay(relayed, peer, request);
    if (status == kRelayOpened) co_return false;
  }
  co_return true;
}

awaitable<void> TargetConnector::WaitForChange(RacePtr race, base::TimePoint until) {
  race->changed.expires_after(until - Now());
  co_await race->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<void> TargetConnector::OpenDirectly(RacePtr race, dispatch::TargetEntry target) {
  auto connection = std::make_unique<HttpConnection>(executor_);
  const auto ec = co_await connection->Connect(target.endpoint, kDirectTimeout);
  if (ec) last_miss_hung_ = ec == boost::beast::error::timeout;
  OnDirect(target.id, !ec);
  race->error = ec;
  if (!ec && !race->winner && !race->over) race->winner = std::move(connection);
  --race->running;
  race->changed.cancel();
}

awaitable<void> TargetConnector::OpenByRelay(RacePtr race, dispatch::TargetEntry target,
                                             base::TimePoint deadline) {
  const RelayRequest request{target.id, target.started_ms};
  const auto candidates = fleet_.RelayCandidates();
  std::vector<dispatch::Endpoint> peers;
  if (IsRelayable(target.id)) peers = peers_.Order(Now(), candidates);
  bool connected = false;
  // Without other instances there is no other way.
  bool missed = candidates.empty();
  for (const auto& peer : peers) {
    if (race->winner || race->over || Now() >= deadline) break;
    auto connection = std::make_unique<HttpConnection>(executor_);
    const unsigned status = co_await AskRelay(*connection, peer, request);
    connected = status == kRelayOpened;
    missed = missed || status == kRelayTargetUnreachable || status == kRelayUnavailable;
    if (connected && !race->winner && !race->over) race->winner = std::move(connection);
    // A peer that misses the target too shows that the target is the cause, unless this instance
    // doubts its own path: the peer may have lost its path as well.
    const bool target_is_gone =
        status == kRelayTargetUnreachable && path_.State() == PathState::kDirect;
    if (connected || target_is_gone) break;
  }
  if (connected || missed) OnRelayed(target.id, connected);
  --race->running;
  race->changed.cancel();
}

awaitable<unsigned> TargetConnector::AskRelay(HttpConnection& connection, dispatch::Endpoint peer,
                                              RelayRequest request) {
  bool asked = !co_await connection.Connect(peer, kPeerConnectTimeout);
  if (asked) {
    const WriteResult written =
        co_await connection.Write(SerializeRelayRequest(request), kPeerConnectTimeout);
    asked = !written.error;
  }
  unsigned status = 0;
  if (asked) {
    const auto head = co_await connection.ReadHead(kPeerAnswerTimeout);
    if (head) status = head->status;
  }
  if (status == kRelayOpened) {
    peers_.OnRelayed(Now(), peer);
    connection.MarkRelayed();
  }
  // Any other status concerns this target alone.
  if (status == 0 || status == kRelayUnavailable) peers_.OnFailed(Now(), peer);
  co_return status;
}

void TargetConnector::OnDirect(const base::TargetId& target, bool connected) {
  const PathState before = path_.State();
  path_.OnDirect(target, connected);
  FollowPath(before);
}

void TargetConnector::OnRelayed(const base::TargetId& target, bool connected) {
  const PathState before = path_.State();
  path_.OnRelayed(target, connected);
  if (connected) ++relayed_;
  FollowPath(before);
}

void TargetConnector::FollowPath(PathState before) {
  const PathState state = path_.State();
  if (state == before) return;
  diagnostics::Log(
      diagnostics::Level::kWarning, "path_to_targets_changed",
      {{"before", ToText(before)}, {"state", ToText(state)}, {"hangs", last_miss_hung_}});
  if (state == PathState::kLost && last_miss_hung_ && on_hanging_path_) on_hanging_path_();
}

}  // namespace persimmonstair::gateway
