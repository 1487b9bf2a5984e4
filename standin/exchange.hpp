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

/// @brief How an answer is spoilt on its way out.
enum class ResponseFault { kNone, kTruncate, kOversize, kLose };

/// @brief One request on a connection and the ways to answer it.
class Exchange {
 public:
  Exchange(boost::asio::ip::tcp::socket& socket, HttpRequest request);

  const HttpRequest& request() const { return request_; }
  std::string method() const { return std::string(request_.method_string()); }
  /// Path without query, percent-decoded.
  const std::string& path() const { return path_; }
  std::string Header(std::string_view name) const;
  std::string Query(const std::string& name) const;
  std::int64_t QueryNumber(const std::string& name, std::int64_t fallback) const;
  /// The part of the path after `prefix` and before `suffix`; empty if the path differs.
  std::string PathBetween(std::string_view prefix, std::string_view suffix = "") const;

  /// Applies to the next Respond().
  void set_response_fault(ResponseFault response_fault) { response_fault_ = response_fault; }
  Task Respond(unsigned status, std::string body, std::map<std::string, std::string> headers = {},
               std::string content_type = "application/json");
  Task RespondJson(unsigned status, const Json& body);
  Task RespondError(unsigned status, std::string code, std::string message, std::string verdict);

  /// Chunked body; the calls after a failed write do nothing.
  Task BeginStream(std::string content_type);
  Task WriteChunk(std::string data);
  Task EndStream();

  Task Wait(std::chrono::microseconds delay);
  /// Says nothing until the other side closes the connection or Abort() is called.
  Task Hang();
  /// True when the other side closed the connection or a write failed.
  bool PeerGone();
  /// Closes the connection without an answer.
  void Abort();
  bool usable() const { return usable_; }
  bool responded() const { return responded_; }

 private:
  Task Write(std::string http_message);
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
