#ifndef PERSIMMONSTAIR_BASE_IDS_HPP_
#define PERSIMMONSTAIR_BASE_IDS_HPP_

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace persimmonstair::base {

/// @brief A textual identifier. The tag makes identifiers of different kinds distinct types.
///
///     WorkspaceId workspace{"north"};
template <class Tag>
struct StringId {
  std::string value;

  auto operator<=>(const StringId&) const = default;
  bool empty() const { return value.empty(); }
};

/// @brief A numeric identifier or counter. The tag makes different kinds distinct types.
///
///     Offset next{offset.value + 1};
template <class Tag>
struct NumberId {
  std::uint64_t value = 0;

  auto operator<=>(const NumberId&) const = default;
};

using WorkspaceId = StringId<struct WorkspaceTag>;
/// Identifies a program: consecutive turns of one agent that share a history.
using ProgramId = StringId<struct ProgramTag>;
using InstanceId = StringId<struct InstanceTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using TargetId = StringId<struct TargetTag>;
/// Name of an API key in the catalogue, never the key itself.
using KeyId = StringId<struct KeyTag>;
using RouteId = StringId<struct RouteTag>;
using ModelId = StringId<struct ModelTag>;
/// Identifies a group of targets that serve the same requests.
using ServiceId = StringId<struct ServiceTag>;
/// Version of the software that a target runs. Versions have no order.
using SoftwareVersion = StringId<struct SoftwareVersionTag>;
/// Identifies one turn of a program in the whole fleet; chosen by the caller.
using TurnId = StringId<struct TurnTag>;
/// Name of a log stream, for example "control".
using StreamName = StringId<struct StreamTag>;
/// Identifier of a log record, chosen by its writer and unique in the fleet.
using RecordId = StringId<struct RecordTag>;

/// Position of a record in its log stream.
using Offset = NumberId<struct OffsetTag>;
/// Offset of the record that made an instance the owner of a program.
using Epoch = NumberId<struct EpochTag>;
/// Identifies one process lifetime of an instance; later processes have higher numbers.
using Incarnation = NumberId<struct IncarnationTag>;
/// Identifies a caller's request within one instance.
using RequestId = NumberId<struct RequestTag>;
/// Identifies one dispatch of a request to a target, within one instance.
using AttemptId = NumberId<struct AttemptTag>;
/// Identifies one append call to the log, within one instance.
using AppendId = NumberId<struct AppendTag>;

template <class Tag>
void to_json(nlohmann::json& json, const StringId<Tag>& id) {
  json = id.value;
}
template <class Tag>
void from_json(const nlohmann::json& json, StringId<Tag>& id) {
  json.get_to(id.value);
}
template <class Tag>
void to_json(nlohmann::json& json, const NumberId<Tag>& id) {
  json = id.value;
}
template <class Tag>
void from_json(const nlohmann::json& json, NumberId<Tag>& id) {
  json.get_to(id.value);
}

}  // namespace persimmonstair::base

template <class Tag>
struct std::hash<persimmonstair::base::StringId<Tag>> {
  std::size_t operator()(const persimmonstair::base::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
template <class Tag>
struct std::hash<persimmonstair::base::NumberId<Tag>> {
  std::size_t operator()(const persimmonstair::base::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // PERSIMMONSTAIR_BASE_IDS_HPP_
