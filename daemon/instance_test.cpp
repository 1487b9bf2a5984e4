#include "instance.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "test_socket.hpp"
#include "test_wait.hpp"

namespace persimmonstair::daemon {
namespace {

using net::TestQueue;
using net::TestServer;
using net::TestSocket;
using scheduler::Action;
using scheduler::Event;

// A caller's requests: a turn with a streamed answer, and a read of a program.
constexpr const char* kTurn =
    "POST /v1/programs/p.1/chat/completions HTTP/1.1\r\nHost: a\r\n"
    "Authorization: Bearer sk-test-0123456789\r\nContent-Length: 15\r\n\r\n{\"stream\":true}";
constexpr const char* kReadProgram = "GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\n\r\n";
// First event of the target's streamed answer.
constexpr const char* kChunk =
    "data: {\"id\":\"c1\",\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\n";

using Actions = std::vector<Action>;

// Scheduler that passes each event to a function of the test and returns the actions which that
// function returns.
class FakeScheduler {
 public:
  using Function = std::function<Actions(const Event&)>;
  explicit FakeScheduler(Function function) : function_(std::move(function)) {}

  std::vector<Action> Handle(const base::Now& /*now*/, Event event) { return function_(event); }
  scheduler::Status status(const base::Now& /*now*/) const {
    scheduler::Status status;
    status.ready = true;
    status.catalogue_version = 7;
    status.live = {{"i1"}};
    return status;
  }

