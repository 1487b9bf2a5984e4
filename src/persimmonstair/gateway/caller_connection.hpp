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
#include <tl/expected.hpp>

#include "connection_table.hpp"
#include "gateway_context.hpp"
#include "persimmonstair/base/error.hpp"
#include "persimmonstair/gateway/http.hpp"
#include "persimmonstair/sockets/send_monitor.hpp"
#include "request_memory.hpp"
#include "request_parser.hpp"
#include "socket_options.hpp"

namespace persimmonstair::gateway {

/// @brief A caller's connection. Reads requests one after the other and writes their responses.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(GatewayContext& context, boost::asio::ip::tcp::socket socket);

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> Run();

  /// Closes the connection if no request is in progress on it; used for a planned stop.
  void CloseIfIdle();
  /// Ends the connection, or the request that is being read, because others need its place.
  /// False if it has unread bytes and so isn't idle.
  bool Evict(Eviction reason);
  /// Ends the request in progress because the instance stops; its caller gets an error.
  void EndRequest();

  // The functions below write the response to the current request. They return false, or do
  // nothing, after the caller has disconnected.

  boost::asio::awaitable<bool> Respond(HttpHead head, std::string body);
  boost::asio::awaitable<bool> RespondError(const base::Error& error);
  /// Starts a response of unknown length, which is sent in chunks.
  boost::asio::awaitable<bool> StartStream(HttpHead head);
  boost::asio::awaitable<bool> SendChunk(std::string_view data);
  boost::asio::awaitable<bool> EndStream();
  /// Closes the connection without ending the response, so that the caller sees it as incomplete.
  void Abort();

  /// Sets the time until which the caller waits for the response to its request. It may take that
  /// long to read it.
  void SetDeadline(base::TimePoint deadline) { deadline_ = deadline; }
  bool Disconnected() const { return disconnected_; }
  /// Sets the function that is called once when the caller disconnects; empty for none.
  void OnDisconnect(std::function<void()> callback) { on_disconnect_ = std::move(callback); }
  /// Sets the function that EndRequest() calls; empty for none.
  void OnEndRequest(std::function<void()> callback) { on_end_request_ = std::move(callback); }

 private:
  struct ReadFailure {
    unsigned status = 0;  // HTTP status; 0 closes the connection without a response.
    std::string message;
    /// Label of the counter of refusals.
    const char* reason = "unreadable";
  };
  using ReadResult = tl::expected<HttpRequest, ReadFailure>;

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ServeRequest();
  boost::asio::awaitable<ReadResult> ReadRequest();
  /// Reads the rest of a request whose head is complete.
  boost::asio::awaitable<std::optional<ReadFailure>> ReadBody(RequestParser& parser,
                                                              const CallerLimits& limits);
  /// Parses what was read, and makes room for the body if need be.
  boost::asio::awaitable<std::optional<ReadFailure>> Parse(RequestParser& parser);
  /// Reads more bytes into the buffer.
  boost::asio::awaitable<std::optional<ReadFailure>> ReadSome(bool head);
  /// Takes room in the account, for which it waits a short time with the socket unread.
  boost::asio::awaitable<bool> TakeRoom(std::size_t bytes);
  static ReadFailure NoRoom() { return {503, "the memory for requests is full", "no_room"}; }
  ReadFailure FailureOf(const boost::system::error_code& ec) const;
  boost::asio::awaitable<void> RejectRequest(const ReadFailure& failure);
  boost::asio::awaitable<void> DiscardInput();
  boost::asio::awaitable<bool> Write(std::string_view head, std::string_view body = {},
                                     std::string_view end = {});
  /// Time in which the caller must take what is written.
  std::chrono::milliseconds LongestWrite() const;
  void LogLoss(PeerState state);
  void StartTimer(base::Duration time);
  void StopTimer();
  void WatchCaller();
  void StopWatching();
  void MarkDisconnected();
  HttpHead WithConnectionHeaders(HttpHead head) const;
  /// True if a response with this status to the current request has a body.
  bool HasBody(unsigned status) const;

  GatewayContext& context_;
  boost::asio::ip::tcp::socket socket_;
  sockets::SendMonitor::Watch send_watch_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  ConnectionTable::Place place_;
  /// What the current request and the buffer hold.
  RequestBytes request_bytes_;
  std::size_t buffer_bytes_ = 0;
  std::optional<Eviction> evicted_;
  boost::asio::cancellation_signal stop_watching_;
  std::function<void()> on_disconnect_;
  std::function<void()> on_end_request_;
  std::uint64_t timer_generation_ = 0;
  bool timed_out_ = false;
  bool idle_ = true;
  bool keep_alive_ = true;
  bool disconnected_ = false;
  bool watching_ = false;
  /// The current request is HEAD, so its response has no body.
  bool head_request_ = false;
  /// The response to the current request is a stream without a body.
  bool bodiless_stream_ = false;
  base::TimePoint arrived_at_;
  /// Time until which the caller waits for the current response.
  base::TimePoint deadline_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CALLER_CONNECTION_HPP_
