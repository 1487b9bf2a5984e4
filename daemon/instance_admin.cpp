#include <nlohmann/json.hpp>

#include "instance_runtime.hpp"

namespace persimmonstair::daemon {
namespace {

// The scheduler thread updates the status on each Tick event; an older status means that it hangs.
constexpr std::chrono::seconds kMaxStatusAge{5};

AdminResponse PlainText(unsigned status, const char* text) {
  return {status, "text/plain", std::string(text) + "\n"};
}

}  // namespace

AdminResponse InstanceRuntime::OnAdminRequest(const std::string& method, const std::string& path) {
  if (method == "POST" && path == "/admin/drain") {
    // A second RequestStop() ends the process at once. Only a signal may cause that, so later calls
    // of /admin/drain do nothing.
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
  set("ready", "1 if the instance is ready to serve requests", status.ready ? 1 : 0);
  set("log_reachable", "1 if recent reads of the log succeeded", status.log_reachable ? 1 : 0);
  set("catalogue_version", "Catalogue version in effect", status.catalogue_version);
  set("live_instances", "Instances that this instance considers live", status.live.size());
  set("requests", "Requests that the scheduler tracks", status.requests);
  set("queued", "Requests queued for a target", status.queued);
  set("running", "Attempts that the scheduler counts as running", status.running);
  set("attempts_in_flight", "Attempts that the target client has not ended", targets_->InFlight());
  set("programs", "Programs known to this instance", status.programs_known);
  set("program_bytes", "Memory used by program histories in bytes", status.program_bytes);
  set("unsettled", "Records that are not in the log yet", status.unsettled);
  set("records_skipped", "Log records that were not understood", status.records_skipped);
  set("appends", "Append calls since the start", status.appends);
  set("records_appended", "Records appended since the start", status.records_appended);
  set("forwarded", "Requests forwarded to other instances", status.forwarded);
  set("rate_refusals", "Requests refused because of a workspace's rate limit",
      status.rate_refusals);
  set("ring_used", "Events queued for the scheduler thread", events_.size());
  set("ring_capacity", "Capacity of the event queue", events_.capacity());
  set("caller_connections", "Open connections from callers", callers_->Connections());
  const auto peers = peers_->Stats();
  set("peer_frames_received", "Frames accepted from other instances", peers.received);
  set("peer_frames_forged", "Frames that failed authentication", peers.forged);
  set("peer_frames_replayed", "Frames rejected as already seen or too old", peers.replayed);
  set("peer_frames_malformed", "Authenticated frames that could not be decoded", peers.malformed);
  set("peer_frames_oversized", "Frames that exceed the size limit", peers.oversized);
  set("peer_sent_bytes", "Bytes sent to other instances", peers.sent_bytes);
  return metrics_.Text();
}

}  // namespace persimmonstair::daemon
