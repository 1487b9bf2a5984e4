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

/// @brief Counters, histograms and gauges for Prometheus, served as /metrics. Thread-safe.
/// docs/operators/metrics.md lists their names.
class Metrics {
 public:
  Metrics();

  /// Counts an answer to a caller of this instance and adds its latency to a histogram, both
  /// labelled with workspace and class. Empty labels become "none"; from a fixed number of label
  /// pairs on, further pairs are counted under "other".
  void CountAnswer(const std::string& workspace, const std::string& entry_class,
                   std::uint32_t status, base::Duration latency);
  /// Counts the end of an attempt. `result` is "done" or a
  /// scheduler::FailureKind in lower case, for example "connect_refused".
  void CountAttempt(const std::string& result);
  /// Counts a connection that a target reset while it ran a request, by what became of the target:
  /// "crashed" or "running".
  void CountTargetReset(const std::string& result);
  /// Counts a call to the record store by its kind and result, for example "append" and "refused".
  void CountStoreCall(const std::string& call, const std::string& result);
  /// Counts bytes of keys and values that calls of a kind read from streams of a kind.
  void CountStoreBytes(const std::string& call, const std::string& stream, std::size_t bytes);
  /// Counts a check whether a target takes requests, by its result: "serves", "refuses" or
  /// "unanswered".
  void CountTargetCheck(const std::string& result);
  /// Counts an attempt that takes up the stream of a kept turn: the events before it are "known" or
  /// "unknown", or a later attempt has "overtaken" it.
  void CountTakeUp(const std::string& result);
  /// Counts a token of a target's rate by its result ("granted" or "refused") and by who decided:
  /// the rate's "coordinator", this instance from its "own_part", or "none" for a cold target.
  void CountTargetToken(const std::string& result, const std::string& source);
  /// Counts a program that was refused because of the load of a service.
  void CountProgramRefused(const std::string& service, std::uint32_t priority);
  /// Counts targets that were "ejected" because they failed more than others, or "returned".
  void CountEjection(const std::string& change);
  /// Counts datagrams about the health of targets, "sent" or "received".
  void CountHealthNotice(const std::string& direction, std::size_t datagrams);
  /// Counts a message that asked another instance for new records of the store, by its result, for
  /// example "answered".
  void CountFeedAsk(const std::string& result);
  /// Counts a request or connection of a client that was refused before it was read, by its reason,
  /// for example "no_room".
  void CountClientRefusal(const std::string& reason);
  /// Counts a request that was refused because half of the event queue was in use.
  void CountRingFull();
  /// Sets the gauge of the load of a service that decides on the admission of programs.
  void SetServiceLoad(const std::string& service, double load);
  /// Sets a gauge. The first call with a name creates it; later calls ignore `help`.
  void SetGauge(const std::string& name, const std::string& help, double value);

  /// Returns all metrics in the text format of Prometheus.
  std::string Text() const;

 private:
  /// Metrics of one workspace and entry class.
  struct Series {
    std::string workspace;
    std::string entry_class;
    prometheus::Histogram* latency = nullptr;
    std::map<std::uint32_t, prometheus::Counter*> by_status;
  };

  Series& FindOrAddSeries(const std::string& workspace, const std::string& entry_class);

  mutable std::mutex mutex_;
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& answers_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& target_resets_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Counter>& store_bytes_;
  prometheus::Family<prometheus::Counter>& target_tokens_;
  prometheus::Family<prometheus::Counter>& target_checks_;
  prometheus::Family<prometheus::Counter>& take_ups_;
  prometheus::Family<prometheus::Counter>& feed_asks_;
  prometheus::Family<prometheus::Counter>& programs_refused_;
  prometheus::Family<prometheus::Gauge>& service_load_;
  prometheus::Family<prometheus::Counter>& ejections_;
  prometheus::Family<prometheus::Counter>& health_notices_;
  prometheus::Family<prometheus::Counter>& client_refusals_;
  prometheus::Counter& ring_full_;
  std::map<std::pair<std::string, std::string>, Series> series_;
  std::map<std::string, prometheus::Counter*> by_result_;
  std::map<std::pair<std::string, std::string>, prometheus::Counter*> by_store_call_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace persimmonstair::diagnostics

#endif  // PERSIMMONSTAIR_DIAGNOSTICS_METRICS_HPP_
