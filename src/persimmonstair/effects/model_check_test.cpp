#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <unordered_set>

#include "model_system.hpp"

namespace persimmonstair::effects::model {

using base::Now;
using base::RequestId;
using base::Verdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t kStart = 1'700'000'000;
const EffectKey kKey{{"north"}, {"deposit"}, std::to_string(kStart) + ".k"};

Now StartTime() { return {base::TimePoint{}, base::WallTime{seconds{kStart}}}; }

void Advance(Now& now, base::Duration by) {
  now.monotonic += by;
  now.wall += by;
}

template <class T>
void RemoveItem(std::vector<T>& items, const T& item) {
  items.erase(std::find(items.begin(), items.end(), item));
}

}  // namespace

System::System(const Bounds& bounds) : remaining_(bounds) {
  for (int n = 0; n < bounds.instances; ++n) {
    nodes_.push_back(
        Node{NewCoordinator(static_cast<std::size_t>(n), 1), 1, 0, StartTime(), {}, {}, {}});
    nodes_.back().coordinator.OnReadEnd(StartTime(), {0}, {}, true);
  }
}

EffectCoordinator System::NewCoordinator(std::size_t node, std::uint64_t incarnation) const {
  EffectOptions options;
  options.instance = {"i" + std::to_string(node)};
  options.incarnation = {incarnation};
  options.check_claim = remaining_.check_claim;
  return EffectCoordinator(std::move(options));
}

System System::Step(const std::string& name) const {
  System next = *this;
  next.steps_.push_back(name);
  return next;
}

void System::Perform(std::size_t node, EffectActions actions) {
  Node& at = nodes_[node];
  for (auto& action : actions) {
    if (auto* append = std::get_if<AppendRecord>(&action))
      at.pending_appends.push_back(std::move(*append));
    if (const auto* ready = std::get_if<ReadyToDispatch>(&action))
      at.ready.push_back(ready->request);
    if (const auto* refusal = std::get_if<EffectRefusal>(&action)) {
      if (refusal->error.verdict == Verdict::kNotRun) refused_.insert(refusal->request.value);
    }
  }
}

void System::AppendToLog(const AppendRecord& append) { log_.push_back(append.record); }

void System::AddCalls(std::vector<System>& out) const {
  if (remaining_.calls == 0) return;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    System next = Step("call at " + std::to_string(node));
    --next.remaining_.calls;
    Node& at = next.nodes_[node];
    next.Perform(node, at.coordinator.Begin(at.now, {{next.next_request_++}, kKey, 7}));
    out.push_back(std::move(next));
  }
}

// Results of the oldest pending append of an instance: it takes effect, takes effect without an
// answer, is lost, or takes effect later.
void System::AddAppends(std::size_t node, std::vector<System>& out) const {
  const auto finish = [&](const std::string& name, AppendResult result) {
    System next = Step(name + " at " + std::to_string(node));
    Node& at = next.nodes_[node];
    const AppendRecord append = at.pending_appends.front();
    at.pending_appends.erase(at.pending_appends.begin());
    if (result == AppendResult::kAppended || name == "append with lost answer")
      next.AppendToLog(append);
    if (name == "append that takes effect late") next.delayed_appends_.push_back(append);
    next.Perform(node, at.coordinator.OnAppendResult(at.now, append.id, result));
    return next;
  };
  if (nodes_[node].pending_appends.empty()) return;
  if (log_down_) {
    out.push_back(finish("append refused", AppendResult::kNotAppended));
    return;
  }
  out.push_back(finish("append", AppendResult::kAppended));
  if (remaining_.lost_answers > 0) {
    for (const char* name : {"append with lost answer", "append that takes effect late"}) {
      out.push_back(finish(name, AppendResult::kUnknown));
      --out.back().remaining_.lost_answers;
    }
  }
  if (remaining_.lost_appends > 0) {
    for (const AppendResult result : {AppendResult::kNotAppended, AppendResult::kUnknown}) {
      out.push_back(finish("append lost", result));
      --out.back().remaining_.lost_appends;
    }
  }
}

// Each read returns at most one record, so that instances can lag by any number of records.
void System::AddReads(std::size_t node, std::vector<System>& out) const {
  System next = Step("read at " + std::to_string(node));
  Node& at = next.nodes_[node];
  if (log_down_) {
    next.Perform(node, at.coordinator.OnReadFailed(at.now));
    out.push_back(std::move(next));
    return;
  }
  if (at.next_offset < log_.size()) {
    const std::uint64_t offset = at.next_offset++;
    next.Perform(node, at.coordinator.OnRecord(at.now, {offset}, log_[offset]));
  }
  const bool at_end = at.next_offset == log_.size();
  next.Perform(node, at.coordinator.OnReadEnd(at.now, {0}, {}, at_end));
  out.push_back(std::move(next));
}

