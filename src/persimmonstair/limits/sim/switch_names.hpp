#ifndef PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_
#define PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_

#include <optional>
#include <string_view>
#include <vector>

#include "sim/plan.hpp"

namespace persimmonstair::limits::sim {

/// Names of the mechanisms that can be switched off.
std::vector<std::string_view> SwitchNames();

/// @brief Switches with one mechanism off; all on for an empty name, nothing for an unknown one.
std::optional<Switches> SwitchesFor(std::string_view name);

}  // namespace persimmonstair::limits::sim

#endif  // PERSIMMONSTAIR_LIMITS_SIM_SWITCH_NAMES_HPP_
