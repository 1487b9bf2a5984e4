#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "log_format.hpp"
#include "persimmonstair/base/ring.hpp"
#include "persimmonstair/service_clients/directory_clients.hpp"
#include "persimmonstair/service_clients/service_worker.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::service_clients {
namespace {

using namespace std::chrono_literals;
using scheduler::AppendOutcome;
using standin::Standin;

scheduler::Append MakeAppend(std::vector<std::string> records, std::uint64_t id = 1) {
  scheduler::Append out{{id}, {"control"}, std::move(records), {}};
  for (std::size_t n = 0; n < out.records.size(); ++n) {
    out.ids.push_back({std::to_string(id) + "-" + std::to_string(n)});
  }
  return out;
}

/// A stand-in for the log service and a client for it. The timeout is much longer than any response
/// takes, except in tests without a response.
struct LogClientTest : testing::Test {
  void SetUp() override { Start({}, 20s); }

  void Start(standin::LogSettings settings, base::Duration timeout) {
    client.reset();
    auto started = Standin::Start(settings);
    ASSERT_TRUE(started);
    log = std::move(*started);
    ClientSettings client_settings;
    client_settings.timeout = timeout;
    client_settings.limits.max_body_bytes = 1U << 20U;
    client.emplace(io, *ParseEndpoint(log->url()), client_settings);
  }

  void Run() {
    io.restart();
    io.run();
  }

  scheduler::AppendDone Append(scheduler::Append append) {
    std::optional<scheduler::AppendDone> out;
    client->Append(std::move(append), [&](scheduler::AppendDone done) { out = done; });
    EXPECT_FALSE(out);
    Run();
    return out.value();
  }

  base::Result<scheduler::LogRead> Read(std::uint64_t from, base::Duration wait = 0us) {
    std::optional<base::Result<scheduler::LogRead>> out;
    client->Read({{"control"}, {from}, 1000, wait}, [&](auto read) { out = std::move(read); });
    Run();
    return std::move(out.value());
  }

  scheduler::RecordsFetched Fetch(std::vector<base::Offset> offsets) {
    std::optional<scheduler::RecordsFetched> out;
    client->Fetch({{"control"}, std::move(offsets)}, [&](auto done) { out = std::move(done); });
    Run();
    return std::move(out.value());
  }

  boost::asio::io_context io;
  std::unique_ptr<Standin> log;
  std::optional<HttpLogClient> client;
};

// Guards against assigning records to wrong offsets.
TEST_F(LogClientTest, AppendedRecordsAreReadAtTheirOffsets) {
  EXPECT_EQ(Append(MakeAppend({"a", "b"})).first, base::Offset{0});
  const auto done = Append(MakeAppend({"{\"x\":\"\\u00e9\"}"}, 2));
  EXPECT_EQ(done.outcome, AppendOutcome::kAppended);
  EXPECT_EQ(done.first, base::Offset{2});
  const auto read = Read(1);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->entries.size(), 2U);
  EXPECT_EQ(read->entries[0].body, "b");
  EXPECT_EQ(read->entries[1].body, "{\"x\":\"\\u00e9\"}");
  EXPECT_EQ(read->next, base::Offset{3});
  EXPECT_TRUE(read->at_end);
  EXPECT_GT(base::UnixMillis(read->oldest_at), 0);
}

// Guards against reporting a known outcome although the response was lost, damaged or late.
TEST_F(LogClientTest, AppendWithoutCompleteResponseIsUnknown) {
  std::uint64_t stored = 0;
  for (const char* fault :
       {R"({"lose_append_answers":1})", R"({"truncate_answers":1})", R"({"oversize_answers":1})"}) {
    ASSERT_TRUE(log->SetFaults(fault));
    EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kUnknown) << fault;
    EXPECT_EQ(Read(0)->next.value, ++stored) << fault;
  }
  ASSERT_TRUE(log->SetFaults(R"({"outage":"close"})"));
  EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kUnknown);
  ASSERT_TRUE(log->SetFaults(R"({"outage":""})"));
  EXPECT_EQ(Read(0)->next.value, stored);
}

