#include "persimmonstair/diagnostics/log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>

namespace persimmonstair::diagnostics {
namespace {

struct LogState {
  std::mutex mutex;
  std::string instance;
  std::vector<std::string> secrets;
};

LogState& State() {
  static LogState state;
  return state;
}

spdlog::level::level_enum ToSpdlog(Level level) {
  switch (level) {
    case Level::kDebug:
      return spdlog::level::debug;
    case Level::kInfo:
      return spdlog::level::info;
    case Level::kWarning:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

// Largest number of lines queued for the writer thread; at about 300 bytes a line they take less
// than 2 MB.
constexpr std::size_t kMaxQueuedLines = 4096;

void InstallLogger(const std::string& level, const std::string& instance,
                   std::vector<std::string> secrets, std::shared_ptr<spdlog::logger> logger) {
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})");
  logger->set_level(spdlog::level::from_str(level));
  spdlog::set_default_logger(std::move(logger));
  const std::lock_guard lock(State().mutex);
  State().instance = instance;
  State().secrets = std::move(secrets);
}

void StartWithSink(const std::string& level, const std::string& instance,
                   std::vector<std::string> secrets, spdlog::sink_ptr sink) {
  auto logger = std::make_shared<spdlog::logger>("persimmonstair", std::move(sink));
  logger->flush_on(spdlog::level::info);
  InstallLogger(level, instance, std::move(secrets), std::move(logger));
}

void Redact(std::string& text) {
  for (const auto& secret : State().secrets) {
    if (secret.empty()) continue;
    for (auto at = text.find(secret); at != std::string::npos; at = text.find(secret, at)) {
      text.replace(at, secret.size(), "***");
    }
  }
}

}  // namespace

void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets) {
  StartWithSink(level, instance, std::move(secrets),
                std::make_shared<spdlog::sinks::stderr_sink_mt>());
}

void StartLog(const std::string& level, const std::string& instance,
              std::vector<std::string> secrets, std::ostream& out) {
  StartWithSink(level, instance, std::move(secrets),
                std::make_shared<spdlog::sinks::ostream_sink_mt>(out, true));
}

void StartBackgroundLog(const std::string& level, const std::string& instance,
                        std::vector<std::string> secrets) {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  InstallLogger(level, instance, std::move(secrets),
                std::make_shared<spdlog::async_logger>(
                    "persimmonstair", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                    spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest));
}

std::size_t DroppedLines() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0 : pool->overrun_counter();
}

void StopLog() { spdlog::shutdown(); }

void Log(Level level, std::string_view event, const nlohmann::json& fields) {
  if (spdlog::default_logger_raw() == nullptr || !spdlog::should_log(ToSpdlog(level))) return;
  nlohmann::json line = fields;
  line["event"] = event;
  std::string text;
  {
    const std::lock_guard lock(State().mutex);
    line["instance"] = State().instance;
    text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    Redact(text);
  }
  // The pattern contains the outer braces, so those of `text` are left out.
  spdlog::default_logger_raw()->log(ToSpdlog(level),
                                    spdlog::string_view_t(text.data() + 1, text.size() - 2));
}

}  // namespace persimmonstair::diagnostics
