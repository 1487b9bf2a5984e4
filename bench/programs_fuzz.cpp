// Runs random sequences of calls and faults over three instances and compares all results with a
// reference model:  programs_fuzz [count] [first seed] [steps] [epoch|turn_number]
// The last argument disables one check, to show that the model detects its absence.
#include <cstdlib>
#include <iostream>
#include <string>

#include "minimise.hpp"

int main(int argc, char** argv) {
  namespace simulation = persimmonstair::programs::simulation;
  const auto number = [&](int at, std::uint64_t default_value) {
    return argc > at ? std::strtoull(argv[at], nullptr, 10) : default_value;
  };
  const std::uint64_t count = number(1, 1000);
  const std::uint64_t first = number(2, 1);
  const std::uint64_t steps = number(3, 200);
  persimmonstair::programs::IndexChecks checks;
  const std::string off = argc > 4 ? argv[4] : "";
  if (off == "epoch") checks.epoch = false;
  if (off == "turn_number") checks.turn_number = false;
  simulation::Totals totals;
  const auto failure = simulation::RunSeeds(first, count, steps, checks, &totals);
  if (failure) {
    std::cout << simulation::Describe(*failure) << "\n";
    return 1;
  }
  std::cout << count << " sequences of " << steps << " steps from seed " << first
            << ": no violation found (" << totals.answers << " answers, " << totals.runs
            << " engine runs, " << totals.takeovers << " takeovers)\n";
  return 0;
}
