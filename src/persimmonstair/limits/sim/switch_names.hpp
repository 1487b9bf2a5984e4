#ifndef PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_

#include <optional>
#include <string_view>
#include <vector>

#include "sim/plan.hpp"

namespace persimmonstair::limits::sim {

/// Names of the mechanisms that can be turned off.
std::vector<std::string_view> SwitchNames();

/// @brief Switches that turn off the named mechanism. An empty name leaves all mechanisms on; an
/// unknown name returns nothing.
std::optional<Switches> SwitchesFor(std::string_view name);

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_
