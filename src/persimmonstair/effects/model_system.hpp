#ifndef PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_
#define PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "persimmonstair/effects/effect_coordinator.hpp"

namespace persimmonstair::effects::model {

/// @brief Largest number of instances, calls and faults of each kind in one exploration.
struct Bounds {
  int instances = 2;
  /// Requests, all with the same idempotency key.
  int calls = 2;
  /// Appends that take effect although their result is unknown to the instance.
  int lost_answers = 1;
  /// Appends that never take effect.
  int lost_appends = 1;
  /// Restarts of a process without its memory.
  int crashes = 1;
  /// Log outages.
  int outages = 1;
  /// Pauses of a process above kPauseThreshold.
  int pauses = 1;
  /// Steps of 5 s on all clocks.
  int time_steps = 1;
  /// Attempts that end with a refused connection, or with an error although they may have run.
  int failures = 1;
  /// False turns off the claim check at dispatch, to show that the exploration finds the violation.
  bool check_claim = true;
};

/// @brief One instance: its coordinator, and its state outside the coordinator.
struct Node {
  EffectCoordinator coordinator;
  std::uint64_t incarnation = 1;
  /// Offset of the next record to read.
  std::size_t next_offset = 0;
  base::Now now;
  /// Appends without a result, oldest first.
  std::vector<AppendRecord> pending_appends;
  /// Requests that may ask for ConfirmDispatch().
  std::vector<base::RequestId> ready;
  /// Requests that were sent to the target and not answered.
  std::vector<base::RequestId> running;
};

/// @brief State of a small system of instances, a log and a target, for exhaustive exploration.
///
/// The coordinators and claim tables are the production classes; the rest is simulated.
class System {
 public:
  explicit System(const Bounds& bounds);

  /// Returns all states that one step of any part of the system leads to.
  std::vector<System> NextStates() const;
  /// Text that is equal for equal states.
  std::string Digest() const;
  /// Returns a description of the violated invariant, or an empty string.
  std::string Violation() const;
  /// Names of the steps from the initial state.
  const std::vector<std::string>& Steps() const { return steps_; }

 private:
  System Step(const std::string& name) const;
  EffectCoordinator NewCoordinator(std::size_t node, std::uint64_t incarnation) const;
  void Perform(std::size_t node, EffectActions actions);
  void AppendToLog(const AppendRecord& append);
  /// These functions append the states to which one step of a kind leads.
  void AddCalls(std::vector<System>& out) const;
  void AddAppends(std::size_t node, std::vector<System>& out) const;
  void AddReads(std::size_t node, std::vector<System>& out) const;
  void AddDispatches(std::size_t node, std::vector<System>& out) const;
  void AddCrashes(std::size_t node, std::vector<System>& out) const;
  void AddTime(std::vector<System>& out) const;
  void AddOutages(std::vector<System>& out) const;

  /// Faults and calls that may still occur.
  Bounds remaining_;
  std::vector<Node> nodes_;
  std::vector<schema::Record> log_;
  /// Appends that the instance no longer waits for and that may still take effect.
  std::vector<AppendRecord> delayed_appends_;
  bool log_down_ = false;
  std::uint64_t next_request_ = 1;
  /// Requests that reached the target, with one element for each time.
  std::vector<std::uint64_t> dispatched_;
  /// Requests that were refused with the verdict not_run.
  std::set<std::uint64_t> refused_;
  std::vector<std::string> steps_;
};

}  // namespace persimmonstair::effects::model

#endif  // PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_
