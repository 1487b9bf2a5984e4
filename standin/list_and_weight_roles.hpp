#ifndef PERSIMMONSTAIR_STANDIN_LIST_AND_WEIGHT_ROLES_HPP_
#define PERSIMMONSTAIR_STANDIN_LIST_AND_WEIGHT_ROLES_HPP_

#include <string>

#include "standin/lagged.hpp"
#include "standin/role.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::standin {

/// @brief The list of instances and leaving targets. Instances read it with GET; tests change it
/// with PUT and DELETE, to which faults do not apply.
class ListRole {
 public:
  explicit ListRole(ListSettings /*settings*/) : list_(EmptyList()) {}

  Task Handle(Exchange& exchange);
  bool IsControl(const Exchange& exchange) const { return exchange.method() != "GET"; }
  void OnFaultsChanged() {}
  void OnCrash() {}

  ListFaults faults;
  RequestLog requests{0};

 private:
  static Json EmptyList();
  Task HandleChange(Exchange& exchange);

  Lagged<Json> list_;
};

/// @brief The weight store, whose request rate a token bucket limits.
class WeightRole {
 public:
  explicit WeightRole(WeightSettings settings)
      : settings_(settings), tokens_(settings.burst), refilled_at_(Clock::now()) {}

  Task Handle(Exchange& exchange);
  bool IsControl(const Exchange& /*exchange*/) const { return false; }
  void OnFaultsChanged() {}
  void OnCrash() {}

  WeightFaults faults;
  RequestLog requests{1000};

 private:
  WeightSettings settings_;
  /// Tokens left in the bucket at refilled_at_.
  double tokens_;
  Clock::time_point refilled_at_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_LIST_AND_WEIGHT_ROLES_HPP_
