// Tests of the HTTP client with servers that send what is no response.
#include "persimmonstair/service_clients/http_client.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace persimmonstair::service_clients {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Answers one request with these bytes.
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, answer = std::move(answer)] {
          tcp::socket socket = acceptor_.accept();
          asio::streambuf request;
          boost::system::error_code ec;
          asio::read_until(socket, request, "\r\n\r\n", ec);
          asio::write(socket, asio::buffer(answer), ec);
        }) {}
  ~OneAnswerServer() { thread_.join(); }

  Endpoint Address() const {
    return *ParseEndpoint("http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
  }

 private:
  asio::io_context io_{1};
  tcp::acceptor acceptor_;
  std::thread thread_;
};

// Guards against a status that HTTP doesn't know (RFC 9110, section 15), or an interim one, that
// counts as the answer of a service, and so as a proof that a call had no effect.
TEST(HttpClientTest, OddStatusesAreNoResponses) {
  for (const std::string status : {"000", "099", "100", "101", "600", "999"}) {
    const OneAnswerServer server("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    const auto answer =
        SendAndWait(server.Address(), {"POST", "/", {}, "x"}, std::chrono::seconds{10});
    ASSERT_FALSE(answer) << status;
    EXPECT_EQ(answer.error().verdict, base::Verdict::kMayHaveRun) << status;
  }
}

}  // namespace
}  // namespace persimmonstair::service_clients
