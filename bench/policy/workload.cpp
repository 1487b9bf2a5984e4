#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace persimmonstair::bench {
namespace {

// Rate limit of a workspace that stays within it, relative to its average arrival rate.
constexpr double kHeadroom = 1.25;
// Arrival rate of the first workspace relative to its rate limit.
constexpr double kFloodFactor = 4;
// Bucket size: seconds of the rate, plus a constant number of programs for small workspaces.
constexpr double kBurstSeconds = 10;
constexpr double kBurstPrograms = 5;
// Limit of turns of a program in docs/design.md.
constexpr int kMaxTurns = 470;
// Number of programs from which the mean engine time is computed.
constexpr int kSamplePrograms = 4000;
// Fraction of the turns for which round robin over ten engines finds no usable prefix.
constexpr double kRoundRobinMissRate = 0.9;

class ProgramGenerator {
 public:
  ProgramGenerator(const Deployment& deployment, std::uint64_t seed)
      : deployment_(deployment), random_(seed) {}

  int RandomCount(double mean) {
    return std::max(1, static_cast<int>(std::lround(Exponential(mean))));
  }
  double Exponential(double mean) { return std::exponential_distribution<>(1 / mean)(random_); }
  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  // Returns an index below n; index i has a weight of 1 / sqrt(1 + i).
  int SkewedIndex(int n) {
    std::vector<double> weights(static_cast<std::size_t>(n));
    for (std::size_t i = 0; i < weights.size(); ++i) {
      weights[i] = 1 / std::sqrt(1.0 + static_cast<double>(i));
    }
    return std::discrete_distribution<>(weights.begin(), weights.end())(random_);
  }

  // Appends a program with its sub-programs and returns its index.
  int AddProgram(std::vector<ProgramPlan>& programs, int workspace, double arrival_s, int parent) {
    const int index = static_cast<int>(programs.size());
    programs.emplace_back();
    ProgramPlan plan;
    plan.workspace = workspace;
    plan.parent = parent;
    plan.root = parent < 0 ? index : programs[static_cast<std::size_t>(parent)].root;
    plan.arrival_s = arrival_s;
    plan.instance = SkewedIndex(deployment_.instances);
    programs[static_cast<std::size_t>(index)] = plan;
    const int turns = parent < 0 ? RandomTurnCount() : 1 + SkewedIndex(3);
    for (int i = 0; i < turns; ++i) plan.turns.push_back(MakeTurn(programs, plan, index, i));
    for (const Turn& turn : plan.turns) {
      plan.ideal_s += IdealSeconds(programs, turn, &turn == &plan.turns.back());
    }
    programs[static_cast<std::size_t>(index)] = std::move(plan);
    return index;
  }

 private:
  int RandomTurnCount() {
    std::lognormal_distribution<> turns(std::log(deployment_.turns_median),
                                        deployment_.turns_sigma);
    return std::clamp(static_cast<int>(std::lround(turns(random_))), 1, kMaxTurns);
  }

  Turn MakeTurn(std::vector<ProgramPlan>& programs, const ProgramPlan& plan, int index, int i) {
    Turn turn;
    turn.new_tokens = RandomCount(deployment_.turn_tokens);
    if (i == 0) {
      turn.new_tokens +=
          deployment_.first_prompt_tokens / 2 + RandomCount(deployment_.first_prompt_tokens / 2.0);
    }
    turn.completion_tokens = RandomCount(deployment_.completion_tokens);
    turn.pause_s = Exponential(deployment_.pause_s);
    if (Chance(deployment_.service_chance)) turn.service_s = Exponential(deployment_.service_s);
    if (plan.parent < 0 && Chance(deployment_.child_chance)) {
      for (int n = 1 + static_cast<int>(Chance(0.5)); n > 0; --n) {
        turn.children.push_back(AddProgram(programs, plan.workspace, 0, index));
      }
    }
    return turn;
  }