void System::AddDispatches(std::size_t node, std::vector<System>& out) const {
  const std::string where = " at " + std::to_string(node);
  for (const RequestId request : nodes_[node].ready) {
    System next = Step("dispatch" + where);
    Node& at = next.nodes_[node];
    RemoveItem(at.ready, request);
    EffectActions actions;
    const bool allowed = at.coordinator.ConfirmDispatch(at.now, request, actions);
    if (allowed) {
      at.running.push_back(request);
      if (remaining_.failures > 0) {
        System refused = next;
        refused.steps_.back() = "connection refused" + where;
        --refused.remaining_.failures;
        refused.nodes_[node].running.pop_back();
        refused.Perform(
            node, refused.nodes_[node].coordinator.OnFailed(
                      at.now, request, {base::ErrorCode::kTargetFailed, "", Verdict::kNotRun}));
        out.push_back(std::move(refused));
      }
      next.dispatched_.push_back(request.value);
    }
    next.Perform(node, std::move(actions));
    out.push_back(std::move(next));
  }
  for (const RequestId request : nodes_[node].running) {
    System done = Step("target answers" + where);
    Node& at = done.nodes_[node];
    RemoveItem(at.running, request);
    System failed = done;
    done.Perform(node, at.coordinator.OnDone(at.now, request, 200, "ok"));
    out.push_back(std::move(done));
    if (remaining_.failures == 0) continue;
    failed.steps_.back() = "target does not respond" + where;
    --failed.remaining_.failures;
    failed.Perform(node, failed.nodes_[node].coordinator.OnFailed(
                             nodes_[node].now, request,
                             {base::ErrorCode::kTimeout, "", Verdict::kMayHaveRun}));
    out.push_back(std::move(failed));
  }
}

// A new process without the memory of the crashed one; pending appends may still take effect.
void System::AddCrashes(std::size_t node, std::vector<System>& out) const {
  if (remaining_.crashes == 0) return;
  System next = Step("crash of " + std::to_string(node));
  --next.remaining_.crashes;
  Node& at = next.nodes_[node];
  next.delayed_appends_.insert(next.delayed_appends_.end(), at.pending_appends.begin(),
                               at.pending_appends.end());
  at = Node{NewCoordinator(node, at.incarnation + 1), at.incarnation + 1, 0, at.now, {}, {}, {}};
  out.push_back(std::move(next));
}

void System::AddTime(std::vector<System>& out) const {
  if (remaining_.time_steps > 0) {
    System next = Step("5 s pass");
    --next.remaining_.time_steps;
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      for (int step = 0; step < 4; ++step) {
        Node& at = next.nodes_[node];
        Advance(at.now, milliseconds{1250});
        next.Perform(node, at.coordinator.OnTick(at.now));
      }
    }
    out.push_back(std::move(next));
  }
  for (std::size_t node = 0; remaining_.pauses > 0 && node < nodes_.size(); ++node) {
    System next = Step("pause of " + std::to_string(node));
    --next.remaining_.pauses;
    // The next call of the coordinator detects the pause.
    Advance(next.nodes_[node].now, milliseconds{2500});
    out.push_back(std::move(next));
  }
}

void System::AddOutages(std::vector<System>& out) const {
  if (log_down_) {
    out.push_back(Step("log up"));
    out.back().log_down_ = false;
  } else if (remaining_.outages > 0) {
    out.push_back(Step("log down"));
    out.back().log_down_ = true;
    --out.back().remaining_.outages;
  }
  for (std::size_t n = 0; !log_down_ && n < delayed_appends_.size(); ++n) {
    System next = Step("late append takes effect");
    next.AppendToLog(delayed_appends_[n]);
    next.delayed_appends_.erase(next.delayed_appends_.begin() + static_cast<std::ptrdiff_t>(n));
    out.push_back(std::move(next));
  }
}

std::vector<System> System::NextStates() const {
  std::vector<System> out;
  AddCalls(out);
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    AddAppends(node, out);
    AddReads(node, out);
    AddDispatches(node, out);
    AddCrashes(node, out);
  }
  AddTime(out);
  AddOutages(out);
  return out;
}

std::string System::Digest() const {
  std::string out;
  const auto add = [&out](auto value) { out += std::to_string(value) + ","; };
  for (const int value : {remaining_.calls, remaining_.lost_answers, remaining_.lost_appends,
                          remaining_.crashes, remaining_.outages, remaining_.pauses,
                          remaining_.time_steps, remaining_.failures, log_down_ ? 1 : 0}) {
    add(value);
  }
  const auto ids = [&out](const std::vector<AppendRecord>& appends) {
    for (const auto& append : appends) out += append.id.value + ";";
    out += "/";
  };
  for (const auto& record : log_) {
    std::visit([&out](const auto& one) { out += one.id.value + ";"; }, record);
  }
  ids(delayed_appends_);
  for (const Node& node : nodes_) {
    out += node.coordinator.DebugState();
    add(node.next_offset);
    add(node.now.monotonic.time_since_epoch().count());
    ids(node.pending_appends);
    for (const RequestId request : node.ready) add(request.value);
    out += "/";
    for (const RequestId request : node.running) add(request.value);
  }
  for (const std::uint64_t request : dispatched_) add(request);
  out += "/";
  for (const std::uint64_t request : refused_) add(request);
  return out;
}

