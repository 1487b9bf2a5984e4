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

/// @brief The engines and services of a deployment. Number n is in data centre n modulo their
/// count, as instances are.
struct SimulatedTargets {
  SimulatedTargets(EventQueue& events, const Deployment& deployment);

  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Service>> services;
};

/// @brief A turn or a service call.
struct Call {
  int program = 0;
  int root = 0;
  int workspace = 0;
  int instance = 0;
  bool service = false;
  int prompt_tokens = 0;
  int completion_tokens = 0;
  double service_s = 0;
  /// Engine of the previous turn (-1 for none) and the tokens it held then.
  int last_engine = -1;
  int held_tokens = 0;
  /// Arguments: engine or service number, cached tokens.
  std::function<void(int, int)> on_done;
  /// Argument: seconds until a retry is of use.
  std::function<void(double)> on_refused;
};

/// @brief What stands between the callers and the targets.
class Frontend {
 public:
  virtual ~Frontend() = default;
  virtual void Submit(Call call) = 0;
};

/// @brief Round robin at each instance; requests wait inside the targets.
std::unique_ptr<Frontend> MakeRoundRobinFrontend(EventQueue& events, const Deployment& deployment,
                                                 SimulatedTargets& simulated_targets);

/// @brief One Router for each instance, with heartbeats and lagged reports. `end_s` ends the
/// periodic events.
std::unique_ptr<Frontend> MakeRouterFrontend(EventQueue& events, const Deployment& deployment,
                                             SimulatedTargets& simulated_targets,
                                             const routing::Settings& settings, double end_s);

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_FRONTEND_HPP_
