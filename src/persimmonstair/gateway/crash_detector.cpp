#include "crash_detector.hpp"

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {

boost::asio::awaitable<void> CrashDetector::OnReset(std::string request, std::uint64_t fingerprint,
                                                    dispatch::TargetEntry target) {
  const bool crashed = co_await connector_.HasEnded(target);
  metrics_.CountTargetReset(crashed ? "crashed" : "running");
  diagnostics::Log(diagnostics::Level::kInfo, "target_reset",
                   {{"request", request},
                    {"target", target.id.value},
                    {"fingerprint", fingerprint},
                    {"crashed", crashed}});
  if (crashed) records_.Report(UnixMillis(), fingerprint, target.id);
}

}  // namespace persimmonstair::gateway
