#include "persimmonstair/net/caller_request.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using scheduler::CallKind;

constexpr const char* kKey = "sk-north/desk-0123456789";

// Returns a request with the test key.
RawRequest MakeRequest(std::string method, std::string target, std::string body = "") {
  return {std::move(method),
          std::move(target),
          {{"Authorization", std::string("Bearer ") + kKey}},
          std::move(body)};
}

RawRequest WithHeader(RawRequest raw, std::string name, std::string value) {
  raw.headers.emplace_back(std::move(name), std::move(value));
  return raw;
}

// Returns the error of a request that must be rejected.
ErrorCode ErrorCodeOf(const RawRequest& raw) {
  const auto parsed = ParseCallerRequest(raw);
  if (parsed) ADD_FAILURE() << "accepted: " << raw.method << " " << raw.target << " " << raw.body;
  return parsed ? ErrorCode::kInternal : parsed.error().code;
}

// Guards against a route that is parsed as another kind of call, or whose key digest is lost.
TEST(CallerRequestTest, RoutesMapToKinds) {
  const std::string turn = R"({"model":"m1","stream":true,"messages":[{"stream":false}]})";
  const std::vector<std::pair<RawRequest, CallKind>> cases = {
      {MakeRequest("POST", "/v1/programs", R"({"model":"m1"})"), CallKind::kOpenProgram},
      {MakeRequest("POST", "/v1/programs/p.1/chat/completions", turn), CallKind::kTurn},
      {MakeRequest("GET", "/v1/programs/p.1"), CallKind::kReadProgram},
      {MakeRequest("DELETE", "/v1/programs/p.1"), CallKind::kEndProgram},
      {MakeRequest("POST", "/v1/programs/p.1/pause"), CallKind::kToolPause},
      {MakeRequest("PUT", "/v1/services/deposit?x=1", "any bytes"), CallKind::kServiceCall},
      {MakeRequest("GET", "/v1/catalogue"), CallKind::kReadCatalogue},
      {MakeRequest("GET", "/v1/catalogue/history"), CallKind::kReadHistory},
      {MakeRequest("POST", "/v1/catalogue/changes", "{}"), CallKind::kChangeCatalogue},
      {WithHeader(MakeRequest("POST", "/v1/chat/completions", turn), "Persimmonstair-Program",
                  "p.1"),
       CallKind::kTurn},
  };
  for (const auto& [raw, kind] : cases) {
    const auto parsed = ParseCallerRequest(raw);
    ASSERT_TRUE(parsed.has_value()) << raw.target << ": " << parsed.error().message;
    EXPECT_EQ(parsed->kind, kind) << raw.target;
    EXPECT_EQ(parsed->key, DigestKey(kKey));
  }
}

// Guards against fields or headers that are lost or mixed up.
TEST(CallerRequestTest, ReadsFieldsAndHeaders) {
  auto raw =
      MakeRequest("POST", "/v1/programs/p.1/chat/completions", R"({"model":"m1","stream":true})");
  raw = WithHeader(raw, "persimmonstair-turn", "7");
  raw = WithHeader(raw, "persimmonstair-deadline-ms", "1500");
  raw = WithHeader(raw, "Idempotency-Key", "1700000000.abc");
  const auto turn = ParseCallerRequest(raw);
  ASSERT_TRUE(turn.has_value());
  EXPECT_EQ(turn->program.value, "p.1");
  EXPECT_EQ(turn->turn, 7U);
  EXPECT_EQ(turn->deadline, std::chrono::milliseconds(1500));
  EXPECT_EQ(turn->idempotency_key, "1700000000.abc");
  EXPECT_EQ(turn->model.value, "m1");
  EXPECT_TRUE(turn->stream);
  const auto open = ParseCallerRequest(
      MakeRequest("POST", "/v1/programs", R"({"model":"m1","budget_tokens":50,"parent":"p.0"})"));
  ASSERT_TRUE(open.has_value());
  EXPECT_EQ(open->budget_tokens, 50);
  EXPECT_EQ(open->parent.value, "p.0");
}

// Guards against a key that reaches a target, a log or the history in any form but its digest.
TEST(CallerRequestTest, KeyOutsideAuthorizationHeaderIsRejected) {
  const std::string key = kKey;
  const std::string turn = "/v1/programs/p.1/chat/completions";
  const std::vector<RawRequest> leaks = {
      MakeRequest("POST", turn, R"({"messages":[{"content":"my key is )" + key + R"("}]})"),
      MakeRequest("POST", turn, R"({"messages":[{"content":"sk-north\/desk-0123456789"}]})"),
      MakeRequest("POST", turn, R"({"messages":[{"content":"\u0073k-north/desk-0123456789"}]})"),
      MakeRequest("POST", "/v1/services/a", "k=sk-north%2Fdesk-0123456789"),
      MakeRequest("GET", "/v1/programs/" + key),
      MakeRequest("POST", "/v1/services/a?key=" + key),
      MakeRequest("POST", "/v1/services/a?key=sk-north%2fdesk-0123456789"),
      WithHeader(MakeRequest("GET", "/v1/programs/p.1"), "x-api-key", key),
      WithHeader(MakeRequest("GET", "/v1/programs/p.1"), "cookie", "a=b; k=" + key),
      WithHeader(MakeRequest("POST", "/v1/services/a"), "Idempotency-Key", "1700000000." + key),
      WithHeader(MakeRequest("GET", "/v1/programs/p.1"), "Authorization", "Bearer " + key),
  };
  for (const auto& raw : leaks) {
    EXPECT_EQ(ErrorCodeOf(raw), ErrorCode::kInvalidRequest) << raw.target << " " << raw.body;
    const auto parsed = ParseCallerRequest(raw);
    EXPECT_EQ(parsed.error().message.find(key), std::string::npos);
  }
}

