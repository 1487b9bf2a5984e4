#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_ATTEMPT_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_ATTEMPT_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "deadline.hpp"
#include "persimmonstair/sockets/send_monitor.hpp"
#include "target_client_state.hpp"
#include "target_pool.hpp"
#include "target_response_parser.hpp"

namespace persimmonstair::net {

/// @brief One attempt to run a request on a target: reuses or opens a connection, sends the request
/// and reads the response. No other attempt uses the connection meanwhile. Runs on the I/O thread
/// of its connection pool only.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt> {
 public:
  TargetAttempt(std::shared_ptr<TargetClientState> shared_state, std::shared_ptr<TargetPool> pool,
                scheduler::Dispatch dispatch);

  void Start();
  /// Reports the failure kCancelled unless the attempt has ended.
  void Cancel();
  /// Ends the attempt and closes the connection without calling a handler.
  void Drop();
  TargetPool& Pool() { return *pool_; }

 private:
  void Connect();
  void OnConnected(boost::system::error_code ec);
  void Send();
  void OnSent(boost::system::error_code ec);
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t size);
  void ParseBuffer();
  void RelayEvents();
  void OnTimeout();
  void Succeed();
  void Fail(scheduler::FailureKind kind);
  void Close();

  std::shared_ptr<TargetClientState> shared_state_;
  std::shared_ptr<TargetPool> pool_;
  scheduler::Dispatch dispatch_;
  std::string request_text_;
  TargetResponseParser response_parser_;
  Deadline deadline_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
  std::optional<sockets::SendMonitor::Watch> send_watch_;
  boost::beast::flat_buffer buffer_;
  /// Bytes of the request may have left the process, so the target may have run it.
  bool write_started_ = false;
  /// The whole request was written.
  bool request_sent_ = false;
  bool response_started_ = false;
  bool relayed_ = false;
  bool ended_ = false;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_ATTEMPT_HPP_
