#include "persimmonstair/net/caller_server.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "test_socket.hpp"

namespace persimmonstair::net {
namespace {

using scheduler::CallerRequest;

constexpr const char* kTurn =
    "POST /v1/programs/p.1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    "Authorization: Bearer sk-test-1\r\nContent-Length: 15\r\n\r\n{\"stream\":true}";
const std::string kUnknownBody = "POST /v1/services/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: ";
constexpr const char* kGet = "GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\n\r\n";

scheduler::Reply MakeReply(base::RequestId request, std::uint32_t status,
                           std::map<std::string, std::string> headers, std::string body) {
  scheduler::Reply reply;
  reply.request = request;
  reply.status = status;
  reply.headers = std::move(headers);
  reply.body = std::move(body);
  return reply;
}

class CallerServerTest : public testing::Test {
 protected:
  ~CallerServerTest() override {
    if (server_) server_->Stop();
    pool_.Stop();
  }

  void Start() {
    options_.caller.port = 0;
    CallerServerHandlers handlers;
    handlers.next_request = [this] { return base::RequestId{++last_id_}; };
    handlers.on_request = [this](CallerRequest request) {
      if (queue_full_) return false;
      requests_.Push(std::move(request));
      return true;
    };
    handlers.on_disconnect = [this](base::RequestId request) { disconnected_.Push(request); };
    auto server = StartCallerServer(pool_, options_, handlers);
    ASSERT_TRUE(server.has_value()) << server.error().message;
    server_ = std::move(*server);
  }

  void Reply(base::RequestId request, std::string body) {
    server_->Reply(MakeReply(request, 200, {}, std::move(body)));
  }

  // Sends a request on a new connection and expects its response: the server still works.
  void ExpectServes() {
    TestSocket client(server_->Port());
    client.Send(kGet);
    Reply(requests_.Pop().request, "fine");
    EXPECT_EQ(client.ReadResponse().body, "fine");
  }

  static void ExpectError(const TestMessage& message, unsigned status, const std::string& code) {
    EXPECT_EQ(message.status, status) << message.body;
    const auto json = nlohmann::json::parse(message.body, nullptr, false);
    ASSERT_TRUE(json.is_object() && json.contains("error")) << message.body;
    EXPECT_EQ(json["error"]["code"], code);
    EXPECT_EQ(json["error"]["verdict"], "not_run");
  }

  IoPool pool_{2};
  CallerServerOptions options_;
  std::unique_ptr<CallerServer> server_;
  std::atomic<std::uint64_t> last_id_{0};
  // Makes on_request return false.
  std::atomic<bool> queue_full_{false};
  TestQueue<CallerRequest> requests_;
  TestQueue<base::RequestId> disconnected_;
};

// Guards against connections that serve only one request, or requests reported as disconnected
// after their response.
TEST_F(CallerServerTest, AnswersRequestsOnAKeepAliveConnection) {
  Start();
  TestSocket client(server_->Port());
  for (int n = 0; n < 3; ++n) {
    client.Send(kTurn);
    const auto request = requests_.Pop();
    EXPECT_EQ(request.program.value, "p.1");
    EXPECT_TRUE(request.stream);
    server_->Reply(MakeReply(request.request, 201, {{"x-note", "a"}}, "{\"n\":1}"));
    const auto response = client.ReadResponse();
    EXPECT_EQ(response.status, 201U);
    EXPECT_EQ(response.headers.at("x-note"), "a");
    EXPECT_EQ(response.body, "{\"n\":1}");
  }
  EXPECT_EQ(disconnected_.size(), 0U);
}

// Guards against responses in the wrong order or to the wrong request.
TEST_F(CallerServerTest, PipelinedRequestsRunOneAfterTheOther) {
  Start();
  TestSocket client(server_->Port());
  client.Send(std::string(kGet) + kTurn + kGet);
  for (const char* body : {"one", "two", "three"}) {
    const auto request = requests_.Pop();
    EXPECT_EQ(requests_.size(), std::string(body) == "one"   ? 1U
                                : std::string(body) == "two" ? 2U
                                                             : 3U);
    Reply(request.request, body);
    EXPECT_EQ(client.ReadResponse().body, body);
  }
}

// Guards against a stream that ends before the reply, loses the trailers or blocks the next
// request.
TEST_F(CallerServerTest, RelaysAStreamAndEndsItWithTheReply) {
  Start();
  TestSocket client(server_->Port());
  client.Send(kTurn);
  const auto id = requests_.Pop().request;
  server_->Relay(id, "data: {\"a\":1}\n\n");
  const std::string head = client.ReadUntil("\r\n\r\n");
  EXPECT_NE(head.find("200 OK"), std::string::npos);
  EXPECT_NE(head.find("text/event-stream"), std::string::npos);
  EXPECT_NE(client.ReadUntil("\n\n\r\n").find("{\"a\":1}"), std::string::npos);
  server_->Relay(id, "data: {\"a\":2}\n\n");
  EXPECT_NE(client.ReadUntil("\n\n\r\n").find("{\"a\":2}"), std::string::npos);
  server_->Reply(MakeReply(id, 200, {{"persimmonstair-durability", "log"}}, "data: [DONE]\n\n"));
  // A part that is relayed after the reply must not be sent.
  server_->Relay(id, "data: late\n\n");
  const std::string end = client.ReadUntil(": log\r\n\r\n");
  EXPECT_NE(end.find("data: [DONE]"), std::string::npos);
  EXPECT_NE(end.find("persimmonstair-durability: log"), std::string::npos);
  client.Send(kGet);
  Reply(requests_.Pop().request, "next");
  EXPECT_EQ(client.ReadResponse().body, "next");
}

// Guards against a lost or repeated disconnect, and a reply to a closed connection.
TEST_F(CallerServerTest, DisconnectIsReportedOnce) {
  Start();
  TestSocket client(server_->Port());
  client.Send(kTurn);
  const auto id = requests_.Pop().request;
  client.Reset();
  EXPECT_EQ(disconnected_.Pop(), id);
  Reply(id, "too late");
  ExpectServes();
  EXPECT_EQ(disconnected_.size(), 1U);
}

// Guards against a malformed request that is partly processed or that affects other connections.
TEST_F(CallerServerTest, MalformedFramingGets400AndDoesNotAffectOthers) {
  Start();
  TestSocket other(server_->Port());
  other.Send(kGet);
  const auto pending = requests_.Pop().request;
  const std::vector<std::string> cases = {
      "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n",
      "GET / HTTP/3.9\r\n\r\n",
      "GET /v1/catalogue HTTP/1.1\r\nbad header\r\n\r\n",
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      "POST /v1/services/a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
      "POST /v1/services/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      // The body is a request that must not run.
      kUnknownBody + "gzip\r\n\r\n" + kGet,
      kUnknownBody + "identity\r\n\r\n" + kGet,
      kUnknownBody + "chunked, identity\r\n\r\n" + kGet,
  };
  for (const auto& bytes : cases) {
    TestSocket client(server_->Port());
    client.Send(bytes);
    ExpectError(client.ReadResponse(), 400, "invalid_request");
    EXPECT_EQ(client.ReadAll(), "");
  }
  Reply(pending, "whole");
  EXPECT_EQ(other.ReadResponse().body, "whole");
  ExpectServes();
}

// Guards against requests that this server and a proxy in front of it could interpret differently
// (RFC 9112, 3.2 and 5.2).
TEST_F(CallerServerTest, RequestsWithoutOneHostOrWithFoldedLinesGet400) {
  Start();
  const std::vector<std::string> cases = {
      "GET /v1/programs/p.1 HTTP/1.1\r\n\r\n",
      "GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
      "GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\nX-Note: one\r\n two\r\n\r\n",
      "GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\nX-Note: one\r\n\ttwo\r\n\r\n",
  };
  for (const auto& bytes : cases) {
    TestSocket client(server_->Port());
    client.Send(bytes);
    ExpectError(client.ReadResponse(), 400, "invalid_request");
    EXPECT_EQ(client.ReadAll(), "");
  }
  ExpectServes();
}

// Guards against request headers and bodies that use memory beyond the limits.
TEST_F(CallerServerTest, OversizedHeadersAndBodiesAreRejected) {
  options_.caller.max_header_bytes = 1024;
  options_.caller.max_body_bytes = 2048;
  Start();
  TestSocket header(server_->Port());
  header.Send("GET /v1/catalogue HTTP/1.1\r\nx: " + std::string(4096, 'a'));
  ExpectError(header.ReadResponse(), 431, "invalid_request");
  TestSocket body(server_->Port());
  body.Send("POST /v1/services/a HTTP/1.1\r\nContent-Length: 4096\r\n\r\n");
  ExpectError(body.ReadResponse(), 413, "payload_too_large");
  TestSocket chunked(server_->Port());
  chunked.Send("POST /v1/services/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" +
               std::string(4096, 'a') + "\r\n0\r\n\r\n");
  ExpectError(chunked.ReadResponse(), 413, "payload_too_large");
  ExpectServes();
}

// Guards against a caller that occupies a connection with a request that it sends byte by byte or
// never completes.
TEST_F(CallerServerTest, SlowRequestTimesOut) {
  options_.caller.header_timeout_ms = 50;
  Start();
  TestSocket header(server_->Port());
  header.Send("GET /v1/cata");
  ExpectError(header.ReadResponse(), 408, "timeout");
  TestSocket body(server_->Port());
  body.Send("POST /v1/services/a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  ExpectError(body.ReadResponse(), 408, "timeout");
  EXPECT_EQ(body.ReadAll(), "");
}

TEST_F(CallerServerTest, IdleConnectionIsClosed) {
  options_.caller.idle_timeout_ms = 50;
  Start();
  TestSocket client(server_->Port());
  EXPECT_EQ(client.ReadAll(), "");
}

// Guards against memory that grows for a caller that does not read: its connection must be closed
// and its request reported as disconnected.
TEST_F(CallerServerTest, CallerThatDoesNotReadIsDisconnected) {
  options_.max_unsent_bytes = 1U << 20U;
  options_.caller.write_timeout_ms = 100;
  Start();
  TestSocket client(server_->Port());
  client.Send(kTurn);
  const auto id = requests_.Pop().request;
  for (int n = 0; n < 64; ++n) {
    server_->Relay(id, "data: " + std::string(1U << 18U, 'a') + "\n\n");
  }
  EXPECT_EQ(disconnected_.Pop(), id);
  ExpectServes();
}

// Guards against a request that is lost, or a connection that is unusable, after a full queue.
TEST_F(CallerServerTest, FullRequestQueueIsOverloadedAndNotRun) {
  Start();
  queue_full_ = true;
  TestSocket client(server_->Port());
  client.Send(kGet);
  const auto response = client.ReadResponse();
  ExpectError(response, 503, "overloaded");
  EXPECT_EQ(response.headers.count("retry-after"), 1U);
  queue_full_ = false;
  client.Send(kGet);
  Reply(requests_.Pop().request, "later");
  EXPECT_EQ(client.ReadResponse().body, "later");
}

// Guards against connections over the limit that are served, or dropped without an error.
TEST_F(CallerServerTest, ConnectionsOverTheLimitAreRejected) {
  options_.caller.max_connections = 1;
  Start();
  TestSocket first(server_->Port());
  first.Send(kGet);
  const auto id = requests_.Pop().request;
  TestSocket second(server_->Port());
  ExpectError(second.ReadResponse(), 503, "overloaded");
  Reply(id, "served");
  EXPECT_EQ(first.ReadResponse().body, "served");
}

// Guards against a drain that drops a running request or keeps its connection open.
TEST_F(CallerServerTest, DrainClosesConnectionsAfterTheirResponses) {
  Start();
  TestSocket client(server_->Port());
  client.Send(kGet);
  const auto id = requests_.Pop().request;
  server_->BeginDrain();
  EXPECT_FALSE(server_->WaitUntilAnswered(std::chrono::milliseconds(0)));
  Reply(id, "last");
  const auto response = client.ReadResponse();
  EXPECT_EQ(response.body, "last");
  EXPECT_EQ(response.headers.at("connection"), "close");
  EXPECT_EQ(client.ReadAll(), "");
  EXPECT_TRUE(server_->WaitUntilAnswered(std::chrono::seconds(30)));
}

// Guards against HTTP/1.0 connections that stay open, and callers that wait for `100 Continue`
// forever.
TEST_F(CallerServerTest, Http10AndExpectContinue) {
  Start();
  TestSocket old(server_->Port());
  old.Send("GET /v1/programs/p.1 HTTP/1.0\r\n\r\n");
  Reply(requests_.Pop().request, "old");
  EXPECT_EQ(old.ReadResponse().body, "old");
  EXPECT_EQ(old.ReadAll(), "");
  TestSocket waits(server_->Port());
  waits.Send(
      "POST /v1/services/a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
      "2\r\n\r\n");
  EXPECT_NE(waits.ReadUntil("\r\n\r\n").find("100 Continue"), std::string::npos);
  waits.Send("ab");
  const auto request = requests_.Pop();
  EXPECT_EQ(request.body, "ab");
  Reply(request.request, "done");
  EXPECT_EQ(waits.ReadResponse().body, "done");
}

// Guards against response splitting by a header of the scheduler's reply.
TEST_F(CallerServerTest, FramingAndMalformedHeadersAreDropped) {
  Start();
  TestSocket client(server_->Port());
  client.Send(kGet);
  server_->Reply(MakeReply(requests_.Pop().request, 200,
                           {{"x-a", "1\r\nx-injected: 2"}, {"content-length", "1"}}, "body"));
  const auto response = client.ReadResponse();
  EXPECT_EQ(response.body, "body");
  EXPECT_EQ(response.headers.count("x-injected"), 0U);
}

TEST_F(CallerServerTest, InvalidAddressOrCertificateIsAnError) {
  options_.caller.address = "not an address";
  EXPECT_FALSE(StartCallerServer(pool_, options_, {}).has_value());
  options_.caller.address = "127.0.0.1";
  options_.caller.port = 0;
  options_.tls.certificate_file = "/nonexistent.pem";
  EXPECT_FALSE(StartCallerServer(pool_, options_, {}).has_value());
}

}  // namespace
}  // namespace persimmonstair::net
