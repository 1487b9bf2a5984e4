#include "standin/service_role.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::standin {
namespace {

/// Key that identifies repeated executions of one request: the idempotency key, else the
/// correlation id.
std::string ExecutionKey(const Exchange& exchange) {
  const std::string key = exchange.Header("idempotency-key");
  return key.empty() ? exchange.Header("persimmonstair-correlation") : key;
}

}  // namespace

ServiceRole::ServiceRole(ServiceSettings settings, ProcessControl process)
    : requests(settings.recorded_requests),
      settings_(std::move(settings)),
      process_(std::move(process)) {}

void ServiceRole::OnFaultsChanged() {
  if (faults.die_ms == 0) return;
  process_.crash(std::chrono::milliseconds(std::exchange(faults.die_ms, 0)));
}

bool ServiceRole::IsIdempotent(const std::string& path) const {
  const auto& prefixes = settings_.idempotent_prefixes;
  return std::any_of(prefixes.begin(), prefixes.end(),
                     [&path](const std::string& prefix) { return path.starts_with(prefix); });
}

Task ServiceRole::Handle(Exchange& exchange) {
  if (exchange.path() == "/executions") {
    co_await HandleExecutions(exchange);
  } else if (exchange.path() == "/v1/load") {
    Json load;
    load["running"] = in_progress_;
    load["waiting"] = 0;
    load["cache_used_tokens"] = 0;
    load["cache_total_tokens"] = 0;
    load["leaving"] = faults.leaving;
    co_await exchange.RespondJson(200, load);
  } else {
    ++in_progress_;
    co_await HandleCall(exchange);
    --in_progress_;
  }
}

Task ServiceRole::HandleCall(Exchange& exchange) {
  if (ConsumeFault(faults.refuse)) {
    co_await exchange.RespondError(503, "unavailable", "refused", "not_run");
    co_return;
  }
  if (faults.leaving) {
    co_await exchange.RespondError(503, "leaving", "the target is leaving", "not_run");
    co_return;
  }
  if (ConsumeFault(faults.hang)) {
    co_await exchange.Hang();
    co_return;
  }
  const std::string& marker = faults.crash_marker;
  if (!marker.empty() && exchange.request().body().find(marker) != std::string::npos) {
    exchange.Abort();
    if (faults.restart_ms > 0) process_.crash(std::chrono::milliseconds(faults.restart_ms));
    co_return;
  }
  // The request executes on arrival, so it counts even if the caller disconnects during the delay.
  const Json answer = Execute(exchange);
  co_await exchange.Wait(std::chrono::milliseconds(settings_.delay_ms + faults.delay_ms));
  co_await exchange.RespondJson(200, answer);
}

Json ServiceRole::Execute(const Exchange& exchange) {
  ++executed_;
  std::uint64_t count = 1;
  const std::string key = ExecutionKey(exchange);
  if (!key.empty()) {
    Execution& execution = executions_[exchange.method() + " " + exchange.path() + " " + key];
    execution.path = exchange.path();
    execution.idempotent = IsIdempotent(exchange.path());
    count = ++execution.count;
  }
  Json answer;
  answer["path"] = exchange.path();
  answer["key"] = key;
  answer["execution"] = count;
  answer["received_bytes"] = exchange.request().body().size();
  if (settings_.padding_bytes > 0) answer["padding"] = std::string(settings_.padding_bytes, 'x');
  return answer;
}

Task ServiceRole::HandleExecutions(Exchange& exchange) {
  if (exchange.method() == "DELETE") {
    executions_.clear();
    executed_ = 0;
  }
  const bool repeated_only = exchange.Query("doubled") == "1";
  Json list = Json::object();
  for (const auto& [key, execution] : executions_) {
    if (repeated_only && (execution.count < 2 || execution.idempotent)) continue;
    list[key]["path"] = execution.path;
    list[key]["count"] = execution.count;
    list[key]["idempotent"] = execution.idempotent;
  }
  Json out;
  out["executed"] = executed_;
  out["executions"] = std::move(list);
  co_await exchange.RespondJson(200, out);
}

}  // namespace persimmonstair::standin
