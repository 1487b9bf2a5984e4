#include "target_connector.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "relay_protocol.hpp"

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
constexpr milliseconds kPeerAnswerTimeout{150};

const char* ToText(PathState state) {
  switch (state) {
    case PathState::kDirect:
      return "direct";
    case PathState::kDoubtful:
      return "doubtful";
    case PathState::kLost:
      return "lost";
    case PathState::kNoWay:
      break;
  }
  return "no_way";
}

}  // namespace

awaitable<ConnectResult> TargetConnector::Open(dispatch::TargetEntry target,
                                               base::Duration timeout) {
  const PathState state = path_.State();
  const bool tries_directly =
      state == PathState::kDirect || state == PathState::kDoubtful || path_.TakeProbe(Now());
  if (state == PathState::kNoWay && !tries_directly) {
    co_return tl::make_unexpected(
        boost::asio::error::make_error_code(boost::asio::error::host_unreachable));
  }
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
  co_return tl::make_unexpected(
      race->error ? race->error
                  : boost::asio::error::make_error_code(boost::asio::error::timed_out));
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
  bool connected = false;
  if (IsRelayable(target.id)) {
    for (const auto& peer : peers_.Order(Now(), fleet_.RelayCandidates())) {
      if (race->winner || race->over || Now() >= deadline) break;
      auto connection = co_await AskRelay(peer, target);
      connected = connection != nullptr;
      if (!connected) continue;
      if (!race->winner && !race->over) race->winner = std::move(connection);
      break;
    }
  }
  // An attempt that was no longer needed says nothing about the way.
  if (connected || !race->winner) OnRelayed(target.id, connected);
  --race->running;
  race->changed.cancel();
}

awaitable<std::unique_ptr<HttpConnection>> TargetConnector::AskRelay(
    dispatch::Endpoint peer, const dispatch::TargetEntry& target) {
  auto connection = std::make_unique<HttpConnection>(executor_);
  const std::string request = SerializeRelayRequest({target.id, target.started_ms});
  bool asked = !co_await connection->Connect(peer, kPeerConnectTimeout);
  if (asked) {
    const WriteResult written = co_await connection->Write(request, kPeerConnectTimeout);
    asked = !written.error;
  }
  unsigned status = 0;
  if (asked) {
    const auto head = co_await connection->ReadHead(kPeerAnswerTimeout);
    if (head) status = head->status;
  }
  if (status == kRelayOpened) {
    peers_.OnRelayed(Now(), peer);
    connection->MarkRelayed();
    co_return connection;
  }
  // Any other status concerns this target alone.
  if (status == 0 || status == kRelayUnavailable) peers_.OnFailed(Now(), peer);
  co_return nullptr;
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
