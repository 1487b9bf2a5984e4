#include "standin/standin.hpp"

#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "persimmonstair/service_clients/http_client.hpp"
#include "standin/prefix_cache.hpp"

namespace persimmonstair::standin {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

struct StandinTest : testing::Test {
  void Start(RoleSettings settings) {
    auto started = Standin::Start(std::move(settings));
    ASSERT_TRUE(started);
    standin = std::move(*started);
  }

  base::Result<service_clients::HttpResponse> Send(std::string method, std::string target,
                                                   std::string body = "",
                                                   std::map<std::string, std::string> headers = {},
                                                   base::Duration deadline = 20s) {
    return service_clients::SendAndWait(
        *service_clients::ParseEndpoint(standin->url()),
        {std::move(method), std::move(target), std::move(headers), std::move(body)}, deadline);
  }

  Json Get(std::string target) { return Json::parse(Send("GET", std::move(target)).value().body); }

  base::Result<service_clients::HttpResponse> Chat(const std::string& content,
                                                   const std::string& program = "",
                                                   bool stream = false,
                                                   base::Duration deadline = 20s) {
    Json body;
    body["model"] = "quote";
    body["stream"] = stream;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = content;
    std::map<std::string, std::string> headers;
    if (!program.empty()) headers["persimmonstair-program"] = program;
    return Send("POST", "/v1/chat/completions", body.dump(), headers, deadline);
  }

  Json Usage(const base::Result<service_clients::HttpResponse>& answer) {
    return Json::parse(answer.value().body)["usage"];
  }

