#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "persimmonstair/membership/registry.hpp"

namespace persimmonstair::membership {
namespace {

using nlohmann::json;

json ToJson(const Member& member) {
  return {
      {"data_centre", member.data_centre},     {"incarnation", member.incarnation},
      {"registered_at", member.registered_at}, {"sequence", member.sequence},
      {"renewed_at", member.renewed_at},       {"confirmed_at", member.confirmed_at},
      {"lease_us", member.lease.count()},      {"floors_version", member.floors_version},
      {"end", static_cast<int>(member.end)},   {"earlier_lease_us", member.earlier_lease.count()}};
}

Member MemberFrom(const json& value) {
  Member member;
  value.at("data_centre").get_to(member.data_centre);
  value.at("incarnation").get_to(member.incarnation);
  value.at("registered_at").get_to(member.registered_at);
  value.at("sequence").get_to(member.sequence);
  value.at("renewed_at").get_to(member.renewed_at);
  value.at("confirmed_at").get_to(member.confirmed_at);
  member.lease = base::Duration{value.at("lease_us").get<std::int64_t>()};
  value.at("floors_version").get_to(member.floors_version);
  const int end = value.at("end").get<int>();
  if (end < 0 || end > static_cast<int>(LifetimeEnd::kReclaimed)) {
    throw json::other_error::create(501, "unknown value of 'end'", nullptr);
  }
  member.end = static_cast<LifetimeEnd>(end);
  member.earlier_lease = base::Duration{value.at("earlier_lease_us").get<std::int64_t>()};
  return member;
}

json ToJson(const NamedLeaseState& lease_state) {
  return {{"holder", lease_state.holder},
          {"incarnation", lease_state.incarnation},
          {"last", lease_state.last},
          {"fencing", lease_state.fencing},
          {"duration_us", lease_state.duration.count()}};
}

NamedLeaseState NamedLeaseFrom(const json& value) {
  NamedLeaseState lease_state;
  value.at("holder").get_to(lease_state.holder);
  value.at("incarnation").get_to(lease_state.incarnation);
  value.at("last").get_to(lease_state.last);
  value.at("fencing").get_to(lease_state.fencing);
  lease_state.duration = base::Duration{value.at("duration_us").get<std::int64_t>()};
  return lease_state;
}

}  // namespace

std::string Registry::Snapshot() const {
  json members = json::object();
  for (const auto& [id, member] : members_) members[id.value] = ToJson(member);
  json leases = json::object();
  for (const auto& [name, lease_state] : leases_) leases[name] = ToJson(lease_state);
  json seen = json::object();
  for (const auto& [id, records] : share_record_ids_) seen[id.value] = records;
  return json{{"next", next_}, {"members", members}, {"leases", leases}, {"seen", seen}}.dump();
}

base::Result<Registry> Registry::Restore(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  Registry out;
  try {
    value.at("next").get_to(out.next_);
    if (out.next_.value > 0) out.at_ = base::Offset{out.next_.value - 1};
    for (const auto& [id, member] : value.at("members").items()) {
      out.members_[base::InstanceId{id}] = MemberFrom(member);
    }
    for (const auto& [name, lease_state] : value.at("leases").items())
      out.leases_[name] = NamedLeaseFrom(lease_state);
    for (const auto& [id, records] : value.at("seen").items()) {
      records.get_to(out.share_record_ids_[base::InstanceId{id}]);
    }
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      std::string("invalid registry snapshot: ") + error.what());
  }
  return out;
}

}  // namespace persimmonstair::membership
