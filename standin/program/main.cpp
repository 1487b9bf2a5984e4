#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standin/standin.hpp"

namespace {

namespace standin = persimmonstair::standin;

struct Options {
  std::string address = "127.0.0.1";
  /// Ports of each role, by its name.
  std::map<std::string, std::vector<std::uint16_t>> ports;
  /// "ROLE={json}".
  std::vector<std::string> faults;
  standin::LogSettings log;
  standin::ListSettings list;
  standin::WeightSettings weights;
  standin::EngineSettings engine;
  standin::ServiceSettings service;
};

void AddRoles(CLI::App& app, Options& options) {
  app.add_option("--address", options.address, "IP address of all listeners")
      ->capture_default_str();
  for (const char* role : {"log", "list", "weights", "engine", "service"}) {
    app.add_option(std::string("--") + role, options.ports[role],
                   std::string("Port of a ") + role + " stand-in, 0 for any; may be repeated");
  }
  app.add_option("--fault", options.faults,
                 "Faults at start as ROLE=JSON, for example log={\"slow_ms\":50}; may be repeated");
}

void AddSettings(CLI::App& app, Options& options) {
  auto& log = options.log;
  app.add_option("--log-max-appends-per-s", log.max_appends_per_s, "0 for unlimited");
  app.add_option("--log-max-read-bytes", log.max_read_bytes, "Data bytes of one read");
  app.add_option("--log-seed", log.seed, "Seed of random lost answers");
  auto& weights = options.weights;
  app.add_option("--weights-rate-per-s", weights.rate_per_s, "Requests taken per second");
  app.add_option("--weights-burst", weights.burst, "Requests taken at once");
  app.add_option("--weights-bytes", weights.weight_bytes, "Size of each weight");
  auto& engine = options.engine;
  app.add_option("--engine-model", engine.models, "Model served, may be repeated; none: any");
  app.add_option("--engine-prefill-tokens-per-s", engine.prefill_tokens_per_s, "Prefill speed")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-decode-tokens-per-s", engine.decode_tokens_per_s,
                 "Decode speed of one request")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-slots", engine.slots, "Requests that decode at full speed")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-memory-tokens", engine.memory_tokens, "Prefix cache size");
  app.add_option("--engine-completion-tokens", engine.completion_tokens, "Longest answer")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-tokens-per-chunk", engine.tokens_per_chunk, "Tokens of an event")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-speed", engine.speed, "1 real time, 2 twice as fast, 0 at once")
      ->check(CLI::NonNegativeNumber);
  app.add_flag("--engine-checks-fencing,!--engine-ignores-fencing", engine.checks_fencing,
               "Whether orders with an old fencing number are refused");
  app.add_option("--engine-recorded-requests", engine.recorded_requests, "Kept for /requests");
  auto& service = options.service;
  app.add_option("--service-idempotent", service.idempotent_prefixes,
                 "Path prefix whose requests are idempotent; may be repeated");
  app.add_option("--service-delay-ms", service.delay_ms, "Time until an answer");
  app.add_option("--service-padding-bytes", service.padding_bytes, "Bytes added to each answer");
  app.add_option("--service-recorded-requests", service.recorded_requests, "Kept for /requests");
}

standin::RoleSettings SettingsOf(const Options& options, const std::string& role) {
  if (role == "log") return options.log;
  if (role == "list") return options.list;
  if (role == "weights") return options.weights;
  if (role == "engine") return options.engine;
  return options.service;
}

struct RunningRole {
  std::string role;
  std::unique_ptr<standin::Standin> standin;
};

/// Returns the exit code; 0 leaves all roles running in `out`.
int StartRoles(const Options& options, std::vector<RunningRole>& out) {
  for (const auto& [role, ports] : options.ports) {
    for (const std::uint16_t port : ports) {
      auto started = standin::Standin::Start(SettingsOf(options, role), {options.address, port});
      if (!started) {
        std::fprintf(stderr, "persimmonstair-standin: %s: %s\n", role.c_str(),
                     started.error().message.c_str());
        return 3;
      }
      out.push_back({role, std::move(*started)});
    }
  }
  if (!out.empty()) return 0;
  std::fprintf(stderr, "persimmonstair-standin: name at least one role, see --help\n");
  return 2;
}

int ApplyFaults(const std::vector<std::string>& faults, std::vector<RunningRole>& running) {
  for (const std::string& text : faults) {
    const auto equals = text.find('=');
    const std::string role = text.substr(0, equals);
    const std::string json = equals == std::string::npos ? "" : text.substr(equals + 1);
    for (RunningRole& item : running) {
      if (item.role != role) continue;
      const auto set = item.standin->SetFaults(json);
      if (set) continue;
      std::fprintf(stderr, "persimmonstair-standin: --fault %s: %s\n", text.c_str(),
                   set.error().message.c_str());
      return 2;
    }
  }
  return 0;
}

/// The signals that end the program; blocked before any thread starts, so that all inherit it.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Stand-ins for the platform's services and for targets. Prints one line for each "
      "listener and runs until SIGINT or SIGTERM."};
  Options options;
  AddRoles(app, options);
  AddSettings(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  const sigset_t signals = BlockStopSignals();
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<RunningRole> running;
  if (const int code = StartRoles(options, running); code != 0) return code;
  if (const int code = ApplyFaults(options.faults, running); code != 0) return code;
  for (const RunningRole& item : running) {
    std::printf("%s %s\n", item.role.c_str(), item.standin->url().c_str());
  }
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
