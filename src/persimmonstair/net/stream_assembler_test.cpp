#include "persimmonstair/net/stream_assembler.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

namespace persimmonstair::net {
namespace {

constexpr const char* kStream =
    ": a comment\n\n"
    "data: {\"id\":\"c1\",\"model\":\"m1\",\"created\":5,\"choices\":[{\"index\":0,\"delta\":"
    "{\"role\":\"assistant\",\"content\":\"He\"}}]}\n\n"
    "data: {\"id\":\"c1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"llo\"},"
    "\"finish_reason\":\"stop\"}]}\r\n\r\n"
    "data: {\"id\":\"c1\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":2,"
    "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
constexpr const char* kDone = "data: [DONE]\n\n";

// Guards against damaged, lost or repeated events when the network splits the stream at any byte.
TEST(StreamAssemblerTest, AnySplitGivesTheSameEventsAndObject) {
  const std::string stream = std::string(kStream) + kDone;
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    StreamAssembler assembler{1U << 20U};
    const auto first = assembler.Add(stream.substr(0, split));
    const auto second = assembler.Add(stream.substr(split));
    ASSERT_TRUE(first && second) << split;
    EXPECT_EQ(*first + *second, kStream) << split;
    EXPECT_TRUE(first->empty() || first->back() == '\n');
    EXPECT_TRUE(assembler.Ended());
    EXPECT_FALSE(assembler.HasTrailingData());
    const auto json = nlohmann::json::parse(assembler.Completion());
    EXPECT_EQ(json["id"], "c1");
    EXPECT_EQ(json["model"], "m1");
    EXPECT_EQ(json["choices"][0]["message"]["content"], "Hello");
    EXPECT_EQ(json["choices"][0]["finish_reason"], "stop");
    EXPECT_EQ(json["usage"]["prompt_tokens"], 9);
    EXPECT_EQ(assembler.TokenUsage().cached_tokens, 4);
  }
}

// Guards against relaying the end marker: the caller may receive it only after the turn is durable.
TEST(StreamAssemblerTest, EndMarkerAndLaterDataAreNotRelayed) {
  StreamAssembler assembler{1U << 20U};
  EXPECT_EQ(assembler.Add(std::string(kDone) + "data: {\"x\":1}\n\n").value_or("error"), "");
  EXPECT_TRUE(assembler.Ended());
  EXPECT_TRUE(assembler.HasTrailingData());
  EXPECT_EQ(assembler.Add("data: {}\n\n").value_or("error"), "");
}

TEST(StreamAssemblerTest, ToolCallsAreJoinedByIndex) {
  StreamAssembler assembler{1U << 20U};
  const auto delta = [](const std::string& calls) {
    return "data: {\"choices\":[{\"delta\":{\"tool_calls\":" + calls + "}}]}\n\n";
  };
  ASSERT_TRUE(assembler.Add(
      delta(R"([{"index":0,"id":"t1","function":{"name":"find","arguments":"{\"a\""}}])") +
      delta(R"([{"index":1,"id":"t2","function":{"name":"book","arguments":"{}"}}])") +
      delta(R"([{"index":0,"function":{"arguments":":1}"}}])") + kDone));
  const auto calls =
      nlohmann::json::parse(assembler.Completion())["choices"][0]["message"]["tool_calls"];
  ASSERT_EQ(calls.size(), 2U);
  EXPECT_EQ(calls[0]["id"], "t1");
  EXPECT_EQ(calls[0]["function"]["name"], "find");
  EXPECT_EQ(calls[0]["function"]["arguments"], "{\"a\":1}");
  EXPECT_EQ(calls[1]["function"]["name"], "book");
}

TEST(StreamAssemblerTest, InvalidEventsAndOversizedStreamsAreErrors) {
  for (const char* text : {"data: {\"error\":{\"message\":\"x\"}}\n\n", "data: nonsense\n\n",
                           "data: []\n\n", "data: {\"choices\":{}}\n\n"}) {
    EXPECT_FALSE(StreamAssembler{1U << 20U}.Add(text).has_value()) << text;
  }
  StreamAssembler small{100};
  EXPECT_FALSE(small.Add(std::string(101, 'a')).has_value());
  // Values of unexpected types inside a chunk must not cause an exception.
  StreamAssembler odd{1U << 20U};
  EXPECT_TRUE(
      odd.Add("data: {\"id\":1,\"choices\":[1,{\"delta\":2},{\"delta\":{\"tool_calls\":"
              "[1,{\"function\":3}]}}],\"usage\":{\"prompt_tokens_details\":4}}\n\n"));
}

}  // namespace
}  // namespace persimmonstair::net
