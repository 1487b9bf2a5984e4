#ifndef PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_
#define PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "persimmonstair/effects/effect_coordinator.hpp"

namespace persimmonstair::effects::model {

/// @brief How many of each fault one exploration may contain.
struct Bounds {
  int instances = 2;
  int calls = 2;
  int lost_answers = 1;
  int lost_appends = 1;
  int crashes = 1;
  int outages = 1;
  int pauses = 1;
  int time_steps = 1;
  /// Attempts that end with an error although they may have run, or were refused.
  int failures = 1;
  bool check_claim = true;
};

/// @brief One instance with everything outside the coordinator that belongs to it.
struct Node {
  EffectCoordinator coordinator;
  std::uint64_t incarnation = 1;
  std::size_t next_offset = 0;
  base::Now now;
  std::vector<AppendRecord> pending_appends;
  std::vector<base::RequestId> ready;
  std::vector<base::RequestId> running;
};

/// @brief Instances, log and target of a small system; a transition is a step of any of them.
///
/// Only test programs use this. The coordinators and the claim table are the real ones.
class System {
 public:
  explicit System(const Bounds& bounds);

  /// All states one step away.
  std::vector<System> NextStates() const;
  /// Text that is equal for equal states.
  std::string Digest() const;
  /// Empty, or the broken invariant.
  std::string Violation() const;
  /// The steps from the start.
  const std::vector<std::string>& Steps() const { return steps_; }

 private:
  System Step(const std::string& name) const;
  EffectCoordinator NewCoordinator(std::size_t node, std::uint64_t incarnation) const;
  void Perform(std::size_t node, EffectActions actions);
  void AppendToLog(const AppendRecord& append);
  void AddCalls(std::vector<System>& out) const;
  void AddAppends(std::size_t node, std::vector<System>& out) const;
  void AddReads(std::size_t node, std::vector<System>& out) const;
  void AddDispatches(std::size_t node, std::vector<System>& out) const;
  void AddCrashes(std::size_t node, std::vector<System>& out) const;
  void AddTime(std::vector<System>& out) const;
  void AddOutages(std::vector<System>& out) const;

  Bounds remaining_;
  std::vector<Node> nodes_;
  std::vector<schema::Record> log_;
  /// Appends whose answer was lost and which may still take effect.
  std::vector<AppendRecord> delayed_appends_;
  bool log_down_ = false;
  std::uint64_t next_request_ = 1;
  /// Requests that reached the target, once for each time.
  std::vector<std::uint64_t> dispatched_;
  /// Requests whose callers got the verdict not_run.
  std::set<std::uint64_t> refused_;
  std::vector<std::string> steps_;
};

}  // namespace persimmonstair::effects::model

#endif  // PERSIMMONSTAIR_EFFECTS_MODEL_SYSTEM_HPP_