 private:
  Function function_;
};

using FakeInstance = Instance<FakeScheduler>;

scheduler::Reply MakeReply(base::RequestId request, std::string body) {
  scheduler::Reply reply;
  reply.request = request;
  reply.body = std::move(body);
  reply.workspace = {"north"};
  reply.entry_class = "interactive";
  return reply;
}

// All listeners get port 0, so that each takes a free port.
InstanceOptions TestOptions(const std::string& id) {
  InstanceOptions options;
  options.settings.instance = {id};
  options.settings.data_centre = {"dc1"};
  options.settings.caller.port = 0;
  options.settings.udp_port = 0;
  options.settings.tcp_port = 0;
  options.settings.admin_port = 0;
  options.fleet_key = "fleet-key-of-the-tests-0123456789";
  options.process = "process-" + id;
  options.incarnation.value = 5;
  return options;
}

// Platform without a log: each append is reported as kNotAppended, each fetch as failed.
PlatformStarter StubPlatform() {
  return [](EventSink sink) -> base::Result<PlatformInterface> {
    return PlatformInterface{
        [sink](scheduler::Append append) {
          sink(scheduler::AppendDone{append.append, scheduler::AppendOutcome::kNotAppended, {}});
        },
        [sink](scheduler::FetchRecords fetch) {
          sink(scheduler::RecordsFetched{fetch.stream, {}, true});
        },
        [] {}};
  };
}

std::unique_ptr<FakeInstance> StartInstance(InstanceOptions options,
                                            FakeScheduler::Function function) {
  auto instance =
      FakeInstance::Start(std::move(options), StubPlatform(), FakeScheduler(std::move(function)));
  if (!instance) ADD_FAILURE() << instance.error().message;
  return instance ? std::move(*instance) : nullptr;
}

// Dispatches the request to a target at 127.0.0.1. The attempt gets the id of the request.
scheduler::Dispatch DispatchTo(base::RequestId request, std::uint16_t port) {
  scheduler::Dispatch dispatch;
  dispatch.attempt = {request.value};
  dispatch.request = request;
  dispatch.address = "127.0.0.1";
  dispatch.port = port;
  dispatch.path = "/v1/chat/completions";
  dispatch.body = "{}";
  dispatch.relay = true;
  return dispatch;
}

// Actions of a scheduler that dispatches turns to the target at `port`, replies when the target is
// done and cancels the attempt when the caller disconnects. It replies to other requests itself and
// completes a planned stop at once.
Actions Proxy(const Event& event, std::uint16_t port) {
  if (const auto* request = std::get_if<scheduler::CallerRequest>(&event)) {
    if (request->kind != scheduler::CallKind::kTurn) return {MakeReply(request->request, "read")};
    return {DispatchTo(request->request, port)};
  }
  if (const auto* done = std::get_if<scheduler::TargetDone>(&event)) {
    return {MakeReply({done->attempt.value}, "data: [DONE]\n\n")};
  }
  if (const auto* gone = std::get_if<scheduler::CallerGone>(&event)) {
    return {scheduler::CancelAttempt{{gone->request.value}}};
  }
  if (std::holds_alternative<scheduler::StopRequested>(event)) return {scheduler::Stopped{}};
  return {};
}

// Sends a request and returns the status and the body, separated by a space.
std::string CallAdmin(std::uint16_t port, const std::string& path,
                      const std::string& method = "GET") {
  TestSocket client(port);
  client.Send(method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  const auto response = client.ReadResponse();
  return std::to_string(response.status) + " " + response.body;
}

// Guards against stream chunks that are lost or repeated between the target and the caller.
TEST(InstanceTest, RelaysAStreamToTheCallerAndEndsItWithTheReply) {
  TestServer target([](TestSocket& socket) {
    EXPECT_EQ(socket.ReadRequest().method_and_target, "POST /v1/chat/completions");
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        "\r\n\r\n");
    const std::string body = std::string(kChunk) + "data: [DONE]\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    socket.Send(size + body + "\r\n0\r\n\r\n");
    socket.ReadAll();
  });
  auto instance = StartInstance(TestOptions("i1"),
                                [&](const Event& event) { return Proxy(event, target.Port()); });
  TestSocket client(instance->runtime().CallerPort());
  client.Send(kTurn);
  const auto response = client.ReadResponse();
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, std::string(kChunk) + "data: [DONE]\n\n");
}

// Guards against attempts that keep running at a target after their caller disconnected.
TEST(InstanceTest, CallerDisconnectCancelsItsAttempt) {
  TestQueue<std::string> bytes_after_request;
  TestServer target([&](TestSocket& socket) {
    socket.ReadRequest();
    // Sends no response and waits until the instance closes the connection.
    bytes_after_request.Push(socket.ReadAll());
  });
  TestQueue<scheduler::TargetFailed> failed;
  auto instance = StartInstance(TestOptions("i1"), [&](const Event& event) {
    if (const auto* failure = std::get_if<scheduler::TargetFailed>(&event)) failed.Push(*failure);
    return Proxy(event, target.Port());
  });
  TestSocket client(instance->runtime().CallerPort());
  client.Send(kTurn);
  ASSERT_TRUE(net::Eventually([&] { return target.Connections() > 0; }));
  client.Reset();
  const auto failure = failed.Pop();
  EXPECT_EQ(failure.kind, scheduler::FailureKind::kCancelled);
  EXPECT_EQ(failure.verdict, base::Verdict::kMayHaveRun);
  // The target received nothing after the request until the connection was closed.
  EXPECT_EQ(bytes_after_request.Pop(), "");
}

// Guards against health checks, a status or metrics that do not reflect the scheduler's status and
// the replies to callers, for example because a metric was renamed or is never set.
TEST(InstanceTest, AdminPortReportsStateAndMetrics) {
  auto instance =
      StartInstance(TestOptions("i1"), [](const Event& event) { return Proxy(event, 1); });
  TestSocket client(instance->runtime().CallerPort());
  client.Send(kReadProgram);
  EXPECT_EQ(client.ReadResponse().body, "read");
  const auto port = instance->runtime().AdminPort();
  ASSERT_TRUE(net::Eventually([&] { return CallAdmin(port, "/readyz") == "200 ready\n"; }));
  EXPECT_EQ(CallAdmin(port, "/healthz"), "200 ok\n");
  const auto status = nlohmann::json::parse(CallAdmin(port, "/status").substr(4));
  EXPECT_EQ(status["instance"], "i1");
  EXPECT_EQ(status["data_centre"], "dc1");
  EXPECT_EQ(status["state"], "live");
  EXPECT_EQ(status["catalogue_version"], 7);
  EXPECT_EQ(status["live"], nlohmann::json::array({"i1"}));
  const std::string metrics = CallAdmin(port, "/metrics");
  for (const char* name :
       {"persimmonstair_request_seconds_bucket{class=\"interactive\",workspace=\"north\"",
        "persimmonstair_answers_total{class=\"interactive\",status=\"200\",workspace=\"north\"} 1",
        "persimmonstair_catalogue_version 7", "persimmonstair_ring_used", "persimmonstair_queued",
        "persimmonstair_running"}) {
    EXPECT_NE(metrics.find(name), std::string::npos) << name;
  }
  EXPECT_EQ(CallAdmin(port, "/other").substr(0, 3), "404");
}

// Guards against a planned stop that interrupts an open request.
TEST(InstanceTest, DrainFinishesRequestsAndExitsWithZero) {
  TestQueue<base::RequestId> received_requests;
  std::atomic<bool> stop_seen{false};
  base::RequestId open_request;
  auto instance = StartInstance(TestOptions("i1"), [&](const Event& event) -> Actions {
    if (const auto* request = std::get_if<scheduler::CallerRequest>(&event)) {
      open_request = request->request;
      received_requests.Push(open_request);
    }
    if (std::holds_alternative<scheduler::StopRequested>(event)) stop_seen = true;
    // Replies only after the stop has begun.
    if (std::holds_alternative<scheduler::Tick>(event) && stop_seen) {
      return {MakeReply(open_request, "whole"), scheduler::Stopped{}};
    }
    return {};
  });
  TestSocket client(instance->runtime().CallerPort());
  client.Send(kReadProgram);
  received_requests.Pop();
  EXPECT_EQ(CallAdmin(instance->runtime().AdminPort(), "/admin/drain", "POST").substr(0, 3), "202");
  EXPECT_EQ(instance->Run(), kExitStopped);
  const auto response = client.ReadResponse();
  EXPECT_EQ(response.body, "whole");
  EXPECT_EQ(response.headers.at("connection"), "close");
}

// Guards against a process that never exits because the scheduler does not complete its stop.
TEST(InstanceTest, HangingStopIsForcedAfterItsTimeout) {
  auto options = TestOptions("i1");
  options.settings.stop.timeout_ms = 0;
  auto instance = StartInstance(std::move(options), [](const Event&) { return Actions{}; });
  instance->RequestStop();
  EXPECT_EQ(instance->Run(), kExitForced);
}

// Guards against a second stop request that waits for the planned stop as well, and against an
// instance that still reports itself as ready during the stop.
TEST(InstanceTest, SecondStopRequestForcesExit) {
  auto instance = StartInstance(TestOptions("i1"), [](const Event&) { return Actions{}; });
  instance->RequestStop();
  EXPECT_EQ(CallAdmin(instance->runtime().AdminPort(), "/readyz"), "503 not ready\n");
  instance->RequestStop();
  EXPECT_EQ(instance->Run(), kExitForced);
}

// Guards against two processes that run under one instance id: once another process has registered,
// this one must exit, with its own exit code.
TEST(InstanceTest, SupersededProcessExits) {
  auto instance = StartInstance(TestOptions("i1"),
                                [](const Event&) { return Actions{scheduler::Superseded{}}; });
  EXPECT_EQ(instance->Run(), kExitSuperseded);
}

// Guards against a busy scheduler thread that makes callers wait or loses their requests. Requests
// may use half of the event queue: with a capacity of 4, the first two are queued and answered
// later, and the third must be refused at once.
TEST(InstanceTest, RefusesRequestsBeyondHalfOfTheQueue) {
  auto options = TestOptions("i1");
  options.ring_capacity = 4;
  std::atomic<bool> hang{true};
  std::atomic<bool> hanging{false};
  auto instance = StartInstance(std::move(options), [&](const Event& event) -> Actions {
    hanging = true;
    EXPECT_TRUE(net::Eventually([&] { return !hang; }));
    return Proxy(event, 1);
  });
  // The scheduler thread now blocks in its first event, so further events stay in the queue.
  EXPECT_TRUE(net::Eventually([&] { return hanging.load(); }));
  const auto port = instance->runtime().CallerPort();
  std::vector<std::unique_ptr<TestSocket>> clients;
  for (int n = 0; n < 3; ++n) {
    clients.push_back(std::make_unique<TestSocket>(port));
    clients.back()->Send(kReadProgram);
    if (n < 2) {
      EXPECT_TRUE(net::Eventually(
          [&] { return instance->runtime().events().size() == static_cast<std::size_t>(n) + 1; }));
    }
  }
  const auto refused = clients[2]->ReadResponse();
  hang = false;
  EXPECT_EQ(refused.status, 503U);
  EXPECT_NE(refused.body.find("not_run"), std::string::npos);
  for (int n = 0; n < 2; ++n) EXPECT_EQ(clients[n]->ReadResponse().body, "read");
}

// Guards against stream parts that are lost or repeated between two instances: the first forwards
// its caller's turn to the second, which dispatches it to the target.
TEST(InstanceTest, ForwardedStreamPassesThroughBothInstances) {
  TestServer target([](TestSocket& socket) {
    socket.ReadRequest();
    socket.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + std::string(kChunk) +
                "data: [DONE]\n\n");
  });
  auto owner = StartInstance(TestOptions("i2"), [&](const Event& event) -> Actions {
    const auto* peer = std::get_if<scheduler::PeerReceived>(&event);
    if (peer != nullptr && std::holds_alternative<schema::ForwardedRequest>(peer->message)) {
      EXPECT_EQ(peer->from.value, "i1");
      return {DispatchTo(peer->request, target.Port())};
    }
    return Proxy(event, target.Port());
  });
  auto options = TestOptions("i1");
  options.settings.peers = {
      {{"i2"}, {"dc1"}, "127.0.0.1", owner->runtime().UdpPort(), owner->runtime().TcpPort()}};
  auto entry = StartInstance(std::move(options), [&](const Event& event) -> Actions {
    if (const auto* request = std::get_if<scheduler::CallerRequest>(&event)) {
      schema::ForwardedRequest forwarded;
      forwarded.request = request->request;
      return {scheduler::SendPeer{{"i2"}, forwarded, true}};
    }
    // Sending fails until the connection between the instances is open, so it is retried.
    if (const auto* failed = std::get_if<scheduler::PeerSendFailed>(&event)) {
      return {scheduler::SendPeer{failed->to, failed->message, true}};
    }
    const auto* peer = std::get_if<scheduler::PeerReceived>(&event);
    if (peer == nullptr) return {};
    const auto* reply = std::get_if<schema::ForwardedReply>(&peer->message);
    return reply == nullptr ? Actions{} : Actions{MakeReply(reply->request, reply->body)};
  });
  // The ports of `entry` were not known when `owner` was started.
  owner->runtime().peers().SetPeer(
      {{"i1"}, {"dc1"}, "127.0.0.1", entry->runtime().UdpPort(), entry->runtime().TcpPort()});
  TestSocket client(entry->runtime().CallerPort());
  client.Send(kTurn);
  EXPECT_EQ(client.ReadResponse().body, std::string(kChunk) + "data: [DONE]\n\n");
}

}  // namespace
}  // namespace persimmonstair::daemon
