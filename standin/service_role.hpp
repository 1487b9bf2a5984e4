#ifndef PERSIMMONSTAIR_STANDIN_SERVICE_ROLE_HPP_
#define PERSIMMONSTAIR_STANDIN_SERVICE_ROLE_HPP_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "standin/role.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::standin {

/// @brief A plain service that counts how often each request was executed.
class ServiceRole {
 public:
  ServiceRole(ServiceSettings settings, ProcessControl process);

  Task Handle(Exchange& exchange);
  bool IsControl(const Exchange& exchange) const { return exchange.path() == "/executions"; }
  void OnFaultsChanged();
  void OnCrash() {}

  ServiceFaults faults;
  RequestLog requests;

 private:
  struct Execution {
    std::string path;
    std::uint64_t count = 0;
    bool idempotent = false;
  };

  Task HandleExecutions(Exchange& exchange);
  Task HandleCall(Exchange& exchange);
  Json Execute(const Exchange& exchange);
  bool IsIdempotent(const std::string& path) const;

  ServiceSettings settings_;
  ProcessControl process_;
  std::uint64_t executed_ = 0;
  std::uint64_t in_progress_ = 0;
  /// Keyed by method, path and ExecutionKey(). Requests without a key are only counted in
  /// executed_.
  std::unordered_map<std::string, Execution> executions_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_SERVICE_ROLE_HPP_
