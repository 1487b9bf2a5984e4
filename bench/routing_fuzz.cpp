#include <CLI/CLI.hpp>
#include <cstdint>
#include <iostream>
#include <string>

#include "differential.hpp"

int main(int argc, char** argv) {
  std::uint64_t sequences = 10'000;
  std::uint64_t steps = 300;
  std::uint64_t seed = 1;
  CLI::App app{"Runs random event sequences and compares the router with its reference model"};
  app.add_option("--sequences", sequences, "Number of sequences");
  app.add_option("--steps", steps, "Steps of each sequence");
  app.add_option("--seed", seed,
                 "Seed of the first sequence; each further sequence uses the next seed");
  CLI11_PARSE(app, argc, argv);

  for (std::uint64_t n = 0; n < sequences; ++n) {
    const std::string failure =
        persimmonstair::routing::differential::RunAndShrink(seed + n, steps);
    if (!failure.empty()) {
      std::cout << failure;
      return 1;
    }
  }
  std::cout << sequences << " sequences of " << steps << " steps, seeds " << seed << " to "
            << seed + sequences - 1 << ": no violation found\n";
}
