#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "policy/simulation.hpp"
#include "policy/workload.hpp"

namespace persimmonstair::bench {
namespace {

struct Options {
  double load = 0.9;
  int seeds = 5;
  int jobs = 3;
  double seconds = 600;
  std::string only;
  std::string basis;
  std::uint32_t window = routing::Settings{}.affinity_window;
};

struct Scenario {
  Deployment deployment;
  LoadBasis basis;
};

std::vector<Policy> Policies(const Options& options) {
  using routing::QueuePolicy;
  const auto make_settings = [&options](QueuePolicy queue, bool plan_ahead) {
    routing::Settings it;
    it.queue_policy = queue;
    it.plan_ahead = plan_ahead;
    it.affinity_window = options.window;
    return it;
  };
  return {{"naive", std::nullopt, true},
          {"naive+exact", std::nullopt},
          {"fifo", make_settings(QueuePolicy::kFirstInFirstOut, false)},
          {"fifo+plan", make_settings(QueuePolicy::kFirstInFirstOut, true)},
          {"las+plan", make_settings(QueuePolicy::kLeastAttained, true)},
          {"las", make_settings(QueuePolicy::kLeastAttained, false)},
          {"fair+las", make_settings(QueuePolicy::kFairLeastAttained, false)},
          {"fair+las+plan", make_settings(QueuePolicy::kFairLeastAttained, true)}};
}

/// Results of one policy, one element for each seed.
using Row = std::vector<Measures>;

// Runs all policies and seeds of a scenario on several threads. The results do not depend on the
// number of threads.
std::vector<Row> RunScenario(const Scenario& scenario, const std::vector<Policy>& policies,
                             const Options& options) {
  const auto seeds = static_cast<std::size_t>(options.seeds);
  std::vector<Row> rows(policies.size(), Row(seeds));
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < policies.size() * seeds; i = next++) {
      const std::size_t seed = i % seeds;
      RunPeriod run_period;
      run_period.end_s = run_period.warm_up_s + options.seconds;
      const Workload workload = MakeWorkload(scenario.deployment, scenario.basis, options.load,
                                             run_period.end_s, seed + 1);
      rows[i / seeds][seed] =
          Simulate(scenario.deployment, workload, policies[i / seeds], run_period);
    }
  };
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.jobs));
  for (int i = 0; i < options.jobs; ++i) threads.emplace_back(work);
  for (auto& it : threads) it.join();
  return rows;
}

// Mean, lowest and highest value over the seeds.
struct Spread {
  double mean = 0;
  double low = 0;
  double high = 0;
};

template <class Value>
Spread Summarize(const Row& row, Value value) {
  Spread it{0, value(row[0], 0), value(row[0], 0)};
  for (std::size_t i = 0; i < row.size(); ++i) {
    const double v = value(row[i], i);
    it.mean += v / static_cast<double>(row.size());
    it.low = std::min(it.low, v);
    it.high = std::max(it.high, v);
  }
  return it;
}

double Mean(const Row& row, double Measures::*field) {
  return Summarize(row, [field](const Measures& it, std::size_t) { return it.*field; }).mean;
}

// Formats the ratio to the naive policy, seed by seed, as "mean (lowest-highest)".
std::string FormatRatios(const Row& row, const Row& naive, double Measures::*field) {
  const Spread it = Summarize(row, [&](const Measures& m, std::size_t i) {
    return m.*field / std::max(1e-9, naive[i].*field);
  });
  char text[64];
  std::snprintf(text, sizeof text, "%.2f (%.2f-%.2f)", it.mean, it.low, it.high);
  return text;
}

void PrintRow(const Policy& policy, const Row& row, const std::vector<Row>& rows) {
  std::printf("| %-13s | %6.1f | %6.1f | %6.1f | %6.2f | %6.2f | %6.2f | %6.0f | %5.0f | %4.2f |",
              policy.name.c_str(), Mean(row, &Measures::p50_s), Mean(row, &Measures::p95_s),
              Mean(row, &Measures::p99_s), Mean(row, &Measures::wasted_tokens) / 1e6,
              Mean(row, &Measures::evicted_tokens) / 1e6, Mean(row, &Measures::worst_slowdown),
              Mean(row, &Measures::rate_refusals), Mean(row, &Measures::queue_refusals),
              Mean(row, &Measures::utilisation));
  for (const std::size_t base : {0, 1}) {
    for (const auto field :
         {&Measures::p95_s, &Measures::worst_slowdown, &Measures::wasted_tokens}) {
      std::printf(" %-16s |", FormatRatios(row, rows[base], field).c_str());
    }
  }
  std::printf("\n");
}

void PrintScenario(const Scenario& scenario, const std::vector<Policy>& policies,
                   const std::vector<Row>& rows, const Options& options) {
  const bool needed = scenario.basis == LoadBasis::kNeeded;
  const auto programs = [](const Measures& it, std::size_t) {
    return static_cast<double>(it.programs);
  };
  std::printf("\n%s, load %.2f of the capacity when %s, %d seeds, %.0f programs each\n",
              scenario.deployment.name.c_str(), options.load,
              needed ? "every token is prefilled once" : "every turn prefills its prompt again",
              options.seeds, Summarize(rows[0], programs).mean);
  std::printf(
      "| policy        | p50 s  | p95 s  | p99 s  | wasted | evict. | worst  | rate   | "
      "queue | util | p95/naive        | worst/naive      | wasted/naive     | "
      "p95/n.+exact     | worst/n.+exact   | wasted/n.+exact  |\n");
  std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (std::size_t i = 0; i < policies.size(); ++i) PrintRow(policies[i], rows[i], rows);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app{"Compares queue and target policies with round robin in virtual time"};
  app.add_option("--load", options.load,
                 "Load that the admitted programs create; 1 is the capacity of the engines");
  app.add_option("--seeds", options.seeds, "Number of seeds; the first is 1");
  app.add_option("--jobs", options.jobs, "Threads");
  app.add_option("--seconds", options.seconds,
                 "Duration of the measured arrivals in virtual seconds");
  app.add_option("--only", options.only, "Run only this deployment: desk or well");
  app.add_option("--basis", options.basis,
                 "Work that counts as load 1: needed or naive; both by default");
  app.add_option("--window", options.window, "Settings::affinity_window");
  CLI11_PARSE(app, argc, argv);
  const auto policies = Policies(options);
  std::printf(
      "p50, p95, p99: program latency. wasted: millions of prompt tokens prefilled again. "
      "evict.: the part of wasted whose prefix had been evicted. worst: mean slowdown of the "
      "worst-served workspace. rate, queue: refusals within "
      "the rate, by rate limiter and by queues. Ratios: mean over seeds (lowest-highest).\n");
  for (const LoadBasis basis : {LoadBasis::kNeeded, LoadBasis::kNaive}) {
    const std::string name = basis == LoadBasis::kNeeded ? "needed" : "naive";
    if (!options.basis.empty() && options.basis != name) continue;
    for (const Deployment& deployment : {RosaryDesk(), Puitsnet()}) {
      const bool desk = deployment.name == RosaryDesk().name;
      if (!options.only.empty() && (options.only == "desk") != desk) continue;
      const Scenario scenario{deployment, basis};
      PrintScenario(scenario, policies, RunScenario(scenario, policies, options), options);
    }
  }
  return 0;
}

}  // namespace
}  // namespace persimmonstair::bench

int main(int argc, char** argv) { return persimmonstair::bench::Main(argc, argv); }
