#ifndef PERSIMMONSTAIR_BASE_IDS_HPP_
#define PERSIMMONSTAIR_BASE_IDS_HPP_

#include <compare>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace persimmonstair::base {

/// @brief A textual identifier whose tag keeps it apart from identifiers of other kinds.
///
///     WorkspaceId workspace{"north"};
template <class Tag>
struct StringId {
  std::string value;

  auto operator<=>(const StringId&) const = default;
  bool empty() const { return value.empty(); }
};

/// @brief A numeric identifier or counter whose tag keeps it apart from others.
///
///     Offset next{offset.value + 1};
template <class Tag>
struct NumberId {
  std::uint64_t value = 0;

  auto operator<=>(const NumberId&) const = default;
};

using WorkspaceId = StringId<struct WorkspaceTag>;
using ProgramId = StringId<struct ProgramTag>;
using InstanceId = StringId<struct InstanceTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using TargetId = StringId<struct TargetTag>;
using KeyId = StringId<struct KeyTag>;
using RouteId = StringId<struct RouteTag>;
using ModelId = StringId<struct ModelTag>;
using ServiceId = StringId<struct ServiceTag>;
/// Names one turn of a program over the whole fleet; the caller chooses it.
using TurnId = StringId<struct TurnTag>;
/// Name of a log stream, for example "control".
using StreamName = StringId<struct StreamTag>;
/// Writer-chosen identifier of a log record, unique over the fleet.
using RecordId = StringId<struct RecordTag>;

/// Position of a record in its log stream.
using Offset = NumberId<struct OffsetTag>;
/// Offset of the record that gave an instance the ownership of a program.
using Epoch = NumberId<struct EpochTag>;
/// Number of one process lifetime under an instance id; grows with each restart.
using Incarnation = NumberId<struct IncarnationTag>;
/// Identifies a caller's request inside one instance.
using RequestId = NumberId<struct RequestTag>;
/// Identifies one dispatch of a request to a target inside one instance.
using AttemptId = NumberId<struct AttemptTag>;
/// Identifies one append call to the log inside one instance.
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
