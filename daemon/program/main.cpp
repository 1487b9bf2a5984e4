#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

#include "instance.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/service_clients/service_worker.hpp"
#include "persimmonstair/trace/trace.hpp"
#include "settings_load.hpp"

namespace persimmonstair::daemon {
namespace {

/// @brief A scheduler that first writes each event to a trace file, if the environment variable
/// PERSIMMONSTAIR_TRACE names one. Traces contain the callers' texts but no keys.
class RecordingScheduler {
 public:
  /// `file` is the path of the trace file; null or empty writes no trace.
  RecordingScheduler(const scheduler::Options& options, const char* file) : scheduler_(options) {
    if (file == nullptr || *file == '\0') return;
    out_ = std::make_unique<std::ofstream>(file);
    *out_ << trace::FormatOptions(options) << '\n';
  }

  std::vector<scheduler::Action> Handle(const base::Now& now, scheduler::Event event) {
    if (out_) *out_ << trace::FormatStep({now, event}) << '\n';
    return scheduler_.Handle(now, std::move(event));
  }
  scheduler::Status status(const base::Now& now) const { return scheduler_.status(now); }

 private:
  scheduler::Scheduler scheduler_;
  std::unique_ptr<std::ofstream> out_;
};

using DaemonInstance = Instance<RecordingScheduler>;

constexpr int kExitInvalidSettings = 2;

// Prints the error and returns the exit code for invalid settings.
int ReportError(const base::Error& error) {
  std::cerr << error.message << '\n';
  return kExitInvalidSettings;
}

// Returns 16 random hexadecimal digits.
std::string RandomHex() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

base::Result<InstanceOptions> MakeInstanceOptions(const schema::Settings& settings) {
  InstanceOptions options;
  options.settings = settings;
  auto key = ReadFleetKey(settings);
  if (!key) return tl::make_unexpected(key.error());
  // Without peers no other instance needs the key, so a random one is enough.
  options.fleet_key = key->empty() ? RandomHex() + RandomHex() : *key;
  if (!settings.credentials_file.empty()) {
    auto credentials = net::ReadCredentials(settings.credentials_file);
    if (!credentials) return tl::make_unexpected(credentials.error());
    options.credentials = std::move(*credentials);
  }
  options.process = RandomHex();
  // Microseconds since 1970: larger at each start unless the system clock was set back.
  options.incarnation.value =
      static_cast<std::uint64_t>(ReadClocks().wall.time_since_epoch().count());
  return options;
}

scheduler::Options MakeSchedulerOptions(const InstanceOptions& options) {
  const auto& settings = options.settings;
  scheduler::Options out;
  out.instance = settings.instance;
  out.data_centre = settings.data_centre;
  out.process = options.process;
  out.incarnation = options.incarnation;
  for (const auto& peer : settings.peers) {
    if (peer.instance != settings.instance) {
      out.peers.push_back({peer.instance, peer.data_centre});
    }
  }
  out.seed = std::random_device{}();
  out.alone_stop = std::chrono::milliseconds(settings.isolation.alone_stop_ms);
  out.datacentre_stop = std::chrono::milliseconds(settings.isolation.datacentre_stop_ms);
  out.stop_timeout = std::chrono::milliseconds(settings.stop.timeout_ms);
  return out;
}

// Starts the service worker, which accesses the log and the instance list, and follows all streams.
base::Result<PlatformInterface> StartPlatform(const schema::Settings& settings, EventSink sink) {
  service_clients::WorkerSettings worker_settings;
  auto log = service_clients::ParseEndpoint(settings.platform.log_url);
  if (!log) return tl::make_unexpected(log.error());
  worker_settings.log = *log;
  if (!settings.platform.list_url.empty()) {
    auto list = service_clients::ParseEndpoint(settings.platform.list_url);
    if (!list) return tl::make_unexpected(list.error());
    worker_settings.list = *list;
  }
  worker_settings.client.timeout = std::chrono::milliseconds(settings.platform.timeout_ms);
  worker_settings.client.user_agent = "persimmonstair/" + settings.instance.value;
  auto worker = std::make_shared<service_clients::ServiceWorker>(worker_settings, std::move(sink));
  for (const auto& stream : scheduler::Scheduler::Streams()) worker->Follow(stream, {});
  return PlatformInterface{
      [worker](scheduler::Append append) { worker->Execute(std::move(append)); },
      [worker](scheduler::FetchRecords fetch) { worker->Execute(std::move(fetch)); },
      [worker] { worker->Stop(); }};
}

// Runs the instance and returns the exit code. The first SIGTERM or SIGINT begins a planned stop;
// the second ends the instance at once.
int RunUntilStopped(DaemonInstance& instance) {
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  std::function<void()> wait = [&] {
    signals.async_wait([&](boost::system::error_code ec, int /*number*/) {
      if (ec) return;
      instance.RequestStop();
      wait();
    });
  };
  wait();
  std::thread signal_thread([&] { context.run(); });
  const int code = instance.Run();
  context.stop();
  signal_thread.join();
  return code;
}

int Main(int argc, char** argv) {
  const auto command = LoadSettings({argv + 1, argv + argc});
  if (!command) return ReportError(command.error());
  if (!command->help.empty()) {
    std::cout << command->help;
    return 0;
  }
  const auto options = MakeInstanceOptions(command->settings);
  if (!options) return ReportError(options.error());
  if (command->print_effective) std::cout << nlohmann::json(command->settings).dump(2) << '\n';
  if (command->check || command->print_effective) return 0;
  std::vector<std::string> secrets = {options->fleet_key};
  for (const auto& [name, token] : options->credentials) secrets.push_back(token);
  diagnostics::StartLog(command->settings.log_level, command->settings.instance.value,
                        std::move(secrets));
  const auto platform = [&](EventSink sink) {
    return StartPlatform(command->settings, std::move(sink));
  };
  auto instance = DaemonInstance::Start(
      *options, platform,
      RecordingScheduler(MakeSchedulerOptions(*options), std::getenv("PERSIMMONSTAIR_TRACE")));
  if (!instance) return ReportError(instance.error());
  return RunUntilStopped(**instance);
}

}  // namespace
}  // namespace persimmonstair::daemon

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return persimmonstair::daemon::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "persimmonstaird: " << error.what() << '\n';
    return 1;
  }
}
