#include "store_access/store_relay_connector.hpp"

#include <boost/asio/error.hpp>
#include <memory>

#include "clock.hpp"
#include "relay_protocol.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kPeerConnectTimeout{60};
/// Maximum time for an instance to open the connection to the store and to say so.
constexpr milliseconds kPeerAnswerTimeout{200};

}  // namespace

awaitable<StoreConnectResult> StoreRelayConnector::Open(base::Duration timeout) {
  const base::TimePoint deadline = Now() + timeout;
  std::vector<dispatch::Endpoint> peers;
  if (candidates_) peers = peers_.Order(Now(), candidates_());
  for (const auto& peer : peers) {
    if (Now() >= deadline) break;
    auto connection = std::make_unique<HttpConnection>(executor_);
    const bool opened = co_await Ask(*connection, peer);
    if (opened) {
      peers_.OnRelayed(Now(), peer);
      connection->MarkRelayed();
      co_return std::move(connection);
    }
    peers_.OnFailed(Now(), peer);
  }
  co_return tl::make_unexpected(boost::system::error_code(boost::asio::error::host_unreachable));
}

awaitable<bool> StoreRelayConnector::Ask(HttpConnection& connection, dispatch::Endpoint peer) {
  if (co_await connection.Connect(peer, kPeerConnectTimeout)) co_return false;
  const WriteResult written =
      co_await connection.Write(SerializeStoreRelayRequest(), kPeerConnectTimeout);
  if (written.error) co_return false;
  const auto head = co_await connection.ReadHead(kPeerAnswerTimeout);
  co_return head && head->status == kRelayOpened;
}

}  // namespace persimmonstair::gateway::store_access
