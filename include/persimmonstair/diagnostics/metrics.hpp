#ifndef PERSIMMONSTAIR_DIAGNOSTICS_METRICS_HPP_
#define PERSIMMONSTAIR_DIAGNOSTICS_METRICS_HPP_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::diagnostics {

/// @brief The figures of /metrics. Thread-safe. Names are listed in docs/operators/metrics.md.
class Metrics {
 public:
  Metrics();

  /// An answer to a caller of this instance. Empty labels become "none".
  void CountAnswer(const std::string& workspace, const std::string& entry_class,
                   std::uint32_t status, base::Duration latency);
  /// The end of an attempt: "done" or the kind of failure.
  void CountAttempt(const std::string& result);
  /// Requests refused because the ring was full.
  void CountRingFull();
  /// Sets a gauge, which is created at its first use.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// The text format of Prometheus.
  std::string Text() const;

 private:
  struct Series {
    prometheus::Histogram* latency = nullptr;
    std::map<std::uint32_t, prometheus::Counter*> by_status;
  };

  Series& FindOrAddSeries(const std::string& workspace, const std::string& entry_class);

  mutable std::mutex mutex_;
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Counter& ring_full_;
  std::map<std::pair<std::string, std::string>, Series> series_;
  std::map<std::string, prometheus::Counter*> by_result_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace persimmonstair::diagnostics

#endif  // PERSIMMONSTAIR_DIAGNOSTICS_METRICS_HPP_
