#ifndef PERSIMMONSTAIR_STANDIN_EXCHANGE_HPP_
#define PERSIMMONSTAIR_STANDIN_EXCHANGE_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace persimmonstair::standin {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using Json = nlohmann::json;
using Task = boost::asio::awaitable<void>;

/// @brief A fault that is injected into a response: none, truncated body, body larger than any
/// reader's limit, or a closed connection without a response.
enum class ResponseFault { kNone, kTruncate, kOversize, kLose };

/// @brief One request on a connection, and the functions that respond to it.
class Exchange {
 public:
  Exchange(boost::asio::ip::tcp::socket& socket, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  std::string method() const { return std::string(request_.method_string()); }
  /// Path without query, percent-decoded.
  const std::string& path() const { return path_; }
  std::string Header(std::string_view name) const;
  /// Value of a query parameter; empty if it is absent.
  std::string Query(const std::string& name) const;
  /// Value of a numeric query parameter; `fallback` if it is absent or not a number.
  std::int64_t QueryNumber(const std::string& name, std::int64_t fallback) const;
  /// The path segment between `prefix` and `suffix`; empty if the path does not match or the part
  /// between them contains a slash.
  std::string PathBetween(std::string_view prefix, std::string_view suffix = "") const;

  /// Sets the fault that Respond() injects.
  void set_fault(ResponseFault response_fault) { response_fault_ = response_fault; }
  Task Respond(unsigned status, std::string body, std::map<std::string, std::string> headers = {},
               std::string content_type = "application/json");
  Task RespondJson(unsigned status, const Json& body);
  Task RespondError(unsigned status, std::string code, std::string message, std::string verdict);

  /// Start a response with a chunked body, write a chunk, and end the body. After a failed write
  /// they do nothing.
  Task BeginStream(std::string content_type);
  Task WriteChunk(std::string data);
  Task EndStream();

  Task Wait(std::chrono::microseconds delay);
  /// Waits without a response until the peer closes the connection or Abort() is called, then
  /// closes the connection.
  Task Hang();
  /// True if the peer closed the connection or a write failed.
  bool PeerGone();
  /// Closes the connection without a response.
  void Abort();
  /// False once the connection is closed or a write failed.
  bool usable() const { return usable_; }
  /// True once a response has been started.
  bool responded() const { return responded_; }

 private:
  Task Write(std::string http_message);
  /// Header line that returns the request's correlation id; empty if it has none.
  std::string EchoHeaders() const;

  boost::asio::ip::tcp::socket& socket_;
  HttpRequest request_;
  std::string path_;
  std::map<std::string, std::string> query_;
  ResponseFault response_fault_ = ResponseFault::kNone;
  bool usable_ = true;
  bool responded_ = false;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_EXCHANGE_HPP_