  // Latency of a turn and the activities after it on idle engines. The pause after the last turn is
  // not part of the program.
  double IdealSeconds(const std::vector<ProgramPlan>& programs, const Turn& turn, bool last) const {
    double after = last ? 0 : std::max(turn.pause_s, turn.service_s);
    for (const int child : turn.children) {
      after = std::max(after, programs[static_cast<std::size_t>(child)].ideal_s);
    }
    return turn.new_tokens / deployment_.prefill_tokens_per_s +
           turn.completion_tokens / deployment_.decode_tokens_per_s + after;
  }

  const Deployment& deployment_;
  std::mt19937_64 random_;
};

// Engine time of a program without its sub-programs, in seconds.
double EngineSeconds(const Deployment& deployment, const ProgramPlan& plan, LoadBasis basis) {
  double prefilled = 0;
  double generated = 0;
  double context = 0;
  for (const Turn& turn : plan.turns) {
    prefilled += turn.new_tokens + (basis == LoadBasis::kNaive ? kRoundRobinMissRate * context : 0);
    generated += turn.completion_tokens;
    context += turn.new_tokens + turn.completion_tokens;
  }
  return prefilled / deployment.prefill_tokens_per_s +
         generated / deployment.decode_tokens_per_s / deployment.engine_slots;
}

double MeanEngineSeconds(const Deployment& deployment, LoadBasis basis) {
  ProgramGenerator generator(deployment, 1);
  std::vector<ProgramPlan> programs;
  for (int i = 0; i < kSamplePrograms; ++i) generator.AddProgram(programs, 0, 0, -1);
  double seconds = 0;
  for (const auto& it : programs) seconds += EngineSeconds(deployment, it, basis);
  return seconds / kSamplePrograms;
}

// Marks the programs that one exact token bucket for each workspace admits.
void ApplyExactLimiter(Workload& workload) {
  std::vector<double> level = workload.burst;
  std::vector<double> at(level.size(), 0);
  for (auto& plan : workload.programs) {
    if (plan.parent >= 0) continue;
    const auto w = static_cast<std::size_t>(plan.workspace);
    level[w] =
        std::min(workload.burst[w], level[w] + (plan.arrival_s - at[w]) * workload.rate_per_s[w]);
    at[w] = plan.arrival_s;
    plan.in_rate = level[w] >= 1;
    if (plan.in_rate) level[w] -= 1;
  }
}

}  // namespace

Deployment RosaryDesk() {
  Deployment it;
  it.name = "rosary desk";
  it.shares = {0.25, 0.22, 0.18, 0.07, 0.07, 0.07, 0.07, 0.07};
  return it;
}

Deployment Puitsnet() {
  Deployment it;
  it.name = "Puitsnet";
  it.services = 15;
  it.caller_delay_s = 0.003;
  it.shares = {0.3, 0.25, 0.15, 0.06, 0.06, 0.06, 0.06, 0.06};
  it.turns_median = 9;
  it.turns_sigma = 0.8;
  it.first_prompt_tokens = 1500;
  it.turn_tokens = 500;
  it.completion_tokens = 120;
  it.pause_s = 3;
  it.service_chance = 0.4;
  it.child_chance = 0.1;
  return it;
}

Workload MakeWorkload(const Deployment& deployment, LoadBasis basis, double load, double end_s,
                      std::uint64_t seed) {
  const double total = load * deployment.engines / MeanEngineSeconds(deployment, basis);
  Workload workload;
  std::vector<std::pair<double, int>> arrivals;
  ProgramGenerator generator(deployment, seed);
  for (std::size_t w = 0; w < deployment.shares.size(); ++w) {
    const double admitted = total * deployment.shares[w];
    const double limit = w == 0 ? admitted : admitted * kHeadroom;
    const double sent = w == 0 ? kFloodFactor * admitted : admitted;
    workload.rate_per_s.push_back(limit);
    workload.burst.push_back(kBurstSeconds * limit + kBurstPrograms);
    for (double t = generator.Exponential(1 / sent); t < end_s;
         t += generator.Exponential(1 / sent)) {
      arrivals.emplace_back(t, static_cast<int>(w));
    }
  }
  std::ranges::sort(arrivals);
  for (const auto& [t, w] : arrivals) generator.AddProgram(workload.programs, w, t, -1);
  ApplyExactLimiter(workload);
  return workload;
}

}  // namespace persimmonstair::bench
