#include "sim/switch_names.hpp"

#include <array>
#include <utility>

namespace persimmonstair::limits::sim {
namespace {

// Sets the fault switch that turns one mechanism off.
using DisableMechanism = void (*)(Switches&);

// Names of the mechanisms, for tests and for the command line of the fuzz program, each with the
// function that turns the mechanism off. "floor" is the name of the reserved share outside the
// code.
constexpr std::array<std::pair<std::string_view, DisableMechanism>, 17> kSwitches = {{
    {"reclaim_sequence", [](Switches& s) { s.registry.ignore_sequence_of_reclaim = true; }},
    {"share_sequence", [](Switches& s) { s.registry.ignore_sequence_of_shares = true; }},
    {"record_ids", [](Switches& s) { s.registry.apply_repeated_ids = true; }},
    {"gap_detection", [](Switches& s) { s.lease_manager.no_pause_detection = true; }},
    {"start_wait", [](Switches& s) { s.lease_manager.no_start_wait = true; }},
    {"lease_from_send", [](Switches& s) { s.lease_manager.count_from_read_back = true; }},
    {"reclaim_wait", [](Switches& s) { s.lease_manager.reclaim_without_wait = true; }},
    {"reclaim_promise", [](Switches& s) { s.lease_manager.reclaim_despite_promise = true; }},
    {"consent_of_all", [](Switches& s) { s.lease_manager.consent_of_one_is_enough = true; }},
    {"lease_check", [](Switches& s) { s.limiter.no_lease_check = true; }},
    {"loan_once", [](Switches& s) { s.limiter.loan_used_twice = true; }},
    {"loan_expiry", [](Switches& s) { s.limiter.loan_never_expires = true; }},
    {"loan_capacity", [](Switches& s) { s.limiter.lent_tokens_free_capacity = true; }},
    {"decrease_first", [](Switches& s) { s.limiter.keep_share_while_moving = true; }},
    {"unknown_append", [](Switches& s) { s.limiter.restore_move_at_once = true; }},
    {"start_empty", [](Switches& s) { s.limiter.new_share_starts_full = true; }},
    {"floor_versions", [](Switches& s) { s.limiter.ignore_reserved_share_versions = true; }},
}};

}  // namespace

std::vector<std::string_view> SwitchNames() {
  std::vector<std::string_view> names;
  names.reserve(kSwitches.size());
  for (const auto& [name, set] : kSwitches) names.push_back(name);
  return names;
}

std::optional<Switches> SwitchesFor(std::string_view name) {
  Switches switches;
  if (name.empty()) return switches;
  for (const auto& [known, set] : kSwitches) {
    if (known != name) continue;
    set(switches);
    return switches;
  }
  return std::nullopt;
}

}  // namespace persimmonstair::limits::sim
