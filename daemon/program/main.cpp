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

/// @brief The scheduler, with each event written to a file first if the environment variable
/// PERSIMMONSTAIR_TRACE names one. A trace holds callers' texts, but no keys.
class RecordingScheduler {
 public:
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

int ReportError(const base::Error& error) {
  std::cerr << error.message << '\n';
  return kExitInvalidSettings;
}

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
  // Without peers nobody else needs to know the key.
  options.fleet_key = key->empty() ? RandomHex() + RandomHex() : *key;
  if (!settings.credentials_file.empty()) {
    auto credentials = net::ReadCredentials(settings.credentials_file);
    if (!credentials) return tl::make_unexpected(credentials.error());
    options.credentials = std::move(*credentials);
  }
  options.process = RandomHex();
  // Grows with each start unless the clock goes back.
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

// SIGTERM and SIGINT ask for a planned stop, and the second time for the end.
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
  std::thread listening([&] { context.run(); });
  const int code = instance.Run();
  context.stop();
  listening.join();
  return code;
}

int Main(int argc, char** argv) {
  const auto line = ReadCommandLine({argv + 1, argv + argc});
  if (!line) return ReportError(line.error());
  if (!line->help.empty()) {
    std::cout << line->help;
    return 0;
  }
  const auto options = MakeInstanceOptions(line->settings);
  if (!options) return ReportError(options.error());
  if (line->print_effective) std::cout << nlohmann::json(line->settings).dump(2) << '\n';
  if (line->check || line->print_effective) return 0;
  std::vector<std::string> secrets = {options->fleet_key};
  for (const auto& [name, token] : options->credentials) secrets.push_back(token);
  diagnostics::StartLog(line->settings.log_level, line->settings.instance.value,
                        std::move(secrets));
  const auto platform = [&](EventSink sink) {
    return StartPlatform(line->settings, std::move(sink));
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
