#include "persimmonstair/net/target_client.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "test_socket.hpp"

namespace persimmonstair::net {
namespace {

using base::Verdict;
using scheduler::FailureKind;

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n";

// Result of an attempt; `kind` is empty if it got a complete response.
struct AttemptResult {
  std::string kind;
  scheduler::TargetDone done;
  scheduler::TargetFailed failed;
};

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

class TargetClientTest : public testing::Test {
 protected:
  ~TargetClientTest() override {
    if (client_) client_->Stop();
    pool_.Stop();
  }

  void Start() {
    options_.correlation_prefix = "test";
    TargetClientHandlers handlers;
    handlers.on_first_byte = [this](scheduler::TargetFirstByte event) { first_bytes_.Push(event); };
    handlers.on_done = [this](scheduler::TargetDone event) {
      results_.Push({"", std::move(event), {}});
    };
    handlers.on_failed = [this](scheduler::TargetFailed event) {
      results_.Push({"failed", {}, event});
    };
    handlers.relay = [this](base::RequestId request, std::string data) {
      EXPECT_EQ(request.value, 77U);
      relayed_.Push(std::move(data));
    };
    client_ = MakeTargetClient(pool_, options_, handlers);
  }

  scheduler::Dispatch MakeDispatch(std::uint16_t port) {
    scheduler::Dispatch dispatch;
    dispatch.attempt = {++attempts_};
    dispatch.request = {77};
    dispatch.address = "127.0.0.1";
    dispatch.port = port;
    dispatch.path = "/run";
    dispatch.body = "{}";
    dispatch.relay = true;
    return dispatch;
  }

  AttemptResult RunAttempt(scheduler::Dispatch dispatch) {
    const auto attempt = dispatch.attempt;
    client_->Dispatch(std::move(dispatch));
    auto result = results_.Pop();
    EXPECT_EQ(result.kind.empty() ? result.done.attempt : result.failed.attempt, attempt);
    return result;
  }

  // Runs one attempt against a target that sends these bytes and closes the connection.
  AttemptResult RunAgainstResponse(const std::string& response) {
    TestServer server([&](TestSocket& socket) {
      socket.ReadRequest();
      socket.Send(response);
    });
    return RunAttempt(MakeDispatch(server.Port()));
  }

  void ExpectFailed(const AttemptResult& result, FailureKind kind, Verdict verdict) {
    ASSERT_EQ(result.kind, "failed");
    EXPECT_EQ(result.failed.kind, kind);
    EXPECT_EQ(result.failed.verdict, verdict);
  }

