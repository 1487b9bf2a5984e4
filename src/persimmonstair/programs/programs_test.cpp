#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

#include "conversation.hpp"
#include "minimise.hpp"
#include "persimmonstair/programs/program_store.hpp"

namespace persimmonstair::programs {
namespace {

using base::ErrorCode;
using base::Now;
using base::ProgramId;
using base::Verdict;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

template <class T>
const T* FirstAction(const ProgramActions& actions) {
  for (const auto& action : actions) {
    if (const T* one = std::get_if<T>(&action)) return one;
  }
  return nullptr;
}

std::string Body(const std::string& text) {
  return json{{"messages", {{{"role", "user"}, {"content", text}}}}, {"max_tokens", 10}}.dump();
}

std::string Answer(const std::string& text) {
  return json{{"choices", {{{"message", {{"role", "assistant"}, {"content", text}}}}}}}.dump();
}

ErrorCode RefusalCode(const ProgramActions& actions) {
  const auto* refusal = FirstAction<ProgramRefusal>(actions);
  return refusal == nullptr ? ErrorCode::kInternal : refusal->error.code;
}

class StoreTest : public testing::Test {
 protected:
  StoreTest() { store_.OnReadEnd(now_, {0}, true); }

  // Appends what the actions ask for and reads it back.
  ProgramActions AppendAndRead(const ProgramActions& actions) {
    ProgramActions out;
    for (const auto& action : actions) {
      const auto* append = std::get_if<AppendRecord>(&action);
      if (append == nullptr) continue;
      log_.push_back(append->record);
      const base::Offset offset{log_.size() - 1};
      for (auto& next : store_.OnRecord(now_, offset, append->record)) {
        out.push_back(std::move(next));
      }
    }
    return out;
  }
  void Open(const std::string& id, std::int64_t budget = 100'000, const std::string& parent = "") {
    AppendAndRead(store_.Open(now_, {{++request_}, {id}, {"north"}, {parent}, {"m"}, budget}));
  }
  ProgramActions SendTurn(const std::string& id, std::uint32_t turn, const std::string& text) {
    return store_.Turn(now_, {{++request_}, {id}, {"north"}, turn, Body(text), 10});
  }
  // Runs a turn up to its record, which is not in the log yet.
  ProgramActions CompleteTurn(const std::string& id, std::uint32_t turn, const std::string& text,
                              const std::string& target = "e0") {
    const ProgramActions asked = SendTurn(id, turn, text);
    const auto* run = FirstAction<RunTurn>(asked);
    if (run == nullptr) return asked;
    ProgramActions none;
    EXPECT_TRUE(store_.ConfirmDispatch(now_, run->request, none));
    return store_.OnTurnDone(now_, run->request, {{target}, 200, Answer("re " + text), 20, 10});
  }
  void Advance(base::Duration duration, ProgramActions* out = nullptr) {
    for (base::Duration passed{0}; passed < duration; passed += seconds{1}) {
      now_.monotonic += seconds{1};
      for (auto& action : store_.OnTick(now_)) {
        if (out != nullptr) out->push_back(std::move(action));
      }
    }
  }

