#include <iostream>
#include <string>
#include <vector>

#include "cli/cli.hpp"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return persimmonstair::cli::RunCli(arguments, std::cout, std::cerr);
}