  // With one thread, all attempts share one connection pool.
  IoPool pool_{1};
  TargetClientOptions options_;
  std::unique_ptr<TargetClient> client_;
  std::uint64_t attempts_ = 0;
  TestQueue<scheduler::TargetFirstByte> first_bytes_;
  TestQueue<AttemptResult> results_;
  TestQueue<std::string> relayed_;
};

// Guards against a request that fails because its target reads it late.
TEST_F(TargetClientTest, TargetsMayReadRequestsLate) {
  options_.tcp_user_timeout = std::chrono::milliseconds{1500};
  Start();
  TestServer late(
      [](TestSocket& socket) {
        std::this_thread::sleep_for(std::chrono::milliseconds{2500});
        socket.ReadRequest();
        socket.Send(kOk);
      },
      2304);
  auto dispatch = MakeDispatch(late.Port());
  dispatch.body = std::string(100'000, 'x');
  EXPECT_EQ(RunAttempt(std::move(dispatch)).kind, "");
}

// Guards against forwarding a caller's key or framing headers to a target.
TEST_F(TargetClientTest, SendsOnlyAllowedHeadersAndTheNamedCredential) {
  options_.credentials["engine"] = "engine-token";
  Start();
  TestQueue<TestMessage> requests;
  TestServer server([&](TestSocket& socket) {
    requests.Push(socket.ReadRequest());
    socket.Send(kOk);
  });
  auto dispatch = MakeDispatch(server.Port());
  dispatch.credential = "engine";
  dispatch.headers = {{"x-a", "1"},
                      {"Authorization", "Bearer callers-key"},
                      {"content-length", "9"},
                      {"x-split", "1\r\nx-injected: 1"}};
  EXPECT_EQ(RunAttempt(dispatch).done.body, "ok");
  const auto request = requests.Pop();
  EXPECT_EQ(request.method_and_target, "POST /run");
  EXPECT_EQ(request.body, "{}");
  EXPECT_EQ(request.headers.at("authorization"), "Bearer engine-token");
  EXPECT_EQ(request.headers.at("x-a"), "1");
  EXPECT_EQ(request.headers.at("persimmonstair-correlation"), "test-1");
  EXPECT_EQ(request.headers.count("x-split") + request.headers.count("x-injected"), 0U);
}

TEST_F(TargetClientTest, DispatchThatCannotBeSentHasNotRun) {
  Start();
  TestServer server([](TestSocket& socket) { socket.ReadAll(); });
  auto unknown = MakeDispatch(server.Port());
  unknown.credential = "missing";
  ExpectFailed(RunAttempt(unknown), FailureKind::kConnectRefused, Verdict::kNotRun);
  auto path = MakeDispatch(server.Port());
  path.path = "/a b";
  ExpectFailed(RunAttempt(path), FailureKind::kConnectRefused, Verdict::kNotRun);
  auto address = MakeDispatch(server.Port());
  address.address = "localhost";
  ExpectFailed(RunAttempt(address), FailureKind::kConnectRefused, Verdict::kNotRun);
  EXPECT_EQ(server.Connections(), 0);
}

TEST_F(TargetClientTest, RefusedConnectionHasNotRun) {
  Start();
  std::uint16_t port = 0;
  {
    port = TestServer([](TestSocket&) {}).Port();
  }
  ExpectFailed(RunAttempt(MakeDispatch(port)), FailureKind::kConnectRefused, Verdict::kNotRun);
}

TEST_F(TargetClientTest, ConnectionsAreReused) {
  Start();
  TestServer server([](TestSocket& socket) {
    while (socket.ReadRequest().status != 0) socket.Send(kOk);
  });
  for (int n = 0; n < 3; ++n) EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "ok");
  EXPECT_EQ(server.Connections(), 1);
  auto fresh = MakeDispatch(server.Port());
  fresh.fresh_connection = true;
  EXPECT_EQ(RunAttempt(fresh).done.body, "ok");
  EXPECT_EQ(server.Connections(), 2);
}

// Guards against taking a late response for the response to the next request.
TEST_F(TargetClientTest, ConnectionWithAnUnexpectedByteIsNotReused) {
  Start();
  TestQueue<int> sent;
  TestQueue<std::string> ended;
  std::atomic<int> first{0};
  TestServer server([&](TestSocket& socket) {
    if (first++ > 0) {
      socket.ReadRequest();
      socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
      return;
    }
    socket.ReadRequest();
    socket.Send(kOk);
    // Send a complete response without a request on the idle connection.
    sent.Pop();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    ended.Push(socket.ReadAll());
  });
  EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "ok");
  sent.Push(1);
  EXPECT_EQ(ended.Pop(), "");
  EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "new");
}

TEST_F(TargetClientTest, BytesAfterAResponseCloseTheConnection) {
  Start();
  TestQueue<std::string> ended;
  TestServer server([&](TestSocket& socket) {
    socket.ReadRequest();
    socket.Send(std::string(kOk) + "x");
    ended.Push(socket.ReadAll());
  });
  EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "ok");
  EXPECT_EQ(ended.Pop(), "");
}

// Guards against accepting the response to another attempt.
TEST_F(TargetClientTest, EchoedCorrelationIdMustMatchTheAttempt) {
  Start();
  const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n");
  EXPECT_EQ(RunAgainstResponse(head + "persimmonstair-correlation: test-1\r\n\r\nok").done.body,
            "ok");
  ExpectFailed(RunAgainstResponse(head + "persimmonstair-correlation: test-1\r\n\r\nok"),
               FailureKind::kMalformedAnswer, Verdict::kMayHaveRun);
}

