#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CALLER_CONNECTION_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CALLER_CONNECTION_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_context.hpp"
#include "persimmonstair/base/error.hpp"
#include "persimmonstair/gateway/http.hpp"

namespace persimmonstair::gateway {

/// @brief One caller's connection: reads requests one after the other and writes their answers.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(GatewayContext& context, boost::asio::ip::tcp::socket socket);

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> Run();

  /// Closes the connection if no request was begun on it; for a planned stop.
  void CloseIfIdle();

  // The functions below are for the request that is being served. They return false, or do nothing,
  // once the caller is gone.

  boost::asio::awaitable<bool> Respond(HttpHead head, std::string body);
  boost::asio::awaitable<bool> RespondError(const base::Error& error);
  /// Begins an answer whose end isn't known yet.
  boost::asio::awaitable<bool> StartStream(HttpHead head);
  boost::asio::awaitable<bool> SendChunk(std::string_view data);
  boost::asio::awaitable<bool> EndStream();
  /// Ends the connection so that the answer doesn't look complete.
  void Abort();

  bool Disconnected() const { return disconnected_; }
  /// Called once when the caller leaves; empty to call nothing.
  void OnDisconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }

 private:
  struct ReadFailure {
    unsigned status = 0;  // 0 closes without an answer.
    std::string message;
  };

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ServeRequest();
  boost::asio::awaitable<std::optional<HttpRequest>> ReadRequest();
  boost::asio::awaitable<void> RejectRequest(const ReadFailure& failure);
  boost::asio::awaitable<void> DiscardInput();
  boost::asio::awaitable<bool> Write(std::string bytes);
  void StartTimer(base::Duration time);
  void StopTimer();
  void WatchCaller();
  void StopWatching();
  void MarkDisconnected();
  HttpHead WithConnectionHeaders(HttpHead head) const;

  GatewayContext& context_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  boost::asio::cancellation_signal stop_watching_;
  std::function<void()> on_disconnect_;
  std::uint64_t timer_generation_ = 0;
  bool timed_out_ = false;
  bool idle_ = true;
  bool keep_alive_ = true;
  bool disconnected_ = false;
  bool watching_ = false;
  base::TimePoint arrived_at_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CALLER_CONNECTION_HPP_