  std::unique_ptr<Standin> standin;
};

EngineSettings InstantEngine() {
  EngineSettings out;
  out.speed = 0;
  return out;
}

// Guards against wrong counts of tokens or reused prefixes, on which measurements of wasted prefill
// work depend.
TEST_F(StandinTest, EngineReusesOnlyTheSameProgramsPrefix) {
  Start(InstantEngine());
  const auto first = Chat("0123456789", "p1");
  EXPECT_EQ(Usage(first)["prompt_tokens"], 3);
  EXPECT_EQ(Usage(first)["prompt_tokens_details"]["cached_tokens"], 0);
  const std::string text = Json::parse(first->body)["choices"][0]["message"]["content"];
  EXPECT_EQ(text.size(), 32U * 4);
  EXPECT_EQ(Chat("0123456789", "p2")->body, first->body);
  const auto next = Chat("0123456789" + text + "more", "p1");
  EXPECT_EQ(Usage(next)["prompt_tokens_details"]["cached_tokens"], (10 + 32 * 4) / 4);
  EXPECT_EQ(Usage(Chat("0123456789"))["prompt_tokens_details"]["cached_tokens"], 0);
  EXPECT_EQ(Usage(Chat("01234567xx", "p2"))["prompt_tokens_details"]["cached_tokens"], 2);
}

// Guards against a cache that exceeds its capacity or evicts the wrong program.
TEST(PrefixCache, EvictsTheLeastRecentlyUsedProgram) {
  PrefixCache cache(4);
  cache.Store("a", "12345678");
  cache.Store("b", "1234");
  cache.Store("a", "12345678");
  cache.Store("c", "12345678");
  EXPECT_EQ(cache.used_tokens(), 4);
  EXPECT_EQ(cache.Lookup("b", "1234"), 0);
  EXPECT_EQ(cache.Lookup("a", "12345678"), 2);
  cache.Store("a", std::string(17, 'x'));
  EXPECT_EQ(cache.used_tokens(), 2);
  EXPECT_EQ(cache.Release("c"), 2);
  EXPECT_EQ(cache.Release("c"), std::nullopt);
}

// Guards against a release, export or import of a prefix that reports success without effect.
TEST_F(StandinTest, EngineReportsReleasesAndMovesHeldPrograms) {
  Start(InstantEngine());
  Chat("0123", "p1");
  const Json held = Get("/v1/programs");
  EXPECT_EQ(held["programs"][0]["program"], "p1");
  EXPECT_EQ(Get("/v1/load")["cache_used_tokens"], 33);
  const auto exported = Send("POST", "/v1/programs/p1/export");
  EXPECT_EQ(Send("DELETE", "/v1/programs/p1")->status, 200U);
  EXPECT_EQ(Send("DELETE", "/v1/programs/p1")->status, 404U);
  EXPECT_EQ(Send("POST", "/v1/programs/p2/import", exported->body)->status, 200U);
  EXPECT_EQ(Get("/v1/programs")["programs"][0]["tokens"], 33);
}

// Guards against fencing tests that pass only because the engine does not check fencing numbers.
TEST_F(StandinTest, EngineRefusesAnOldFencingNumberOnlyIfItChecks) {
  const auto order = [this](int fencing) {
    const std::string body = R"({"order":"load_model","model":"m","fencing":)";
    return Send("POST", "/v1/orders", body + std::to_string(fencing) + "}")->status;
  };
  Start(InstantEngine());
  EXPECT_EQ(order(7), 200U);
  EXPECT_EQ(order(6), 409U);
  EXPECT_EQ(order(7), 200U);
  EngineSettings ignoring = InstantEngine();
  ignoring.checks_fencing = false;
  Start(ignoring);
  EXPECT_EQ(order(7), 200U);
  EXPECT_EQ(order(6), 200U);
}

// Guards against stream faults after which the client sees a complete stream.
TEST_F(StandinTest, InterruptedStreamsNeverEndNormally) {
  Start(InstantEngine());
  const auto whole = Chat("x", "", true);
  ASSERT_TRUE(whole);
  EXPECT_TRUE(whole->body.ends_with("data: [DONE]\n\n"));
  ASSERT_TRUE(standin->SetFaults(R"({"cut_streams":1,"silent_after_chunks":2})"));
  EXPECT_EQ(Chat("x", "", true).error().code, base::ErrorCode::kIncompleteAnswer);
  ASSERT_TRUE(standin->SetFaults(R"({"silent_streams":1})"));
  EXPECT_EQ(Chat("x", "", true, 200ms).error().code, base::ErrorCode::kTimeout);
  ASSERT_TRUE(standin->SetFaults(R"({"hang_first_byte":1})"));
  EXPECT_EQ(Chat("x", "", false, 200ms).error().code, base::ErrorCode::kTimeout);
  EXPECT_TRUE(Chat("x", "", true));
}

// Guards against a crash that keeps the engine's prefix cache or other connections.
TEST_F(StandinTest, CrashedEngineLosesItsCacheAndRestarts) {
  Start(InstantEngine());
  Chat("0123", "p1");
  ASSERT_TRUE(standin->SetFaults(R"({"crash_marker":"poison"})"));
  EXPECT_EQ(Chat("poison").error().code, base::ErrorCode::kTargetFailed);
  EXPECT_EQ(Get("/v1/load")["cache_used_tokens"], 33);
  ASSERT_TRUE(standin->SetFaults(R"({"restart_ms":1})"));
  EXPECT_EQ(Chat("poison").error().code, base::ErrorCode::kTargetFailed);
  auto load = Send("GET", "/v1/load");
  for (int n = 0; !load && n < 20'000; ++n) {
    std::this_thread::sleep_for(1ms);
    load = Send("GET", "/v1/load");
  }
  ASSERT_TRUE(load);
  EXPECT_EQ(Json::parse(load->body)["cache_used_tokens"], 0);
  standin->Kill();
  EXPECT_EQ(Chat("x").error().verdict, base::Verdict::kNotRun);
  standin->Restart();
  EXPECT_TRUE(Chat("x"));
}

// Guards against a load report delay or a leaving flag without effect.
TEST_F(StandinTest, LoadReportIsDelayedAndLeavingEngineRefusesRequests) {
  Start(InstantEngine());
  ASSERT_TRUE(standin->SetFaults(R"({"leaving":true,"load_lag_ms":3600000})"));
  EXPECT_EQ(Get("/v1/load")["leaving"], false);
  ASSERT_TRUE(standin->SetFaults(R"({"load_lag_ms":0})"));
  EXPECT_EQ(Get("/v1/load")["leaving"], true);
  const auto refused = Chat("x");
  EXPECT_EQ(refused->status, 503U);
  EXPECT_EQ(Json::parse(refused->body)["error"]["code"], "leaving");
}

// Guards against repeated effects and leaked keys that tests cannot detect.
TEST_F(StandinTest, ServiceReportsRepeatedExecutionsAndReceivedRequests) {
  ServiceSettings settings;
  settings.idempotent_prefixes = {"/quote"};
  Start(settings);
  ASSERT_TRUE(standin->SetFaults(R"({"lose_answers":1})"));
  const std::map<std::string, std::string> keyed = {{"Idempotency-Key", "1.a"},
                                                    {"Authorization", "Bearer s3cret"}};
  EXPECT_EQ(Send("POST", "/deposit", "x", keyed).error().verdict, base::Verdict::kMayHaveRun);
  EXPECT_EQ(Get("/executions?doubled=1")["executions"].size(), 0U);
  EXPECT_EQ(Get("/executions")["executed"], 1);
  Send("POST", "/deposit", "x", keyed);
  Send("POST", "/quote", "x", keyed);
  Send("POST", "/quote", "x", keyed);
  const Json doubled = Get("/executions?doubled=1")["executions"];
  EXPECT_EQ(doubled.size(), 1U);
  EXPECT_EQ(doubled["POST /deposit 1.a"]["count"], 2);
  EXPECT_EQ(Get("/requests?contains=s3cret")["matched"], 4);
  EXPECT_EQ(Get("/requests?contains=other")["matched"], 0);
}

// Guards against a target that does not return the correlation id of a request.
TEST_F(StandinTest, ResponsesEchoTheCorrelationId) {
  Start(ServiceSettings{});
  const auto answer = Send("POST", "/x", "", {{"persimmonstair-correlation", "c-1"}});
  EXPECT_EQ(answer->headers.at("persimmonstair-correlation"), "c-1");
}

// Guards against misspelt faults that are silently ignored.
TEST_F(StandinTest, InvalidFaultsAreRejected) {
  Start(LogSettings{});
  for (const char* bad :
       {R"({"lose":1})", R"({"slow_ms":"1"})", R"({"outage":"maybe"})", "[]", ""}) {
    EXPECT_FALSE(standin->SetFaults(bad)) << bad;
    EXPECT_EQ(Send("PUT", "/fault", bad)->status, 400U) << bad;
  }
  EXPECT_EQ(Send("PUT", "/fault", R"({"outage":"close"})")->status, 200U);
  EXPECT_FALSE(Send("GET", "/v1/streams/s/records?from=0"));
  EXPECT_EQ(Send("DELETE", "/fault")->status, 200U);
  EXPECT_TRUE(Send("GET", "/v1/streams/s/records?from=0"));
}

// Guards against readers that get a new record only when their long poll times out.
TEST_F(StandinTest, AppendWakesALongPoll) {
  Start(LogSettings{});
  auto poll = std::async(std::launch::async, [this] {
    return Send("GET", "/v1/streams/s/records?from=0&wait_ms=30000", "", {}, 60s);
  });
  std::this_thread::sleep_for(20ms);
  const auto done = Send("POST", "/v1/streams/s/records", R"({"records":[{"id":"a","data":"b"}]})");
  EXPECT_EQ(Json::parse(done->body)["first_offset"], 0);
  EXPECT_EQ(Json::parse(poll.get()->body)["entries"].size(), 1U);
}

// Guards against a log that accepts more appends than the platform's log.
TEST_F(StandinTest, LogRefusesAppendsAboveItsRate) {
  LogSettings settings;
  settings.max_appends_per_s = 1e-3;
  Start(settings);
  const std::string batch = R"({"records":[{"id":"a","data":"b"}]})";
  EXPECT_EQ(Send("POST", "/v1/streams/s/records", batch)->status, 200U);
  EXPECT_EQ(Send("POST", "/v1/streams/s/records", batch)->status, 429U);
  EXPECT_EQ(Get("/v1/stats")["refused"], 1);
}

// Guards against an instance list that ignores its configured delay.
TEST_F(StandinTest, InstanceListIsDelayed) {
  Start(ListSettings{});
  const std::string live = R"({"data_centre":"dc-1","state":"live"})";
  EXPECT_EQ(Send("PUT", "/v1/instances/entry-1", live)->status, 200U);
  EXPECT_EQ(Send("PUT", "/v1/leaving_targets/t-1", "")->status, 200U);
  EXPECT_EQ(Send("PUT", "/v1/instances/entry-2", "{}")->status, 400U);
  EXPECT_EQ(Get("/v1/instances")["instances"][0]["instance"], "entry-1");
  EXPECT_EQ(Get("/v1/instances")["leaving_targets"][0], "t-1");
  ASSERT_TRUE(standin->SetFaults(R"({"lag_ms":3600000})"));
  EXPECT_EQ(Get("/v1/instances")["instances"].size(), 0U);
}

}  // namespace
}  // namespace persimmonstair::standin
