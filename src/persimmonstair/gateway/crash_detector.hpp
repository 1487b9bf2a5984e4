#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CRASH_DETECTOR_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CRASH_DETECTOR_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

#include "crash_records.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "target_connector.hpp"

namespace persimmonstair::gateway {

/// @brief Finds out whether a target that reset the connection of a request has crashed.
///
/// A reset alone shows only that the answer is lost. A target that has crashed takes no new
/// connection, so one is opened before the crash is charged to the request.
class CrashDetector {
 public:
  CrashDetector(TargetConnector& connector, CrashRecords& records, diagnostics::Metrics& metrics)
      : connector_(connector), records_(records), metrics_(metrics) {}

  /// Reports a crash if the target has ended. `request` is the request's id, for the log.
  boost::asio::awaitable<void> OnReset(std::string request, std::uint64_t fingerprint,
                                       dispatch::TargetEntry target);

 private:
  TargetConnector& connector_;
  CrashRecords& records_;
  diagnostics::Metrics& metrics_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CRASH_DETECTOR_HPP_