  Now now_{base::TimePoint{}, base::WallTime{seconds{1'700'000'000}}};
  std::uint64_t request_ = 0;
  std::vector<schema::Record> log_;
  ProgramStore store_{ProgramOptions{.instance = {"i1"}, .incarnation = {1}}};
};

// Guards against a turn that runs twice, out of order, or with another body.
TEST_F(StoreTest, TurnOrder) {
  Open("p");
  const ProgramActions first = CompleteTurn("p", 1, "a");
  EXPECT_EQ(FirstAction<TurnAnswer>(first), nullptr) << "answered before the record was durable";
  EXPECT_EQ(FirstAction<TurnAnswer>(AppendAndRead(first))->durability, "log");
  const ProgramActions again = SendTurn("p", 1, "a");
  ASSERT_NE(FirstAction<TurnAnswer>(again), nullptr);
  EXPECT_TRUE(FirstAction<TurnAnswer>(again)->replayed);
  EXPECT_EQ(RefusalCode(SendTurn("p", 1, "other")), ErrorCode::kConflict);
  EXPECT_EQ(RefusalCode(SendTurn("p", 3, "c")), ErrorCode::kConflict);
  const ProgramActions running = SendTurn("p", 2, "b");
  EXPECT_TRUE(SendTurn("p", 2, "b").empty()) << "a duplicate of the running turn waits";
  const auto request = FirstAction<RunTurn>(running)->request;
  ProgramActions none;
  store_.ConfirmDispatch(now_, request, none);
  const auto done =
      AppendAndRead(store_.OnTurnDone(now_, request, {{"e0"}, 200, Answer("x"), 30, 10}));
  EXPECT_EQ(
      std::count_if(done.begin(), done.end(),
                    [](const auto& action) { return std::holds_alternative<TurnAnswer>(action); }),
      2);
}

// Guards against history that is lost, or shown to another workspace.
TEST_F(StoreTest, HistoryIsSentToEngineAndHiddenFromOtherWorkspaces) {
  Open("p");
  AppendAndRead(CompleteTurn("p", 1, "a"));
  const ProgramActions second = SendTurn("p", 2, "b");
  const json messages = json::parse(FirstAction<RunTurn>(second)->body)["messages"];
  ASSERT_EQ(messages.size(), 3U);
  EXPECT_EQ(messages[1]["content"], "re a");
  EXPECT_EQ(FirstAction<RunTurn>(second)->resident.value, "e0");
  EXPECT_EQ(RefusalCode(store_.Turn(now_, {{90}, {"p"}, {"south"}, 2, Body("b"), 10})),
            ErrorCode::kNotFound);
  EXPECT_FALSE(store_.Read({"p"}, {"south"}));
}

// Guards against a whole conversation that silently replaces the recorded history.
TEST(ConversationTest, WholeConversationMustMatch) {
  const std::vector<RecordedTurn> history{
      {1, R"([{"content":"a","role":"user"}])", Answer("b"), 200, Verdict::kRan, 5, 9}};
  const auto body = [](const std::string& first) {
    return json{{"messages",
                 {{{"role", "user"}, {"content", first}},
                  {{"role", "assistant"}, {"content", "b"}},
                  {{"role", "user"}, {"content", "c"}}}}}
        .dump();
  };
  const auto whole = PrepareTurn(history, body("a"), 10);
  ASSERT_TRUE(whole);
  EXPECT_EQ(json::parse(whole->request).size(), 1U);
  EXPECT_EQ(json::parse(whole->body)["messages"].size(), 3U);
  EXPECT_EQ(PrepareTurn(history, body("z"), 10).error().code, ErrorCode::kConflict);
  for (const std::string bad : {"", "[]", "{}", R"({"messages":[]})", R"({"messages":[1]})",
                                R"({"messages":[{"role":"user"}],"max_tokens":-1})",
                                R"({"messages":[{"role":"user"}],"n":2})"}) {
    EXPECT_EQ(PrepareTurn(history, bad, 10).error().code, ErrorCode::kInvalidRequest) << bad;
  }
}

// Guards against spending beyond the budget, also by sub-programs at the same time.
TEST_F(StoreTest, BudgetIsReservedAndShared) {
  Open("p", 150);
  Open("sub", 0, "p");
  const ProgramActions first = SendTurn("p", 1, "a");
  const std::int64_t reserved = FirstAction<RunTurn>(first)->reserved_tokens;
  EXPECT_GT(reserved, 75) << "two reservations would fit the budget";
  EXPECT_EQ(RefusalCode(SendTurn("sub", 1, "a")), ErrorCode::kBudgetExhausted);
  const auto request = FirstAction<RunTurn>(first)->request;
  ProgramActions none;
  store_.ConfirmDispatch(now_, request, none);
  AppendAndRead(store_.OnTurnDone(now_, request, {{"e0"}, 200, Answer("x"), 20, 10}));
  EXPECT_NE(FirstAction<RunTurn>(SendTurn("sub", 1, "a")), nullptr)
      << "the actual usage was settled";
}

// Guards against free work by turns that fail after they may have run.
TEST_F(StoreTest, FailureAfterSendingIsChargedInFull) {
  Open("p", 1000);
  const ProgramActions asked = SendTurn("p", 1, "a");
  const auto* run = FirstAction<RunTurn>(asked);
  ProgramActions none;
  store_.ConfirmDispatch(now_, run->request, none);
  const auto out = store_.OnTurnFailed(now_, run->request,
                                       {ErrorCode::kTimeout, "silent", Verdict::kMayHaveRun, {}});
  const auto record = std::get<schema::TurnRecord>(FirstAction<AppendRecord>(out)->record);
  EXPECT_EQ(record.charged_tokens, run->reserved_tokens);
  EXPECT_EQ(record.request, "[]");
}

// Guards against a log outage that stops turns, or that is hidden from the caller.
TEST_F(StoreTest, LogOutageIsAnsweredAfterPeerCopies) {
  Open("p");
  store_.OnReadFailed(now_);
  const ProgramActions done = CompleteTurn("p", 1, "a");
  EXPECT_EQ(FirstAction<AppendRecord>(done), nullptr);
  const auto* copy = FirstAction<Replicate>(done);
  ASSERT_NE(copy, nullptr);
  store_.OnReplicated(now_, copy->message.record_id, {"i2"});
  const auto answered = store_.OnReplicated(now_, copy->message.record_id, {"i3"});
  EXPECT_EQ(FirstAction<TurnAnswer>(answered)->durability, "peers-2");
  EXPECT_EQ(FirstAction<RunTurn>(SendTurn("p", 2, "b"))->turn, 2U);
  const auto later = store_.OnReadEnd(now_, {0}, true);
  EXPECT_EQ(FirstAction<AppendRecord>(later)->id, copy->message.record_id);
  EXPECT_NE(FirstAction<ReplicationDone>(AppendAndRead(later)), nullptr);
}

// Guards against a former owner that goes on after another instance took over.
TEST_F(StoreTest, LostOwnershipCancelsTheTurn) {
  Open("p");
  const ProgramActions asked = SendTurn("p", 1, "a");
  ProgramActions none;
  store_.ConfirmDispatch(now_, FirstAction<RunTurn>(asked)->request, none);
  const schema::OwnerRecord taken{{"x"}, {"p"}, {"north"}, {"i2"}, {1}, {0}, {0}, false};
  const auto out = store_.OnRecord(now_, {1}, taken);
  EXPECT_NE(FirstAction<CancelTurn>(out), nullptr);
  EXPECT_EQ(FirstAction<ProgramRefusal>(out)->error.verdict, Verdict::kMayHaveRun);
  EXPECT_FALSE(store_.Owns({"p"}));
}

// Guards against a paused owner that dispatches before it has read the log.
TEST_F(StoreTest, PausedOwnerReadsLogBeforeDispatch) {
  Open("p");
  const ProgramActions asked = SendTurn("p", 1, "a");
  now_.monotonic += seconds{3};
  ProgramActions out;
  EXPECT_FALSE(store_.ConfirmDispatch(now_, FirstAction<RunTurn>(asked)->request, out));
  EXPECT_EQ(FirstAction<ProgramRefusal>(out)->error.verdict, Verdict::kNotRun);
  store_.OnReadEnd(now_, {0}, true);
  EXPECT_EQ(RefusalCode(SendTurn("p", 1, "a")), ErrorCode::kOwnerUnavailable);
  store_.OnReadEnd(now_, {0}, true);
  EXPECT_NE(FirstAction<RunTurn>(SendTurn("p", 1, "a")), nullptr);
}

// Guards against engine memory of ended and idle programs.
TEST_F(StoreTest, MemoryIsReleasedUntilConfirmed) {
  Open("p");
  AppendAndRead(CompleteTurn("p", 1, "a"));
  ProgramActions out;
  Advance(minutes{16}, &out);
  ASSERT_NE(FirstAction<AppendRecord>(out), nullptr);
  EXPECT_EQ(std::get<schema::ProgramEnded>(FirstAction<AppendRecord>(out)->record).reason,
            "expired");
  AppendAndRead({*FirstAction<AppendRecord>(out)});
  for (int n = 0; n < 3; ++n) {
    out.clear();
    Advance(seconds{3}, &out);
    ASSERT_NE(FirstAction<ReleaseMemory>(out), nullptr);
  }
  store_.OnReleased({"p"}, {"e0"});
  out.clear();
  Advance(seconds{3}, &out);
  EXPECT_EQ(FirstAction<ReleaseMemory>(out), nullptr);
  EXPECT_EQ(FirstAction<ReleaseMemory>(store_.OnEngineReport(now_, {"e0"}, {{"ghost"}})), nullptr);
  Advance(seconds{31});
  EXPECT_NE(FirstAction<ReleaseMemory>(store_.OnEngineReport(now_, {"e0"}, {{"ghost"}})), nullptr);
}

// Guards against a program whose records leave the retained log.
TEST_F(StoreTest, SnapshotRestoresStateForLateReader) {
  Open("p");
  AppendAndRead(CompleteTurn("p", 1, "a"));
  AppendAndRead(CompleteTurn("p", 2, "b"));
  SendTurn("p", 0, "wait");
  store_.Pause(now_, {99}, {"p"}, {"north"});
  ProgramOptions options{.instance = {"i2"}, .incarnation = {1}};
  options.snapshot_turns = 2;
  ProgramStore writer(std::move(options));
  writer.OnReadEnd(now_, {0}, true);
  for (std::size_t n = 0; n < log_.size(); ++n) writer.OnRecord(now_, {n}, log_[n]);
  const auto taken = writer.TakeOver(now_, {"p"});
  log_.push_back(FirstAction<AppendRecord>(taken)->record);
  auto out = writer.OnRecord(now_, {log_.size() - 1}, log_.back());
  for (int n = 0; n < 3; ++n) {
    const auto* fetch = FirstAction<FetchRecords>(out);
    ASSERT_NE(fetch, nullptr);
    const base::Offset offset = fetch->offsets[0];
    out = writer.OnFetched(now_, false, {{offset, log_[offset.value]}});
  }
  now_.monotonic += seconds{2};
  out = writer.OnTick(now_);
  ASSERT_TRUE(writer.Owns({"p"}));
  const auto* snapshot = FirstAction<AppendRecord>(out);
  ASSERT_NE(snapshot, nullptr);
  log_.push_back(snapshot->record);
  ProgramIndex whole;
  for (std::size_t n = 0; n < log_.size(); ++n) whole.Apply({n}, log_[n]);
  ProgramIndex late;
  for (std::size_t n = log_.size() - 2; n < log_.size(); ++n) late.Apply({n}, log_[n]);
  ASSERT_NE(late.Find({"p"}), nullptr);
  EXPECT_EQ(*late.Find({"p"}), *whole.Find({"p"}));
  EXPECT_EQ(late.TreeOf(*late.Find({"p"})).epoch, whole.TreeOf(*whole.Find({"p"})).epoch);
}

// Guards against any combination of faults that breaks order, history, budget or release. The
// message names the seed and the shortest failing sequence.
TEST(ProgramsProperty, SequencesMatchReferenceModel) {
  const auto failure = simulation::RunSeeds(1, 300, 500);
  EXPECT_FALSE(failure) << simulation::Describe(*failure);
}

// Shows that the comparison fails when the epoch or the turn number is not checked.
// Guards against a result that an instance acknowledges right after a pause, before the log tells
// it that another instance has taken the program over: seed 6037, an acknowledged turn was
// replaced.
TEST(ProgramsProperty, RegressionSeeds) {
  const auto failure = simulation::RunSeeds(6037, 1, 500);
  EXPECT_FALSE(failure) << simulation::Describe(*failure);
}

TEST(ProgramsProperty, DisabledChecksAreDetected) {
  const auto epoch = simulation::RunSeeds(1, 300, 500, {.epoch = false});
  ASSERT_TRUE(epoch);
  std::cout << "without the epoch check: " << simulation::Describe(*epoch) << "\n";
  const auto turn = simulation::RunSeeds(1, 300, 500, {.turn_number = false});
  ASSERT_TRUE(turn);
  std::cout << "without the turn number check: " << simulation::Describe(*turn) << "\n";
}

}  // namespace
}  // namespace persimmonstair::programs
