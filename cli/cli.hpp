#ifndef PERSIMMONSTAIR_CLI_CLI_HPP_
#define PERSIMMONSTAIR_CLI_CLI_HPP_

#include <ostream>
#include <string>
#include <vector>

namespace persimmonstair::cli {

/// @brief Exit codes of the command line tool.
enum ExitCode : int {
  kOk = 0,
  /// The request was refused or conflicts with another change; it had no effect.
  kRefused = 1,
  /// The command line, or a file, key or address that it names, is not usable.
  kUsage = 2,
  /// An instance cannot be reached, or it is unknown whether a request took effect.
  kUnknown = 3,
};

/// @brief Runs one command line without the program's name and returns its ExitCode;
/// docs/operators/cli.md lists the commands. Results go to `out`, usage errors and notes to `err`,
/// failures to `err` or, with --json, to `out`.
///
///     RunCli({"validate", "catalogue.json"}, std::cout, std::cerr);
int RunCli(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CLI_HPP_
