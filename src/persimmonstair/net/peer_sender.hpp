#ifndef PERSIMMONSTAIR_SRC_NET_PEER_SENDER_HPP_
#define PERSIMMONSTAIR_SRC_NET_PEER_SENDER_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "deadline.hpp"
#include "peer_transport_state.hpp"
#include "persimmonstair/sockets/send_monitor.hpp"

namespace persimmonstair::net {

/// @brief Persistent outgoing connection to one peer. Messages are queued while the connection is
/// being opened, and fail immediately during the backoff between two attempts to open it.
class PeerSender : public std::enable_shared_from_this<PeerSender> {
 public:
  PeerSender(std::shared_ptr<PeerTransportState> shared_state, schema::PeerSettings peer);

  void Start();
  /// Queues an encoded peer message, or reports it as failed if the connection is in backoff or too
  /// many bytes are queued.
  void Send(std::string payload);
  /// Closes the connection, reports the queued messages as failed and reconnects after the backoff.
  void Disconnect();
  /// Closes the connection and does not reconnect.
  void Stop();
  const schema::PeerSettings& Peer() const { return peer_; }

 private:
  enum class State { kConnecting, kReadingNonce, kOpen, kBackoff, kStopped };

  void Connect();
  void OnConnected(boost::system::error_code ec);
  void OnNonceRead(boost::system::error_code ec);
  void WatchForClose();
  void Flush();
  void OnWritten(boost::system::error_code ec, std::size_t size);
  void FailUnsent(std::size_t written);
  /// Calls on_send_failed, except for the empty payload that only authenticates.
  void ReportSendFailed(const std::string& payload, bool sent);

  std::shared_ptr<PeerTransportState> shared_state_;
  schema::PeerSettings peer_;
  State state_ = State::kBackoff;
  boost::asio::ip::tcp::socket socket_;
  sockets::SendMonitor::Watch send_watch_;
  Deadline deadline_;
  boost::asio::steady_timer retry_timer_;
  std::chrono::milliseconds backoff_;
  /// Incremented for each connection, so that handlers of an earlier connection have no effect.
  std::uint64_t generation_ = 0;
  std::array<char, kConnectionNonceBytes> connection_nonce_{};
  std::array<char, 1> unexpected_byte_{};
  std::uint64_t sequence_ = 0;
  /// Payloads that have not been sent completely. The first `write_batch_.size()` of them are being
  /// written.
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  /// Encoded frames of the write in progress.
  std::vector<std::string> write_batch_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_PEER_SENDER_HPP_