TEST_F(TargetClientTest, TruncatedAndMalformedResponsesFail) {
  Start();
  const auto closed = FailureKind::kConnectionClosed;
  const auto malformed = FailureKind::kMalformedAnswer;
  ExpectFailed(RunAgainstResponse(""), closed, Verdict::kMayHaveRun);
  ExpectFailed(RunAgainstResponse("HTTP/1.1 200 OK\r\nContent-Le"), closed, Verdict::kMayHaveRun);
  ExpectFailed(RunAgainstResponse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc"), closed,
               Verdict::kMayHaveRun);
  ExpectFailed(
      RunAgainstResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
      closed, Verdict::kMayHaveRun);
  ExpectFailed(RunAgainstResponse("HTTP/1.1 200 OK\r\n\r\nno length"), malformed,
               Verdict::kMayHaveRun);
  ExpectFailed(RunAgainstResponse("nonsense\r\n\r\n"), malformed, Verdict::kMayHaveRun);
  ExpectFailed(RunAgainstResponse("HTTP/1.1 101 Switching\r\n\r\n"), malformed,
               Verdict::kMayHaveRun);
  options_.max_response_bytes = 10;
  Start();
  ExpectFailed(RunAgainstResponse("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"), malformed,
               Verdict::kMayHaveRun);
}

