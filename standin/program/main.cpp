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
  /// Ports of each role, keyed by role name.
  std::map<std::string, std::vector<std::uint16_t>> ports;
  /// Entries of the form "ROLE={json}".
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
  app.add_option("--log-max-appends-per-s", log.max_appends_per_s,
                 "Appends accepted per second; 0 for unlimited");
  app.add_option("--log-max-read-bytes", log.max_read_bytes, "Limit of the data bytes in one read");
  app.add_option("--log-seed", log.seed, "Seed of the random lost append responses");
  auto& weights = options.weights;
  app.add_option("--weights-rate-per-s", weights.rate_per_s, "Requests accepted per second");
  app.add_option("--weights-burst", weights.burst, "Burst of the request rate limit");
  app.add_option("--weights-bytes", weights.weight_bytes, "Bytes of each weight response");
  auto& engine = options.engine;
  app.add_option("--engine-model", engine.models,
                 "Model served; may be repeated; any model if not given");
  app.add_option("--engine-prefill-tokens-per-s", engine.prefill_tokens_per_s,
                 "Prompt tokens prefilled per second")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-decode-tokens-per-s", engine.decode_tokens_per_s,
                 "Tokens decoded per second for one request")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-slots", engine.slots, "Requests that decode at full speed")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-memory-tokens", engine.memory_tokens,
                 "Capacity of the prefix cache in tokens");
  app.add_option("--engine-completion-tokens", engine.completion_tokens,
                 "Completion length in tokens unless max_tokens is lower")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-tokens-per-chunk", engine.tokens_per_chunk,
                 "Tokens in each streamed chunk")
      ->check(CLI::PositiveNumber);
  app.add_option("--engine-speed", engine.speed,
                 "1 is real time, 2 is twice as fast, 0 is without delay")
      ->check(CLI::NonNegativeNumber);
  app.add_flag("--engine-checks-fencing,!--engine-ignores-fencing", engine.checks_fencing,
               "Whether orders with an old fencing number are refused");
  app.add_option("--engine-recorded-requests", engine.recorded_requests,
                 "Requests kept for GET /requests");
  auto& service = options.service;
  app.add_option("--service-idempotent", service.idempotent_prefixes,
                 "Path prefix whose requests are idempotent; may be repeated");
  app.add_option("--service-delay-ms", service.delay_ms, "Delay of each response in milliseconds");
  app.add_option("--service-padding-bytes", service.padding_bytes,
                 "Bytes of padding added to each response");
  app.add_option("--service-recorded-requests", service.recorded_requests,
                 "Requests kept for GET /requests");
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

/// Starts the roles into `out` and returns the exit code; 0 if all were started.
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
  std::fprintf(stderr, "persimmonstair-standin: no role given, see --help\n");
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

/// Returns the signals that end the program. They are blocked before any thread starts, so that all
/// threads inherit the mask.
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
      "Runs stand-ins for the platform's services and for targets. Prints one line for each "
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
