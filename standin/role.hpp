#ifndef PERSIMMONSTAIR_STANDIN_ROLE_HPP_
#define PERSIMMONSTAIR_STANDIN_ROLE_HPP_

#include <chrono>
#include <functional>
#include <string>

#include "standin/exchange.hpp"
#include "standin/faults.hpp"
#include "standin/request_log.hpp"

namespace persimmonstair::standin {

using Clock = std::chrono::steady_clock;

/// @brief Functions with which a role controls the process that it simulates.
struct ProcessControl {
  /// Closes all connections and listens again after the delay. Must not be called from a coroutine
  /// that responds afterwards.
  std::function<void(std::chrono::milliseconds)> crash;
};

/// @brief A simulated service: its faults, the requests it received, and its request handler.
template <class T>
concept Role = requires(T role, const T& constant, Exchange& exchange) {
  MergeFaults(role.faults, std::string());
  { role.requests } -> std::same_as<RequestLog&>;
  { role.Handle(exchange) } -> std::same_as<Task>;
  /// True for requests that a test sends to control or inspect the role. Faults do not apply to
  /// them.
  { constant.IsControl(exchange) } -> std::same_as<bool>;
  role.OnFaultsChanged();
  role.OnCrash();
};

/// @brief Handles /fault: reads, changes (PUT) or clears (DELETE) the faults.
template <Role R>
Task HandleFaults(R& role, Exchange& exchange) {
  if (exchange.method() == "GET") {
    co_await exchange.RespondJson(200, Json(role.faults));
    co_return;
  }
  if (exchange.method() == "DELETE") role.faults = {};
  if (exchange.method() == "PUT") {
    const auto merged = MergeFaults(role.faults, exchange.request().body());
    if (!merged) {
      co_await exchange.RespondError(400, "invalid_request", merged.error().message, "not_run");
      co_return;
    }
  }
  co_await exchange.RespondJson(200, Json(role.faults));
  role.OnFaultsChanged();
}

/// @brief Handles /requests: returns the recorded requests, after clearing them on DELETE.
template <Role R>
Task HandleRequestLog(R& role, Exchange& exchange) {
  if (exchange.method() == "DELETE") role.requests.Clear();
  co_await exchange.RespondJson(200, role.requests.ToJson(exchange.Query("contains")));
}

/// @brief Applies an outage or a blocked User-Agent. Without either, the exchange stays open for
/// the role's response.
inline Task ApplyOutage(CommonFaults& faults, Exchange& exchange) {
  const std::string agent = exchange.Header("User-Agent");
  const auto& blocked = faults.blocked_agents;
  if (std::find(blocked.begin(), blocked.end(), agent) != blocked.end() ||
      faults.outage == "close") {
    exchange.Abort();
  } else if (faults.outage == "hang") {
    co_await exchange.Hang();
  } else if (faults.outage == "refuse") {
    co_await exchange.RespondError(503, "unavailable", "outage", "not_run");
  }
}

/// @brief Handles one request: control paths first, then the faults common to all roles, then the
/// role itself.
template <Role R>
Task HandleExchange(R& role, Exchange& exchange) {
  if (exchange.path() == "/fault") {
    co_await HandleFaults(role, exchange);
    co_return;
  }
  if (exchange.path() == "/requests") {
    co_await HandleRequestLog(role, exchange);
    co_return;
  }
  if (role.IsControl(exchange)) {
    co_await role.Handle(exchange);
    co_return;
  }
  role.requests.Add(exchange.request());
  co_await ApplyOutage(role.faults, exchange);
  if (exchange.responded() || !exchange.usable()) co_return;
  co_await exchange.Wait(std::chrono::milliseconds(role.faults.slow_ms));
  if (ConsumeFault(role.faults.lose_answers)) {
    exchange.set_fault(ResponseFault::kLose);
  } else if (ConsumeFault(role.faults.truncate_answers)) {
    exchange.set_fault(ResponseFault::kTruncate);
  } else if (ConsumeFault(role.faults.oversize_answers)) {
    exchange.set_fault(ResponseFault::kOversize);
  }
  co_await role.Handle(exchange);
}

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_ROLE_HPP_