// Guards against an append that waits forever, and against reporting kNotAppended after a timeout.
TEST_F(LogClientTest, AppendWithoutAnyResponseIsUnknownAtItsDeadline) {
  // Long enough to connect on a busy machine; the log never responds.
  Start({}, 1s);
  ASSERT_TRUE(log->SetFaults(R"({"outage":"hang"})"));
  EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kUnknown);
}

// Guards against treating a definite rejection as unknown, which would stall the writer.
TEST_F(LogClientTest, RefusedAppendIsNotAppended) {
  for (const char* fault : {R"({"refuse_appends":1})", R"({"outage":"refuse"})"}) {
    ASSERT_TRUE(log->SetFaults(fault));
    EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kNotAppended) << fault;
  }
  log->Kill();
  EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kNotAppended);
  EXPECT_EQ(Append(MakeAppend({"\xff"})).outcome, AppendOutcome::kNotAppended);
  EXPECT_EQ(Append({{1}, {"control"}, {"x"}, {}}).outcome, AppendOutcome::kNotAppended);
}

// Guards against storing a record that exceeds the size limit of every reader.
TEST_F(LogClientTest, LargestRecordIsReadableAndLargerOnesAreRejected) {
  const std::string largest(kMaxRecordBytes, '"');
  client.emplace(io, *ParseEndpoint(log->url()), ClientSettings{.timeout = 60s});
  ASSERT_EQ(Append(MakeAppend({largest})).outcome, AppendOutcome::kAppended);
  EXPECT_EQ(Append(MakeAppend({largest + "x"})).outcome, AppendOutcome::kNotAppended);
  const auto read = Read(0);
  ASSERT_TRUE(read) << read.error().message;
  EXPECT_EQ(read->entries.at(0).body, largest);
}

// Guards against reusing an idle connection that the log has closed, which would make the outcome
// unknown unnecessarily.
TEST_F(LogClientTest, ClosedIdleConnectionIsNotReused) {
  EXPECT_EQ(Append(MakeAppend({"x"})).outcome, AppendOutcome::kAppended);
  log->Kill();
  log->Restart();
  EXPECT_EQ(Append(MakeAppend({"y"})).outcome, AppendOutcome::kAppended);
}

// Guards against losing records of a fetch that does not fit into one response.
TEST_F(LogClientTest, FetchRequestsRecordsThatDidNotFitAgain) {
  Start({.max_read_bytes = 10}, 20s);
  Append(MakeAppend({"0123456789", "b", "0123456789", "d"}));
  const auto fetched = Fetch({{3}, {0}, {2}, {99}});
  EXPECT_FALSE(fetched.failed);
  std::map<std::uint64_t, std::string> by_offset;
  for (const auto& entry : fetched.entries) by_offset[entry.offset.value] = entry.body;
  const std::map<std::uint64_t, std::string> expected = {
      {0, "0123456789"}, {2, "0123456789"}, {3, "d"}};
  EXPECT_EQ(by_offset, expected);
  ASSERT_TRUE(log->SetFaults(R"({"truncate_answers":-1})"));
  EXPECT_TRUE(Fetch({{0}}).failed);
}

// Guards against hiding that retention has removed records from the range of a read.
TEST_F(LogClientTest, ReadAfterRetentionBeginsAtTheOldestRecord) {
  Append(MakeAppend({"a", "b", "c"}));
  ASSERT_TRUE(log->SetFaults(R"({"retention_records":1})"));
  const auto read = Read(0);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->from, base::Offset{0});
  EXPECT_EQ(read->oldest, base::Offset{2});
  ASSERT_EQ(read->entries.size(), 1U);
  EXPECT_EQ(read->entries[0].offset, base::Offset{2});
  EXPECT_TRUE(Fetch({{0}}).entries.empty());
}

base::Result<HttpResponse> Answer(std::uint32_t status, std::string body) {
  return HttpResponse{status, {}, std::move(body)};
}