// Guards against a request without a key being rejected, or taken as one with an empty key.
TEST(CallerRequestTest, RequestWithoutKeyHasNoDigest) {
  const auto parsed = ParseCallerRequest({"POST", "/v1/services/a", {}, ""});
  ASSERT_TRUE(parsed.has_value());
  EXPECT_FALSE(parsed->key.has_value());
}

TEST(CallerRequestTest, OtherSchemesAndEmptyKeysAreUnauthorized) {
  for (const char* value : {"Basic abc", "Bearer ", "Bearer", "sk-1"}) {
    const RawRequest raw{"GET", "/v1/catalogue", {{"authorization", value}}, ""};
    EXPECT_EQ(ErrorCodeOf(raw), ErrorCode::kUnauthorized) << value;
  }
}

// Guards against malformed bodies, ids and headers that are accepted, and against deeply nested
// JSON that overflows the stack.
TEST(CallerRequestTest, MalformedInputIsInvalidOrNotFound) {
  const std::string turn = "/v1/programs/p.1/chat/completions";
  const std::vector<RawRequest> cases = {
      MakeRequest("POST", turn, ""),
      MakeRequest("POST", turn, "[]"),
      MakeRequest("POST", turn, "7"),
      MakeRequest("POST", turn, "{\"model\":"),
      MakeRequest("POST", turn, "{} {}"),
      MakeRequest("POST", turn, R"({"stream":"yes"})"),
      MakeRequest("POST", turn, R"({"model":{"a":1}})"),
      MakeRequest("POST", turn, "{\"a\":\"\xff\"}"),
      MakeRequest("POST", turn,
                  "{\"a\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}"),
      MakeRequest("POST", "/v1/programs", "{}"),
      MakeRequest("POST", "/v1/programs", R"({"model":"m","budget_tokens":-1})"),
      MakeRequest("POST", "/v1/programs", R"({"model":"m","budget_tokens":99999999999999999999})"),
      MakeRequest("POST", "/v1/programs", R"({"model":"m","budget":1})"),
      MakeRequest("POST", "/v1/programs", R"({"model":"m","parent":"a/b"})"),
      MakeRequest("POST", "/v1/chat/completions", "{}"),
      MakeRequest("GET", "/v1/programs/a%2Fb"),
      MakeRequest("GET", "/v1/programs/" + std::string(129, 'a')),
      MakeRequest("BREW", "/v1/services/a"),
      WithHeader(MakeRequest("POST", turn, "{}"), "persimmonstair-turn", "0"),
      WithHeader(MakeRequest("POST", turn, "{}"), "persimmonstair-turn", "4294967296"),
      WithHeader(MakeRequest("POST", turn, "{}"), "persimmonstair-deadline-ms", "1s"),
      WithHeader(MakeRequest("POST", "/v1/services/a"), "Idempotency-Key", "a b"),
  };
  for (const auto& raw : cases) EXPECT_EQ(ErrorCodeOf(raw), ErrorCode::kInvalidRequest) << raw.body;
  for (const char* path : {"/", "/v1/programs/p.1/other", "/v2/programs", "/v1/programs/p.1/"}) {
    EXPECT_EQ(ErrorCodeOf(MakeRequest("GET", path)), ErrorCode::kNotFound) << path;
  }
}

// Guards against errors without the data that a caller needs to retry; Retry-After must round up.
TEST(CallerRequestTest, ErrorRepliesHaveCodeVerdictAndRetryTime) {
  const auto reply = ErrorReply({4}, {ErrorCode::kRateLimited, "slow down", base::Verdict::kNotRun,
                                      std::chrono::milliseconds(1200)});
  EXPECT_EQ(reply.status, 429U);
  EXPECT_EQ(reply.headers.at("retry-after"), "2");
  const auto json = nlohmann::json::parse(reply.body)["error"];
  EXPECT_EQ(json["code"], "rate_limited");
  EXPECT_EQ(json["message"], "slow down");
  EXPECT_EQ(json["verdict"], "not_run");
  EXPECT_EQ(json["retry_after_ms"], 1200);
}

}  // namespace
}  // namespace persimmonstair::net
