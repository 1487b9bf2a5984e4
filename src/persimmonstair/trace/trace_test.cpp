#include <gtest/gtest.h>

#include <sstream>

#include "persimmonstair/trace/replay.hpp"

namespace persimmonstair::trace {
namespace {

using namespace std::chrono_literals;

base::Now At(base::Duration time) { return {base::TimePoint{time}, base::WallTime{time}}; }

// One event of each type, in the order of the alternatives of scheduler::Event.
std::vector<scheduler::Event> Samples() {
  scheduler::CallerRequest request;
  request.request = {7};
  request.key = scheduler::KeyDigest{1, 2, 255};
  request.body = "{\"a\":\"\\u00e9\"}";
  request.deadline = 1500ms;
  scheduler::TargetReport report;
  report.target = {"t-1"};
  report.held = std::vector<base::ProgramId>{{"p-1"}};
  schema::Heartbeat heartbeat;
  heartbeat.data_centre = {"dc-1"};
  heartbeat.in_flight[{"t-1"}] = 3;
  const scheduler::LogRead read{{"control"}, {1}, {{{1}, "x"}}, {2}, {0}, base::WallTime{5s}, true};
  return {request,
          scheduler::CallerGone{{7}},
          scheduler::TargetFirstByte{{1}},
          scheduler::TargetDone{{1}, 200, "{}", 3, 2, 1, true},
          scheduler::TargetFailed{
              {1}, scheduler::FailureKind::kCancelled, base::Verdict::kNotRun, true},
          report,
          read,
          scheduler::LogReadFailed{{"control"}},
          scheduler::AppendDone{{3}, scheduler::AppendOutcome::kAppended, {9}},
          scheduler::RecordsFetched{{"programs"}, {{{4}, "y"}}, false},
          scheduler::InstanceListRead{{{{"i-1"}, {"dc-1"}, true}}, {{"t-2"}}},
          scheduler::PeerReceived{{"i-2"}, {4}, heartbeat, {0}},
          scheduler::PeerSendFailed{{"i-2"}, schema::KeyWithdrawn{{"k"}, 3}, true},
          scheduler::Tick{},
          scheduler::StopRequested{}};
}

// Guards against event types that cannot be recorded or replayed, and against members that are
// recorded but lost when the line is parsed. A member that is neither written nor read is not
// detected.
TEST(Trace, EveryEventRoundTrips) {
  const auto samples = Samples();
  ASSERT_EQ(samples.size(), std::variant_size_v<scheduler::Event>);
  for (std::size_t n = 0; n < samples.size(); ++n) {
    ASSERT_EQ(samples[n].index(), n);
    const std::string line = FormatStep({At(3s), samples[n]});
    EXPECT_EQ(line.find('\n'), std::string::npos);
    const auto step = ParseStep(line);
    ASSERT_TRUE(step) << line << step.error().message;
    EXPECT_EQ(step->event.index(), n);
    EXPECT_EQ(FormatStep(*step), line);
  }
  // The binary message inside the sample PeerReceived (index 11) keeps its members as well.
  const auto peer =
      std::get<scheduler::PeerReceived>(ParseStep(FormatStep({At(1s), samples[11]}))->event);
  EXPECT_EQ(std::get<schema::Heartbeat>(peer.message).in_flight.at({"t-1"}), 3U);
}

// Guards against a replay with other options than the recorded ones, and against a line without
// options that is accepted.
TEST(Trace, OptionsRoundTrip) {
  scheduler::Options options;
  options.instance = {"i-1"};
  options.peers = {{{"i-2"}, {"dc-2"}}};
  options.seed = 42;
  options.alone_stop = 7s;
  const auto parsed = ParseOptions(FormatOptions(options));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(FormatOptions(*parsed), FormatOptions(options));
  EXPECT_EQ(parsed->alone_stop, 7s);
  EXPECT_FALSE(ParseOptions("{}"));
}

/// Replies to each request with its body and ignores other events.
struct EchoHandler {
  std::vector<scheduler::Action> Handle(const base::Now&, scheduler::Event event) {
    const auto* request = std::get_if<scheduler::CallerRequest>(&event);
    if (request == nullptr) return {};
    return {scheduler::Reply{request->request, status, {}, request->body}};
  }
  std::uint32_t status = 200;
};

std::string Lines(const std::vector<Step>& steps) {
  std::string out;
  for (const Step& step : steps) out += FormatStep(step) + "\n";
  return out;
}

// Guards against equal digests of replays whose actions differ in one member (the reply status),
// and against faulty traces that are replayed in part without an error: truncated line, decreasing
// time, unknown event type, undecodable peer message.
TEST(Replay, DigestDependsOnActionsAndMalformedTracesAreErrors) {
  const auto run = [](std::uint32_t status, const std::string& text) {
    EchoHandler echo{status};
    std::istringstream in(text);
    return Replay(echo, in, [](const base::Now&, const scheduler::Action&) {});
  };
  const std::string text = Lines({{At(1s), Samples()[0]}, {At(2s), scheduler::Tick{}}});
  const auto summary = run(200, text);
  ASSERT_TRUE(summary);
  EXPECT_EQ(summary->events.at("Tick"), 1U);
  EXPECT_EQ(summary->actions.at("Reply"), 1U);
  EXPECT_EQ(summary->reply_statuses.at(200), 1U);
  EXPECT_EQ(run(200, text)->digest, summary->digest);
  EXPECT_NE(run(503, text)->digest, summary->digest);
  // `text` holds lines 2 and 3 of a trace; line 1 would be the options.
  EXPECT_EQ(run(200, text + "{\"at_us\":").error().message.rfind("line 4: ", 0), 0U);
  EXPECT_FALSE(run(200, Lines({{At(2s), scheduler::Tick{}}, {At(1s), scheduler::Tick{}}})));
  EXPECT_FALSE(run(200, R"({"at_us":1,"wall_us":1,"event":"Tock","value":{}})"));
  EXPECT_FALSE(
      run(200, R"({"at_us":1,"wall_us":1,"event":"PeerReceived","value":{"message":"zz"}})"));
}

}  // namespace
}  // namespace persimmonstair::trace
