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

/// @brief What a role may ask of the process it stands for.
struct ProcessControl {
  /// Breaks all connections and listens again after the delay; must not be called from a coroutine
  /// that goes on to answer.
  std::function<void(std::chrono::milliseconds)> crash;
};

/// @brief A role: its faults, its requests, and how it answers.
template <class T>
concept Role = requires(T role, const T& constant, Exchange& exchange) {
  MergeFaults(role.faults, std::string());
  { role.requests } -> std::same_as<RequestLog&>;
  { role.Handle(exchange) } -> std::same_as<Task>;
  /// Requests of a test's own, to which faults do not apply.
  { constant.IsControl(exchange) } -> std::same_as<bool>;
  role.OnFaultsChanged();
  role.OnCrash();
};

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

template <Role R>
Task HandleRequestLog(R& role, Exchange& exchange) {
  if (exchange.method() == "DELETE") role.requests.Clear();
  co_await exchange.RespondJson(200, role.requests.ToJson(exchange.Query("contains")));
}

/// @brief Answers with an outage or a blocked connection, or leaves the exchange unanswered.
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

/// @brief Answers one request: control paths, then faults of every role, then the role.
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
    exchange.set_response_fault(ResponseFault::kLose);
  } else if (ConsumeFault(role.faults.truncate_answers)) {
    exchange.set_response_fault(ResponseFault::kTruncate);
  } else if (ConsumeFault(role.faults.oversize_answers)) {
    exchange.set_response_fault(ResponseFault::kOversize);
  }
  co_await role.Handle(exchange);
}

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_ROLE_HPP_