TEST_F(TargetClientTest, StreamIsRelayedAndAssembled) {
  Start();
  const auto result = RunAgainstResponse(kStreamHead + Chunk(kEvent) + Chunk(kEvent) +
                                         Chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  ASSERT_EQ(result.kind, "");
  const auto json = nlohmann::json::parse(result.done.body);
  EXPECT_EQ(json["choices"][0]["message"]["content"], "hihi");
  std::string relayed;
  for (auto left = relayed_.size(); left > 0; --left) relayed += relayed_.Pop();
  EXPECT_EQ(relayed, std::string(kEvent) + kEvent);
  EXPECT_EQ(first_bytes_.size(), 1U);
}

TEST_F(TargetClientTest, StreamWithoutEndMarkerFails) {
  Start();
  auto result = RunAgainstResponse(kStreamHead + Chunk(kEvent));
  ExpectFailed(result, FailureKind::kConnectionClosed, Verdict::kMayHaveRun);
  EXPECT_TRUE(result.failed.partly_relayed);
  result = RunAgainstResponse(kStreamHead + Chunk(kEvent) + "0\r\n\r\n");
  ExpectFailed(result, FailureKind::kMalformedAnswer, Verdict::kMayHaveRun);
  result = RunAgainstResponse(kStreamHead + Chunk("data: {\"error\":\"x\"}\n\n"));
  ExpectFailed(result, FailureKind::kMalformedAnswer, Verdict::kMayHaveRun);
  EXPECT_FALSE(result.failed.partly_relayed);
}

TEST_F(TargetClientTest, ErrorStatusesAndRedirectsAreResponses) {
  Start();
  auto result = RunAgainstResponse(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
      "Content-Length: 0\r\n\r\n");
  EXPECT_EQ(result.done.status, 302U);
  const std::string body = "{\"error\":{\"code\":\"leaving\"}}";
  result = RunAgainstResponse(
      "HTTP/1.1 503 Busy\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_EQ(result.done.status, 503U);
  EXPECT_TRUE(result.done.leaving);
  EXPECT_EQ(result.done.body, body);
}

// Guards against a status that HTTP doesn't know (RFC 9110, section 15) that reaches the caller,
// and against a response that stands in the content of what claims to be an interim one.
TEST_F(TargetClientTest, OddStatusesAreNoResponses) {
  Start();
  const std::string smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const std::string length = "Content-Length: " + std::to_string(smuggled.size()) + "\r\n\r\n";
  for (const std::string status : {"000", "099", "100", "101", "600", "999"}) {
    const std::string head = "HTTP/1.1 " + status + " X\r\n";
    for (const std::string& rest :
         {length + smuggled, std::string("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")}) {
      ExpectFailed(RunAgainstResponse(head + rest), FailureKind::kMalformedAnswer,
                   Verdict::kMayHaveRun);
    }
  }
}

TEST_F(TargetClientTest, ReadsTokenCounts) {
  Start();
  const std::string body = "{\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":6}}";
  const auto result = RunAgainstResponse(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  EXPECT_EQ(result.done.prompt_tokens, 5);
  EXPECT_EQ(result.done.completion_tokens, 6);
}

// Guards against attempts, and their memory, that a silent connection keeps forever.
TEST_F(TargetClientTest, UnresponsiveTargetsTimeOut) {
  Start();
  TestServer silent([](TestSocket& socket) { socket.ReadAll(); });
  auto dispatch = MakeDispatch(silent.Port());
  dispatch.first_byte_timeout = std::chrono::milliseconds(50);
  ExpectFailed(RunAttempt(dispatch), FailureKind::kFirstByteTimeout, Verdict::kMayHaveRun);
  TestServer stalls([](TestSocket& socket) {
    socket.ReadRequest();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    socket.ReadAll();
  });
  dispatch = MakeDispatch(stalls.Port());
  dispatch.between_bytes_timeout = std::chrono::milliseconds(50);
  ExpectFailed(RunAttempt(dispatch), FailureKind::kBetweenBytesTimeout, Verdict::kMayHaveRun);
}

// A listener whose queue is full accepts no connection, so the connection attempt stays pending.
TEST_F(TargetClientTest, ConnectTimeoutHasNotRun) {
  Start();
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor full(context);
  full.open(boost::asio::ip::tcp::v4());
  full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  full.listen(0);
  const auto port = full.local_endpoint().port();
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
  std::vector<boost::asio::ip::tcp::socket> fill;
  for (int n = 0; n < 4; ++n) {
    fill.emplace_back(context, boost::asio::ip::tcp::v4());
    fill.back().native_non_blocking(true);
    // The connection is pending or established; either takes a place in the queue.
    ::connect(fill.back().native_handle(), endpoint.data(), endpoint.size());
  }
  auto dispatch = MakeDispatch(port);
  dispatch.connect_timeout = std::chrono::milliseconds(50);
  ExpectFailed(RunAttempt(dispatch), FailureKind::kConnectTimeout, Verdict::kNotRun);
}

TEST_F(TargetClientTest, CancelReportsAnAttemptOnce) {
  Start();
  TestQueue<int> asked;
  TestServer server([&](TestSocket& socket) {
    socket.ReadRequest();
    asked.Push(1);
    socket.ReadAll();
  });
  const auto dispatch = MakeDispatch(server.Port());
  client_->Dispatch(dispatch);
  asked.Pop();
  client_->Cancel(dispatch.attempt);
  client_->Cancel(dispatch.attempt);
  ExpectFailed(results_.Pop(), FailureKind::kCancelled, Verdict::kMayHaveRun);
  EXPECT_EQ(client_->InFlight(), 0U);
  EXPECT_EQ(results_.size(), 1U);
}

TEST_F(TargetClientTest, IdleConnectionsCloseAfterTheTimeoutAndOnRequest) {
  options_.idle_timeout = std::chrono::milliseconds(20);
  Start();
  TestQueue<std::string> ended;
  TestServer server([&](TestSocket& socket) {
    socket.ReadRequest();
    socket.Send(kOk);
    ended.Push(socket.ReadAll());
  });
  EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "ok");
  EXPECT_EQ(ended.Pop(), "");
  options_.idle_timeout = std::chrono::hours(1);
  Start();
  EXPECT_EQ(RunAttempt(MakeDispatch(server.Port())).done.body, "ok");
  client_->CloseIdle("127.0.0.1", server.Port());
  EXPECT_EQ(ended.Pop(), "");
}

TEST(CredentialsTest, ErrorsNameTheFileAndNoToken) {
  const std::string file = testing::TempDir() + "persimmonstair_credentials_test.json";
  std::ofstream(file) << R"({"engine":"token-1"})";
  EXPECT_EQ(ReadCredentials(file)->at("engine"), "token-1");
  std::ofstream(file) << R"({"engine":"bad\ntoken"})";
  const auto bad = ReadCredentials(file);
  ASSERT_FALSE(bad.has_value());
  EXPECT_EQ(bad.error().message.find("token\n"), std::string::npos);
  EXPECT_NE(bad.error().message.find(file), std::string::npos);
  std::remove(file.c_str());
  EXPECT_FALSE(ReadCredentials(file).has_value());
}

}  // namespace
}  // namespace persimmonstair::net
