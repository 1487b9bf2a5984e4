#include "cli/cli.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>

#include "cli/commands.hpp"
#include "cli/load.hpp"

namespace persimmonstair::cli {
namespace {

/// Parsed options of all commands; each command reads only those it declares.
struct Options {
  std::string file;
  std::string selector;
  std::uint32_t last = 0;
  ApplyOptions apply;
  KeyOptions key;
  LoadOptions load;
  ReplayOptions replay;
};

void AddSharedOptions(CLI::App& app, Context& context) {
  app.add_flag("--json", context.json, "Print one JSON object instead of text");
  app.add_option("--address", context.address,
                 "Caller port of an entry instance, http://<ip>:<port>")
      ->envname("PERSIMMONSTAIR_ADDRESS");
  app.add_option("--admin", context.admin, "Admin port of an instance; may be repeated")
      ->envname("PERSIMMONSTAIR_ADMIN")
      ->allow_extra_args(false)
      ->delimiter(',');
  app.add_option("--key-file", context.key_file,
                 "File with the operator's key (for load: the caller's key)");
  app.add_option("--timeout-ms", context.timeout_ms, "Deadline of one request, in milliseconds")
      ->check(CLI::Range(1, 3'600'000))
      ->capture_default_str();
}

void AddWaitOptions(CLI::App& command, WaitOptions& wait) {
  command.add_flag("--wait", wait.wait, "Wait until all live instances report the version");
  command.add_option("--wait-timeout-ms", wait.timeout_ms, "Maximum wait, in milliseconds")
      ->capture_default_str();
}

void AddCatalogueCommands(CLI::App& app, Options& options) {
  auto* validate = app.add_subcommand("validate", "Check a catalogue file");
  validate->add_option("file", options.file, "Catalogue file")->required();
  auto* show = app.add_subcommand("show", "Print the catalogue, a section or section/name");
  show->add_option("what", options.selector, "Section or section/name");
  auto* history = app.add_subcommand("history", "Print who changed what, when and why");
  history->add_option("--last", options.last,
                      "Number of newest changes to print; 0 for all that are kept");
  for (const char* name : {"apply", "diff"}) {
    auto* command =
        app.add_subcommand(name, name == std::string("apply")
                                     ? "Send the entries of a file that differ from the catalogue"
                                     : "Print what apply would send");
    command->add_option("file", options.apply.file, "Catalogue file")->required();
    command->add_flag("--prune", options.apply.prune, "Remove entries that are not in the file");
    if (name != std::string("apply")) continue;
    command->add_option("--reason", options.apply.reason, "Reason, kept in the history")
        ->required();
    AddWaitOptions(*command, options.apply.wait);
  }
}

void AddKeyCommands(CLI::App& app, Options& options) {
  auto* key = app.add_subcommand("key", "Grant or withdraw a key");
  key->require_subcommand(1);
  auto* grant = key->add_subcommand("grant", "Create a key and print it once");
  grant->add_option("--workspace", options.key.workspace,
                    "Workspace of a caller's key; leave out for an operator's key");
  grant->add_option("--owner", options.key.owner, "Person or team responsible for the key")
      ->required();
  grant->add_option("--class", options.key.entry_class, "Class of the key, a label in reports")
      ->required();
  auto* withdraw = key->add_subcommand("withdraw", "Remove a key from the catalogue");
  for (CLI::App* command : {grant, withdraw}) {
    command->add_option("name", options.key.name, "Name of the key's catalogue entry")->required();
    command->add_option("--reason", options.key.reason, "Reason, kept in the history")->required();
    AddWaitOptions(*command, options.key.wait);
  }
}

void AddLoadCommand(CLI::App& app, Options& options) {
  auto& load = options.load;
  auto* command =
      app.add_subcommand("load", "Send programs or service calls and measure their latency");
  auto* route = command->add_option("--route", load.route, "Route of service calls");
  command->add_option("--path", load.path, "Path instead of a route, to call a target directly")
      ->excludes(route);
  command->add_option("--method", load.method, "Method of service calls")->capture_default_str();
  command->add_flag("--idempotency-key", load.idempotency_key,
                    "Add a new idempotency key to each call");
  command->add_option("--model", load.model, "Model that the programs use");
  command->add_option("--turns", load.turns, "Turns per program")
      ->check(CLI::Range(1, 470))
      ->capture_default_str();
  command->add_flag("--stream", load.stream, "Request streamed turns");
  command
      ->add_option("--body-bytes", load.body_bytes,
                   "Bytes in the body of a call or the message of a turn")
      ->check(CLI::Range(0, 4 << 20))
      ->capture_default_str();
  command
      ->add_option("--rate", load.rate_per_s,
                   "Calls or programs started per second; 0 starts the next when one ends")
      ->check(CLI::Range(0.0, 100'000.0));
  command
      ->add_option("--connections", load.connections,
                   "Maximum number of calls or programs in progress")
      ->check(CLI::Range(1, 4096))
      ->capture_default_str();
  command->add_option("--count", load.count, "Total number of calls or programs")
      ->check(CLI::Range(1, 10'000'000))
      ->capture_default_str();
  command
      ->add_option("--duration-s", load.duration_s,
                   "Seconds after which no call or program is started")
      ->check(CLI::Range(0.001, 86'400.0))
      ->capture_default_str();
}

// The replay command is left out when the program is built without the scheduler library.
#ifdef PERSIMMONSTAIR_CLI_REPLAY
constexpr bool kHasReplay = true;
int RunReplay(const Context& context, const Options& options) {
  return Replay(context, options.replay);
}
#else
constexpr bool kHasReplay = false;
int RunReplay(const Context& /*context*/, const Options& /*options*/) { return kUsage; }
#endif

void AddReplayCommand(CLI::App& app, Options& options) {
  if (!kHasReplay) return;
  auto* command = app.add_subcommand("replay", "Run a recorded trace through the scheduler");
  command->add_option("file", options.replay.file, "Trace file, one JSON object per line")
      ->required();
  command->add_flag("--actions", options.replay.print_actions, "Print every action");
}

int RunLoadCommand(const Context& context, const Options& options) {
  const bool service = !options.load.route.empty() || !options.load.path.empty();
  if (context.address.empty()) {
    return ReportFailure(
        context,
        UsageError("load needs an address: give --address or set PERSIMMONSTAIR_ADDRESS").value());
  }
  if (service != options.load.model.empty()) {
    return ReportFailure(
        context,
        UsageError("load needs --route or --path for calls, or --model for programs").value());
  }
  return Load(context, options.load);
}

int Dispatch(const CLI::App& app, const Context& context, const Options& options) {
  if (app.got_subcommand("validate")) return Validate(context, options.file);
  if (app.got_subcommand("show")) return Show(context, options.selector);
  if (app.got_subcommand("apply")) return Apply(context, options.apply);
  if (app.got_subcommand("diff")) return Diff(context, options.apply);
  if (app.got_subcommand("history")) return History(context, options.last);
  if (app.got_subcommand("status")) return Status(context);
  if (app.got_subcommand("drain")) return Drain(context);
  if (app.got_subcommand("load")) return RunLoadCommand(context, options);
  if (kHasReplay && app.got_subcommand("replay")) return RunReplay(context, options);
  const CLI::App* key = app.get_subcommand("key");
  if (key->got_subcommand("grant")) return GrantKey(context, options.key);
  return WithdrawKey(context, options.key);
}

}  // namespace

int RunCli(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err) {
  CLI::App app{"Command line tool for operators of persimmonstair", "persimmonstair"};
  Context context{out, err};
  Options options;
  AddSharedOptions(app, context);
  AddCatalogueCommands(app, options);
  AddKeyCommands(app, options);
  AddLoadCommand(app, options);
  AddReplayCommand(app, options);
  app.add_subcommand("status", "Print the status of each instance given with --admin");
  app.add_subcommand("drain", "Begin a planned stop of the instance given with --admin");
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(
      "Exit codes: 0 success, 1 refused or conflict, 2 usage error, 3 unreachable or outcome "
      "unknown.");
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(reversed);
  } catch (const CLI::ParseError& error) {
    return app.exit(error, out, err) == 0 ? kOk : kUsage;
  }
  return Dispatch(app, context, options);
}

}  // namespace persimmonstair::cli
