#ifndef PERSIMMONSTAIR_CLI_CLI_HPP_
#define PERSIMMONSTAIR_CLI_CLI_HPP_

#include <ostream>
#include <string>
#include <vector>

namespace persimmonstair::cli {

/// @brief Exit codes of the operators' program.
enum ExitCode : int {
  kOk = 0,
  /// The request was refused or conflicts; it had no effect.
  kRefused = 1,
  kUsage = 2,
  /// An instance cannot be reached, or a change may or may not have taken effect.
  kUnknown = 3,
};

/// @brief Runs one command; docs/operators/cli.md lists them. Results go to `out`, everything else
/// to `err`.
///
///     RunCli({"validate", "catalogue.json"}, std::cout, std::cerr);
int RunCli(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CLI_HPP_
