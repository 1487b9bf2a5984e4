#ifndef PERSIMMONSTAIR_CLI_COMMANDS_HPP_
#define PERSIMMONSTAIR_CLI_COMMANDS_HPP_

#include <string>

#include "cli/catalogue_view.hpp"
#include "cli/context.hpp"

namespace persimmonstair::cli {

// Each command prints its result and returns an ExitCode.

/// @brief Checks a catalogue file; prints the path, value and broken rule of each violation.
int Validate(const Context& context, const std::string& file);

/// @brief Prints catalogue entries. `selector` is empty for all, a section's name for one section,
/// or "section/name" for one entry.
int Show(const Context& context, const std::string& selector);

struct ApplyOptions {
  std::string file;
  /// Reason for the change, kept in the history.
  std::string reason;
  /// Removes entries that are not in the file.
  bool prune = false;
  WaitOptions wait;
};

/// @brief Prints the edits that Apply would send.
int Diff(const Context& context, const ApplyOptions& options);

/// @brief Sends the edits that give the catalogue the values of the file, as one change.
int Apply(const Context& context, const ApplyOptions& options);

/// @brief Prints the last `last` changes of the catalogue; 0 prints all that are kept.
int History(const Context& context, std::uint32_t last);

struct KeyOptions {
  /// Name of the catalogue entry in section "keys".
  std::string name;
  /// Empty for an operator's key.
  std::string workspace;
  /// Person or team responsible for the key.
  std::string owner;
  /// Class of the key, a label in reports.
  std::string entry_class;
  /// Reason for the change, kept in the history.
  std::string reason;
  WaitOptions wait;
};

/// @brief Creates a key and prints it once; the catalogue stores only its SHA-256 digest.
int GrantKey(const Context& context, const KeyOptions& options);

/// @brief Removes a key's entry from the catalogue.
int WithdrawKey(const Context& context, const KeyOptions& options);

/// @brief Prints the status of each instance given with --admin.
int Status(const Context& context);

/// @brief Begins a planned stop of the one instance given with --admin.
int Drain(const Context& context);

struct ReplayOptions {
  std::string file;
  /// Prints every action of the scheduler.
  bool print_actions = false;
};

/// @brief Replays a recorded trace through a new scheduler; prints counts and a digest of all
/// actions. Two replays with equal digests took the same decisions.
int Replay(const Context& context, const ReplayOptions& options);

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_COMMANDS_HPP_
