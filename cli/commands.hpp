#ifndef PERSIMMONSTAIR_CLI_COMMANDS_HPP_
#define PERSIMMONSTAIR_CLI_COMMANDS_HPP_

#include <string>

#include "cli/catalogue_view.hpp"
#include "cli/context.hpp"

namespace persimmonstair::cli {

// Each command returns its exit code.

/// @brief Checks a catalogue file; prints path, value and rule of each violation.
int Validate(const Context& context, const std::string& file);

/// @brief Prints the catalogue, one section, or one entry as "section/name".
int Show(const Context& context, const std::string& selector);

struct ApplyOptions {
  std::string file;
  std::string reason;
  /// Removes entries that are not in the file.
  bool prune = false;
  WaitOptions wait;
};

int Diff(const Context& context, const ApplyOptions& options);
int Apply(const Context& context, const ApplyOptions& options);
int History(const Context& context, std::uint32_t last);

struct KeyOptions {
  std::string name;
  /// Empty for an operator's key.
  std::string workspace;
  std::string owner;
  std::string entry_class;
  std::string reason;
  WaitOptions wait;
};

/// @brief Creates a key and prints it once; the catalogue gets its SHA-256 only.
int GrantKey(const Context& context, const KeyOptions& options);
int WithdrawKey(const Context& context, const KeyOptions& options);

int Status(const Context& context);

/// @brief Begins a planned stop of the one instance given with --admin.
int Drain(const Context& context);

struct ReplayOptions {
  std::string file;
  bool print_actions = false;
};

/// @brief Replays a recorded trace through a new scheduler; prints counts and a digest of all
/// actions. Equal digests mean equal decisions.
int Replay(const Context& context, const ReplayOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_COMMANDS_HPP_
