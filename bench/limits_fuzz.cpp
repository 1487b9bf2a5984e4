// Runs random fault sequences against the distributed rate limiter and checks its admissions
// against an exact token bucket.
//
//   limits_fuzz [sequences] [first seed] [threads] [mechanism to disable]
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "sim/search.hpp"
#include "sim/switch_names.hpp"

namespace {

using persimmonstair::limits::sim::Failure;
using persimmonstair::limits::sim::Shorten;
using persimmonstair::limits::sim::SwitchesFor;
using persimmonstair::limits::sim::SwitchNames;
using persimmonstair::limits::sim::TrySeed;

// State shared by the worker threads. The failure with the lowest seed is kept.
struct Search {
  std::uint64_t first = 1;
  std::uint64_t count = 1'000;
  std::atomic<std::uint64_t> next{0};
  std::atomic<std::uint64_t> done{0};
  std::mutex mutex;
  std::optional<Failure> failure;
};

void RunWorker(Search& search, const persimmonstair::limits::sim::Switches& switches) {
  for (;;) {
    const std::uint64_t n = search.next.fetch_add(1);
    if (n >= search.count) return;
    auto failure = TrySeed(search.first + n, switches);
    ++search.done;
    if (!failure) continue;
    search.next = search.count;
    const std::lock_guard lock(search.mutex);
    if (!search.failure || failure->plan.seed < search.failure->plan.seed) {
      search.failure = std::move(failure);
    }
  }
}

std::uint64_t Argument(int argc, char** argv, int n, std::uint64_t default_value) {
  return argc > n ? std::strtoull(argv[n], nullptr, 10) : default_value;
}

}  // namespace

int main(int argc, char** argv) {
  Search search;
  search.count = Argument(argc, argv, 1, 1'000);
  search.first = Argument(argc, argv, 2, 1);
  const std::uint64_t threads = Argument(argc, argv, 3, 1);
  const auto switches = SwitchesFor(argc > 4 ? argv[4] : "");
  if (!switches || threads == 0 || threads > 64) {
    std::cerr << "usage: limits_fuzz [sequences] [first seed] [threads] [mechanism to "
                 "disable]\nmechanisms:";
    for (const auto name : SwitchNames()) std::cerr << ' ' << name;
    std::cerr << '\n';
    return 2;
  }
  const auto start = std::chrono::steady_clock::now();
  std::vector<std::thread> workers;
  for (std::uint64_t n = 0; n < threads; ++n) {
    workers.emplace_back([&] { RunWorker(search, *switches); });
  }
  for (std::thread& worker : workers) worker.join();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  std::cout << search.done << " sequences from seed " << search.first << " in " << took.count()
            << " s\n";
  if (!search.failure) return 0;
  std::cout << Describe(Shorten(std::move(*search.failure), *switches));
  return 1;
}
