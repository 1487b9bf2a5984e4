#include "persimmonstair/diagnostics/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace persimmonstair::diagnostics {
namespace {

// Further pairs of workspace and class share one series, so that a mistake in the catalogue cannot
// exhaust the memory. A fleet of the planned size has 340 workspaces.
constexpr std::size_t kMaxSeries = 1'024;

// Seconds, from the answer of a plain service to a long generation of tokens.
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120};

std::string LabelOrNone(const std::string& label) { return label.empty() ? "none" : label; }

}  // namespace

Metrics::Metrics()
    : answers_(prometheus::BuildCounter()
                   .Name("persimmonstair_answers_total")
                   .Help("Answers to callers of this instance")
                   .Register(registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("persimmonstair_request_seconds")
                   .Help("Time from a whole request to its reply")
                   .Register(registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("persimmonstair_attempts_total")
                    .Help("Dispatches to targets by result")
                    .Register(registry_)),
      target_resets_(prometheus::BuildCounter()
                         .Name("persimmonstair_target_resets_total")
                         .Help("Connections that targets reset during a request, by their state")
                         .Register(registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("persimmonstair_store_calls_total")
                       .Help("Calls to the record store by kind and result")
                       .Register(registry_)),
      store_bytes_(prometheus::BuildCounter()
                       .Name("persimmonstair_store_read_bytes_total")
                       .Help("Bytes of keys and values read from the record store by kind of call")
                       .Register(registry_)),
      target_tokens_(prometheus::BuildCounter()
                         .Name("persimmonstair_target_tokens_total")
                         .Help("Tokens of targets' rates by result and by who decided")
                         .Register(registry_)),
      target_checks_(prometheus::BuildCounter()
                         .Name("persimmonstair_target_checks_total")
                         .Help("Checks whether a target takes requests, by result")
                         .Register(registry_)),
      take_ups_(prometheus::BuildCounter()
                    .Name("persimmonstair_take_ups_total")
                    .Help("Attempts that take up the stream of a kept turn, by result")
                    .Register(registry_)),
      feed_asks_(prometheus::BuildCounter()
                     .Name("persimmonstair_feed_asks_total")
                     .Help("Messages that asked the collector for new records, by result")
                     .Register(registry_)),
      programs_refused_(prometheus::BuildCounter()
                            .Name("persimmonstair_programs_refused_total")
                            .Help("Programs refused because of the load of a service")
                            .Register(registry_)),
      service_load_(prometheus::BuildGauge()
                        .Name("persimmonstair_service_load")
                        .Help("Smoothed requests per slot of a service's targets")
                        .Register(registry_)),
      ejections_(prometheus::BuildCounter()
                     .Name("persimmonstair_target_ejections_total")
                     .Help("Targets that were ejected because they failed, or returned")
                     .Register(registry_)),
      health_notices_(prometheus::BuildCounter()
                          .Name("persimmonstair_target_health_notices_total")
                          .Help("Datagrams about the health of targets, by direction")
                          .Register(registry_)),
      client_refusals_(
          prometheus::BuildCounter()
              .Name("persimmonstair_client_refusals_total")
              .Help("Requests and connections of clients refused before they were read, by reason")
              .Register(registry_)),
      ring_full_(prometheus::BuildCounter()
                     .Name("persimmonstair_ring_full_total")
                     .Help("Requests refused because the event ring was full")
                     .Register(registry_)
                     .Add({})) {}

Metrics::Series& Metrics::FindOrAddSeries(const std::string& workspace,
                                          const std::string& entry_class) {
  std::pair<std::string, std::string> labels{LabelOrNone(workspace), LabelOrNone(entry_class)};
  if (series_.size() >= kMaxSeries && !series_.contains(labels)) labels = {"other", "other"};
  Series& series = series_[labels];
  if (series.latency == nullptr) {
    series.workspace = labels.first;
    series.entry_class = labels.second;
    series.latency =
        &latency_.Add({{"workspace", labels.first}, {"class", labels.second}}, kLatencyBounds);
  }
  return series;
}

void Metrics::CountAnswer(const std::string& workspace, const std::string& entry_class,
                          std::uint32_t status, base::Duration latency) {
  const std::lock_guard lock(mutex_);
  Series& series = FindOrAddSeries(workspace, entry_class);
  series.latency->Observe(base::ToSeconds(latency));
  auto& counter = series.by_status[status];
  if (counter == nullptr) {
    counter = &answers_.Add({{"workspace", series.workspace},
                             {"class", series.entry_class},
                             {"status", std::to_string(status)}});
  }
  counter->Increment();
}

void Metrics::CountAttempt(const std::string& result) {
  const std::lock_guard lock(mutex_);
  // Finding a counter by its labels in the family costs more than the rest of the accounting of an
  // attempt, so the counters of the few results are kept here.
  auto& counter = by_result_[result];
  if (counter == nullptr) counter = &attempts_.Add({{"result", result}});
  counter->Increment();
}

void Metrics::CountTargetReset(const std::string& result) {
  const std::lock_guard lock(mutex_);
  target_resets_.Add({{"result", result}}).Increment();
}

void Metrics::CountStoreCall(const std::string& call, const std::string& result) {
  const std::lock_guard lock(mutex_);
  auto& counter = by_store_call_[{call, result}];
  if (counter == nullptr) counter = &store_calls_.Add({{"call", call}, {"result", result}});
  counter->Increment();
}

void Metrics::CountStoreBytes(const std::string& call, const std::string& stream,
                              std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  store_bytes_.Add({{"call", call}, {"stream", stream}}).Increment(static_cast<double>(bytes));
}

void Metrics::CountTargetToken(const std::string& result, const std::string& source) {
  const std::lock_guard lock(mutex_);
  target_tokens_.Add({{"result", result}, {"source", source}}).Increment();
}

void Metrics::CountTargetCheck(const std::string& result) {
  const std::lock_guard lock(mutex_);
  target_checks_.Add({{"result", result}}).Increment();
}

void Metrics::CountTakeUp(const std::string& result) {
  const std::lock_guard lock(mutex_);
  take_ups_.Add({{"result", result}}).Increment();
}

void Metrics::CountFeedAsk(const std::string& result) {
  const std::lock_guard lock(mutex_);
  feed_asks_.Add({{"result", result}}).Increment();
}

void Metrics::CountProgramRefused(const std::string& service, std::uint32_t priority) {
  const std::lock_guard lock(mutex_);
  programs_refused_.Add({{"service", service}, {"priority", std::to_string(priority)}}).Increment();
}

void Metrics::SetServiceLoad(const std::string& service, double load) {
  const std::lock_guard lock(mutex_);
  service_load_.Add({{"service", service}}).Set(load);
}

void Metrics::CountEjection(const std::string& change) {
  const std::lock_guard lock(mutex_);
  ejections_.Add({{"change", change}}).Increment();
}

void Metrics::CountHealthNotice(const std::string& direction, std::size_t datagrams) {
  const std::lock_guard lock(mutex_);
  health_notices_.Add({{"direction", direction}}).Increment(static_cast<double>(datagrams));
}

void Metrics::CountClientRefusal(const std::string& reason) {
  const std::lock_guard lock(mutex_);
  client_refusals_.Add({{"reason", reason}}).Increment();
}

void Metrics::CountRingFull() { ring_full_.Increment(); }

void Metrics::SetGauge(const std::string& name, const std::string& help, double value) {
  const std::lock_guard lock(mutex_);
  auto& gauge = gauges_[name];
  if (gauge == nullptr) {
    gauge = &prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add({});
  }
  gauge->Set(value);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace persimmonstair::diagnostics
