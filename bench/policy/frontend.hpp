#ifndef PERSIMMONSTAIR_BENCH_POLICY_FRONTEND_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_FRONTEND_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "engine.hpp"
#include "events.hpp"
#include "persimmonstair/routing/router.hpp"
#include "workload.hpp"

namespace persimmonstair::bench {

/// @brief The engines and services of a deployment. As with instances, the one with number n is in
/// data centre n modulo the number of data centres.
struct SimulatedTargets {
  SimulatedTargets(EventQueue& events, const Deployment& deployment);

  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Service>> services;
};

/// @brief A turn or a service call of a program.
struct Call {
  int program = 0;
  int root = 0;
  int workspace = 0;
  int instance = 0;
  bool service = false;
  int prompt_tokens = 0;
  int completion_tokens = 0;
  double service_s = 0;
  /// Engine of the previous turn (-1 for none), and the prefix tokens that it held after that turn.
  int last_engine = -1;
  int held_tokens = 0;
  /// Arguments: number of the engine or service, cached tokens.
  std::function<void(int, int)> on_done;
  /// Argument: seconds until the call should be retried.
  std::function<void(double)> on_refused;
};

/// @brief The scheduling policy under test, which sends calls to the targets.
class Frontend {
 public:
  virtual ~Frontend() = default;
  virtual void Submit(Call call) = 0;
};

/// @brief Sends calls to the targets in round-robin order at each instance, without a queue of its
/// own: requests wait at the targets.
std::unique_ptr<Frontend> MakeRoundRobinFrontend(EventQueue& events, const Deployment& deployment,
                                                 SimulatedTargets& simulated_targets);

/// @brief Runs one Router for each instance, with heartbeats between instances and delayed target
/// reports. Periodic events stop at `end_s`.
std::unique_ptr<Frontend> MakeRouterFrontend(EventQueue& events, const Deployment& deployment,
                                             SimulatedTargets& simulated_targets,
                                             const routing::Settings& settings, double end_s);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_FRONTEND_HPP_