// Guards against deriving an outcome from responses of proxies or other services.
TEST(LogFormat, OnlyExplicitResponsesDecideAnAppend) {
  const auto outcome = [](std::uint32_t status, const char* body) {
    return ParseAppendResponse({1}, Answer(status, body)).outcome;
  };
  EXPECT_EQ(outcome(200, R"({"first_offset":4})"), AppendOutcome::kAppended);
  EXPECT_EQ(outcome(200, R"({"first_offset":-4})"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(200, R"({"first_offset":"4"})"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(200, "[]"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(201, R"({"first_offset":4})"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(503, R"({"error":{"verdict":"not_run"}})"), AppendOutcome::kNotAppended);
  EXPECT_EQ(outcome(503, R"({"error":{"verdict":"may_have_run"}})"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(503, "<html>"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(503, R"({"error":"not_run"})"), AppendOutcome::kUnknown);
  EXPECT_EQ(outcome(502, R"({"error":{"verdict":"not_run"}})"), AppendOutcome::kUnknown);
}

// Guards against a response that would make a reader skip or repeat records.
TEST(LogFormat, ReadRejectsOffsetsOutOfOrder) {
  const ReadRequest read{{"control"}, {5}, 10, 0us};
  const auto ok = [&read](const std::string& entries, int next) {
    const std::string body = R"({"entries":[)" + entries + R"(],"next_offset":)" +
                             std::to_string(next) +
                             R"(,"oldest_offset":0,"oldest_at_ms":1,"at_end":true})";
    return ParseReadResponse(read, Answer(200, body)).has_value();
  };
  EXPECT_TRUE(ok("", 5));
  EXPECT_TRUE(ok(R"({"offset":5,"data":""},{"offset":7,"data":""})", 8));
  EXPECT_FALSE(ok("", 4));
  EXPECT_FALSE(ok(R"({"offset":4,"data":""})", 6));
  EXPECT_FALSE(ok(R"({"offset":6,"data":""},{"offset":6,"data":""})", 7));
  EXPECT_FALSE(ok(R"({"offset":6,"data":""})", 6));
  EXPECT_FALSE(ok(R"({"offset":6})", 7));
  EXPECT_FALSE(ParseFetchResponse({{1}}, Answer(200, R"({"entries":[],"unread":[2]})")));
  EXPECT_FALSE(ParseFetchResponse(
      {{1}}, Answer(200, R"({"entries":[{"offset":2,"data":""}],"unread":[]})")));
}

/// Log client and executor for tests: records reads until the test answers them, and keeps delayed
/// tasks until the test runs them.
struct ScriptedLog {
  void Read(ReadRequest read, ReadCallback done) {
    reads.push_back(read.from.value);
    pending = std::move(done);
  }
  void Fetch(scheduler::FetchRecords, FetchCallback) {}
  void RunAfter(base::Duration, std::function<void()> task) { delayed.push_back(std::move(task)); }
  void RunDelayed() {
    const auto task = std::move(delayed.front());
    delayed.pop_front();
    task();
  }
  void Answer(base::Result<scheduler::LogRead> read) {
    std::exchange(pending, {})(std::move(read));
  }

  std::vector<std::uint64_t> reads;
  ReadCallback pending;
  std::deque<std::function<void()>> delayed;
};

// Guards against dropping a read for which the sink had no space, and against starting the next
// read before it was delivered.
TEST(LogFollower, RefusedEventIsOfferedAgainBeforeTheNextRead) {
  ScriptedLog log;
  bool accepts = false;
  std::vector<scheduler::Event> events;
  LogFollower follower(
      log, log,
      [&](scheduler::Event&& event) {
        if (accepts) events.push_back(std::move(event));
        return accepts;
      },
      {"control"}, base::Offset{3});
  follower.Start();
  log.Answer(scheduler::LogRead{{"control"}, {3}, {{{3}, "x"}}, {4}, {0}, {}, true});
  EXPECT_EQ(log.reads.size(), 1U);
  log.RunDelayed();
  accepts = true;
  log.RunDelayed();
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(std::get<scheduler::LogRead>(events[0]).entries[0].body, "x");
  EXPECT_EQ(log.reads, (std::vector<std::uint64_t>{3, 4}));
}

// Guards against skipping records after a failed read, and against retrying without a pause during
// an outage.
TEST(LogFollower, FailedReadIsRepeatedFromTheSameOffsetAfterAPause) {
  ScriptedLog log;
  std::vector<scheduler::Event> events;
  LogFollower follower(
      log, log,
      [&](scheduler::Event&& event) {
        events.push_back(std::move(event));
        return true;
      },
      {"control"}, base::Offset{3});
  follower.Start();
  log.Answer(base::Fail(base::ErrorCode::kTimeout, "late"));
  EXPECT_TRUE(std::holds_alternative<scheduler::LogReadFailed>(events.at(0)));
  EXPECT_EQ(log.reads.size(), 1U);
  log.RunDelayed();
  EXPECT_EQ(log.reads, (std::vector<std::uint64_t>{3, 3}));
  follower.Stop();
  log.Answer(scheduler::LogRead{});
  EXPECT_EQ(events.size(), 1U);
}

struct WorkerTest : testing::Test {
  void SetUp() override {
    log = std::move(*Standin::Start(standin::LogSettings{}));
    list = std::move(*Standin::Start(standin::ListSettings{}));
    WorkerSettings settings;
    settings.log = *ParseEndpoint(log->url());
    settings.list = *ParseEndpoint(list->url());
    settings.client.timeout = 20s;
    settings.client.user_agent = "persimmonstair/entry-1";
    settings.follower.retry_delay = 1ms;
    settings.list_interval = 1ms;
    worker.emplace(settings, [this](scheduler::Event&& e) { return ring.TryPush(std::move(e)); });
  }

  /// Waits for an event that satisfies `fits` and drops the others.
  template <class T>
  T WaitFor(std::function<bool(const T&)> fits = [](const T&) { return true; }) {
    const auto give_up = std::chrono::steady_clock::now() + 60s;
    while (std::chrono::steady_clock::now() < give_up) {
      for (scheduler::Event& event : ring.PopAll(1s)) {
        if (auto* wanted = std::get_if<T>(&event); wanted != nullptr && fits(*wanted)) {
          return std::move(*wanted);
        }
      }
    }
    ADD_FAILURE() << "no such event";
    return {};
  }

  std::unique_ptr<Standin> log;
  std::unique_ptr<Standin> list;
  base::Ring<scheduler::Event> ring{8};
  std::optional<ServiceWorker> worker;
};

// Guards against actions that do not lead to the right events over the real protocol.
TEST_F(WorkerTest, ActionsBecomeEvents) {
  worker->Follow({"control"}, base::Offset{0});
  worker->Execute(MakeAppend({"a", "b"}, 7));
  const auto done = WaitFor<scheduler::AppendDone>();
  EXPECT_EQ(done.append, base::AppendId{7});
  EXPECT_EQ(done.outcome, AppendOutcome::kAppended);
  worker->Execute(scheduler::FetchRecords{{"control"}, {{1}}});
  EXPECT_EQ(WaitFor<scheduler::RecordsFetched>().entries.at(0).body, "b");
  const auto listed = SendAndWait(
      *ParseEndpoint(list->url()),
      {"PUT", "/v1/instances/entry-1", {}, R"({"data_centre":"dc-1","state":"leaving"})"}, 20s);
  ASSERT_TRUE(listed);
  ASSERT_EQ(listed->status, 200U);
  const auto read = WaitFor<scheduler::InstanceListRead>(
      [](const scheduler::InstanceListRead& l) { return !l.instances.empty(); });
  EXPECT_EQ(read.instances[0].data_centre.value, "dc-1");
  EXPECT_TRUE(read.instances[0].leaving);
}

// Guards against a follower that does not recover after a partition from the log.
TEST_F(WorkerTest, FollowerReportsAPartitionAndResumesAfterIt) {
  ASSERT_TRUE(log->SetFaults(R"({"blocked_agents":["persimmonstair/entry-1"]})"));
  worker->Follow({"control"}, base::Offset{0});
  WaitFor<scheduler::LogReadFailed>();
  ASSERT_TRUE(log->SetFaults(R"({"blocked_agents":["persimmonstair/entry-2"]})"));
  WaitFor<scheduler::LogRead>();
}

// Guards against appends whose outcome is not reported because the process stops.
TEST_F(WorkerTest, StopReportsEachAppendOnce) {
  ASSERT_TRUE(log->SetFaults(R"({"outage":"hang"})"));
  ASSERT_TRUE(list->SetFaults(R"({"outage":"hang"})"));
  worker->Execute(MakeAppend({"a"}, 1));
  worker->Execute(MakeAppend({"a"}, 2));
  worker->Stop();
  std::multiset<std::uint64_t> reported;
  for (const scheduler::Event& event : ring.PopAll(0s)) {
    const auto* done = std::get_if<scheduler::AppendDone>(&event);
    if (done == nullptr) continue;
    EXPECT_NE(done->outcome, AppendOutcome::kAppended);
    reported.insert(done->append.value);
  }
  EXPECT_EQ(reported, (std::multiset<std::uint64_t>{1, 2}));
}

// Guards against retrying earlier than the weight store allows.
TEST(WeightStore, RateLimitCarriesTheRetryTime) {
  auto store = std::move(*Standin::Start(standin::WeightSettings{0.01, 1, 64}));
  boost::asio::io_context io;
  HttpWeightStoreClient client(io, *ParseEndpoint(store->url()), {.timeout = 20s});
  std::vector<base::Result<std::string>> results;
  const auto fetch = [&] {
    client.Fetch({"quote"}, "v1", [&](auto result) { results.push_back(std::move(result)); });
    io.restart();
    io.run();
  };
  fetch();
  fetch();
  ASSERT_TRUE(results.at(0));
  EXPECT_EQ(results[0]->size(), 64U);
  ASSERT_FALSE(results.at(1));
  EXPECT_EQ(results[1].error().code, base::ErrorCode::kRateLimited);
  EXPECT_GE(results[1].error().retry_after, 1s);
}

// Guards against starting an instance without a log because of a mistyped address.
TEST(MakeWorkerSettings, ErrorNamesTheInvalidMember) {
  const schema::PlatformSettings good{"http://127.0.0.1:7001", "", "", 1500};
  const auto made = MakeWorkerSettings(good, {"entry-1"});
  ASSERT_TRUE(made);
  EXPECT_FALSE(made->list);
  EXPECT_EQ(made->client.timeout, 1500ms);
  EXPECT_EQ(made->client.user_agent, "persimmonstair/entry-1");
  schema::PlatformSettings bad = good;
  bad.list_url = "list:7002";
  EXPECT_NE(MakeWorkerSettings(bad, {"entry-1"}).error().message.find("list_url"),
            std::string::npos);
  EXPECT_FALSE(MakeWorkerSettings({}, {"entry-1"}));
}

// Guards against accepting host names, which would need a resolver, and partly parsed addresses.
TEST(ParseEndpoint, AcceptsOnlyAddressesWithPorts) {
  EXPECT_EQ(*ParseEndpoint("http://127.0.0.1:7001/"), (Endpoint{"127.0.0.1", 7001}));
  EXPECT_EQ(ToUrl(*ParseEndpoint("[::1]:7001")), "http://[::1]:7001");
  for (const char* bad : {"", "127.0.0.1", "localhost:1", "https://127.0.0.1:1", "127.0.0.1:0",
                          "127.0.0.1:65536", "127.0.0.1:1/x", "::1:7001", "127.0.0.1:7a"}) {
    EXPECT_FALSE(ParseEndpoint(bad)) << bad;
  }
  EXPECT_EQ(PercentEncode("a/b c"), "a%2Fb%20c");
}

}  // namespace
}  // namespace persimmonstair::service_clients
