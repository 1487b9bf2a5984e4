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

/// @brief The metrics of /metrics. Thread-safe. docs/operators/metrics.md lists their names.
class Metrics {
 public:
  Metrics();

  /// Counts an answer to a caller of this instance and its latency. Empty labels become "none".
  void CountAnswer(const std::string& workspace, const std::string& entry_class,
                   std::uint32_t status, base::Duration latency);
  /// Counts the end of an attempt. `result` is "done" or the kind of failure.
  void CountAttempt(const std::string& result);
  /// Counts a request that was refused because the event ring was full.
  void CountRingFull();
  /// Sets a gauge, which is created on its first use.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// Returns all metrics in the text format of Prometheus.
  std::string Text() const;

 private:
  /// Metrics of one workspace and entry class.
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
