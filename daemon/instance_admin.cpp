#include <nlohmann/json.hpp>

#include "instance_runtime.hpp"

namespace persimmonstair::daemon {
namespace {

// The scheduler thread reports each tick; a report older than this means that it hangs.
constexpr std::chrono::seconds kMaxStatusAge{5};

AdminResponse PlainText(unsigned status, const char* text) {
  return {status, "text/plain", std::string(text) + "\n"};
}

}  // namespace

AdminResponse InstanceRuntime::OnAdminRequest(const std::string& method, const std::string& path) {
  if (method == "POST" && path == "/admin/drain") {
    // A second call must not end the process: only a signal may do so.
    bool stopping = false;
    {
      const std::lock_guard lock(mutex_);
      stopping = stop_deadline_.has_value();
    }
    if (!stopping) RequestStop();
    return PlainText(202, "draining");
  }
  if (method != "GET") return PlainText(405, "method not allowed");
  if (path == "/metrics") return {200, "text/plain; version=0.0.4", MetricsText()};
  if (path == "/status") return {200, "application/json", StatusText()};
  const std::lock_guard lock(mutex_);
  const bool healthy = Clock::now() - status_updated_at_ < kMaxStatusAge;
  if (path == "/healthz") return healthy ? PlainText(200, "ok") : PlainText(503, "scheduler hangs");
  if (path == "/readyz") {
    const bool ready = healthy && status_.ready && !status_.stopping && !stop_deadline_;
    return ready ? PlainText(200, "ready") : PlainText(503, "not ready");
  }
  return PlainText(404, "not found");
}

std::string InstanceRuntime::StatusText() const {
  const std::lock_guard lock(mutex_);
  const bool leaving = status_.stopping || stop_deadline_.has_value();
  nlohmann::json live = nlohmann::json::array();
  for (const auto& instance : status_.live) live.push_back(instance.value);
  return nlohmann::json{
      {"instance", options_.settings.instance},
      {"data_centre", options_.settings.data_centre},
      {"state", leaving         ? "leaving"
                : status_.ready ? "live"
                                : "starting"},
      {"catalogue_version", status_.catalogue_version},
      {"incarnation", status_.incarnation},
      {"log_reachable", status_.log_reachable},
      {"live", std::move(live)},
      {"requests", status_.requests},
      {"queued", status_.queued},
      {"running", status_.running},
      {"programs", status_.programs_known},
      {"unsettled", status_.unsettled},
  }
      .dump();
}

std::string InstanceRuntime::MetricsText() {
  scheduler::Status status;
  {
    const std::lock_guard lock(mutex_);
    status = status_;
  }
  const auto set = [this](const char* name, const char* help, auto value) {
    metrics_.SetGauge(std::string("persimmonstair_") + name, help, static_cast<double>(value));
  };
  set("ready", "1 when the instance serves", status.ready ? 1 : 0);
  set("log_reachable", "1 when the log could be read lately", status.log_reachable ? 1 : 0);
  set("catalogue_version", "Catalogue version in effect", status.catalogue_version);
  set("live_instances", "Instances that this one takes for live", status.live.size());
  set("requests", "Requests the scheduler knows", status.requests);
  set("queued", "Requests that wait for a target", status.queued);
  set("running", "Attempts the scheduler counts as running", status.running);
  set("attempts_in_flight", "Attempts with a connection", targets_->InFlight());
  set("programs", "Programs this instance knows", status.programs_known);
  set("program_bytes", "Memory of program histories", status.program_bytes);
  set("unsettled", "Records that are not in the log yet", status.unsettled);
  set("records_skipped", "Log records that were not understood", status.records_skipped);
  set("appends", "Append calls since the start", status.appends);
  set("records_appended", "Records appended since the start", status.records_appended);
  set("forwarded", "Requests sent on to other instances", status.forwarded);
  set("rate_refusals", "Requests refused by a workspace's rate", status.rate_refusals);
  set("ring_used", "Events that wait for the scheduler thread", events_.size());
  set("ring_capacity", "Room for events", events_.capacity());
  set("caller_connections", "Open connections of callers", callers_->Connections());
  const auto peers = peers_->Stats();
  set("peer_frames_received", "Frames accepted from other instances", peers.received);
  set("peer_frames_forged", "Frames with a wrong authentication", peers.forged);
  set("peer_frames_replayed", "Frames seen before or too old", peers.replayed);
  set("peer_frames_malformed", "Authentic frames that cannot be read", peers.malformed);
  set("peer_frames_oversized", "Frames beyond the size limit", peers.oversized);
  set("peer_sent_bytes", "Bytes sent to other instances", peers.sent_bytes);
  return metrics_.Text();
}

}  // namespace persimmonstair::daemon
