#include "peer_socket.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <memory>
#include <string>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/entry_peer_codec.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
using boost::system::error_code;
using diagnostics::Level;
using diagnostics::Log;

std::optional<PeerEndpoint> ToPeerEndpoint(const dispatch::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) return std::nullopt;
  return PeerEndpoint(address, endpoint.port);
}

base::Result<void> PeerSocket::Listen(const dispatch::Endpoint& endpoint) {
  const auto local = ToPeerEndpoint(endpoint);
  error_code ec = asio::error::invalid_argument;
  if (local) socket_.open(local->protocol(), ec);
  if (!ec) socket_.bind(*local, ec);
  if (!ec) return {};
  return base::Fail(base::ErrorCode::kInvalidRequest, "can't use UDP " + endpoint.address + ":" +
                                                          std::to_string(endpoint.port) + ": " +
                                                          ec.message());
}

asio::awaitable<void> PeerSocket::Run() {
  for (;;) {
    PeerEndpoint sender;
    const auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(buffer_), sender,
                                                             asio::as_tuple(asio::use_awaitable));
    // The error refers to an earlier datagram that was not delivered; the socket stays usable.
    if (ec) continue;
    const auto message = schema::DecodeEntryPeer({buffer_.data(), n});
    if (message) Handle(*message, sender);
  }
}

void PeerSocket::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  for (const auto& handler : handlers_) {
    // A datagram must not end the process, whatever it holds.
    try {
      handler(message, sender);
    } catch (const std::exception& error) {
      Log(Level::kError, "datagram_failed",
          {{"type", message.index()},
           {"sender", sender.address().to_string()},
           {"error", error.what()}});
    }
  }
}

bool PeerSocket::Send(const schema::EntryPeerMessage& message, const PeerEndpoint& peer) {
  const auto bytes = std::make_shared<std::string>(schema::EncodeEntryPeer(message));
  if (bytes->size() > kMaxDatagramBytes) return false;
  socket_.async_send_to(asio::buffer(*bytes), peer, [bytes](error_code /*ec*/, std::size_t /*n*/) {
    // A failed send is treated like a lost datagram, which the protocol tolerates.
  });
  return true;
}

}  // namespace persimmonstair::gateway