std::string System::Violation() const {
  if (dispatched_.size() > 1) return "the key was dispatched more than once";
  for (const std::uint64_t request : dispatched_) {
    if (refused_.contains(request)) return "a request that was refused as not_run has run";
  }
  return "";
}

namespace {

struct Exploration {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::string violation;
  std::vector<std::string> steps;
};

struct DigestHash {
  std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& hash) const {
    return hash.first;
  }
};

// Breadth-first search, so that the reported path to a violation is a shortest one.
Exploration Explore(const Bounds& bounds) {
  Exploration result;
  std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, DigestHash> seen;
  std::deque<System> frontier;
  const auto visit = [&](System system) {
    const std::string digest = system.Digest();
    const XXH128_hash_t hash = XXH3_128bits(digest.data(), digest.size());
    if (seen.emplace(hash.low64, hash.high64).second) frontier.push_back(std::move(system));
  };
  visit(System(bounds));
  while (!frontier.empty()) {
    const System system = std::move(frontier.front());
    frontier.pop_front();
    result.violation = system.Violation();
    if (!result.violation.empty()) {
      result.steps = system.Steps();
      break;
    }
    for (System& next : system.NextStates()) {
      ++result.transitions;
      visit(std::move(next));
    }
  }
  result.states = seen.size();
  return result;
}

std::string FormatResult(const Exploration& result) {
  std::string out = result.violation;
  for (const auto& step : result.steps) out += "\n  " + step;
  return out;
}

void ExpectNoViolation(const Bounds& bounds, const std::string& name) {
  const Exploration result = Explore(bounds);
  std::cout << name << ": " << result.states << " distinct states, " << result.transitions
            << " transitions\n";
  EXPECT_EQ(result.violation, "") << FormatResult(result);
}

// Guards against interleavings that dispatch a key twice, or that refuse a request with the verdict
// not_run although it has run.
TEST(ModelCheck, TwoInstancesAppendFaults) {
  ExpectNoViolation(
      {.calls = 2, .crashes = 0, .outages = 0, .pauses = 0, .time_steps = 1, .failures = 0},
      "two instances, append faults");
}

TEST(ModelCheck, TwoInstancesCrashAndFailure) {
  ExpectNoViolation({.calls = 2,
                     .lost_answers = 1,
                     .lost_appends = 0,
                     .crashes = 1,
                     .outages = 0,
                     .pauses = 0,
                     .time_steps = 0,
                     .failures = 1},
                    "two instances, crash and failed attempt");
}

TEST(ModelCheck, TwoInstancesPauseAndOutage) {
  ExpectNoViolation({.calls = 2,
                     .lost_answers = 0,
                     .lost_appends = 0,
                     .crashes = 0,
                     .outages = 1,
                     .pauses = 1,
                     .time_steps = 0,
                     .failures = 0},
                    "two instances, pause and log outage");
}

TEST(ModelCheck, TwoInstancesLostAnswerAndPause) {
  ExpectNoViolation({.calls = 2,
                     .lost_answers = 1,
                     .lost_appends = 0,
                     .crashes = 0,
                     .outages = 0,
                     .pauses = 1,
                     .time_steps = 0,
                     .failures = 0},
                    "two instances, lost answer and pause");
}

TEST(ModelCheck, ThreeInstances) {
  ExpectNoViolation({.instances = 3,
                     .calls = 3,
                     .lost_answers = 0,
                     .lost_appends = 0,
                     .crashes = 0,
                     .outages = 0,
                     .pauses = 0,
                     .time_steps = 0,
                     .failures = 0},
                    "three instances, three calls");
}

// Guards against an exploration that cannot detect a violation: without the claim check it must
// find a second dispatch.
TEST(ModelCheck, FindsTheSecondDispatchWithoutTheClaimCheck) {
  const Exploration result = Explore({.calls = 2,
                                      .lost_answers = 0,
                                      .lost_appends = 0,
                                      .crashes = 0,
                                      .outages = 0,
                                      .pauses = 0,
                                      .time_steps = 0,
                                      .failures = 0,
                                      .check_claim = false});
  std::cout << "without the claim check: " << FormatResult(result) << "\n";
  EXPECT_EQ(result.violation, "the key was dispatched more than once");
}

}  // namespace
}  // namespace persimmonstair::effects::model
