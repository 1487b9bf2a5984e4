#ifndef PERSIMMONSTAIR_TURNS_STREAM_VERSIONS_HPP_
#define PERSIMMONSTAIR_TURNS_STREAM_VERSIONS_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/schema/state.hpp"

namespace persimmonstair::turns {

/// @brief Software versions of the targets at which streams began, computed from the records of one
/// partition of the store.
///
///     StreamVersions versions;
///     versions.Apply(begin);
///     if (auto version = versions.Find(workspace, program, attempt)) ContinueAt(*version);
class StreamVersions {
 public:
  /// Applies one record. If an attempt's id was used twice, with different versions, its version is
  /// unknown from then on.
  void Apply(const schema::StreamBegin& begin);

  /// Returns the version at which the attempt's stream began, if it is known. An attempt is known
  /// only by its own workspace and program.
  std::optional<base::SoftwareVersion> Find(const base::WorkspaceId& workspace,
                                            const base::ProgramId& program,
                                            const base::TurnId& attempt) const;

  /// Removes records that expired before `now_ms` (Unix milliseconds).
  void Expire(std::int64_t now_ms);

  std::size_t size() const { return begins_.size(); }

 private:
  struct Begin {
    /// Empty if two records contradict each other.
    std::optional<base::SoftwareVersion> version;
    std::int64_t expires_ms = 0;
  };
  using Key = std::tuple<base::WorkspaceId, base::ProgramId, base::TurnId>;

  std::map<Key, Begin> begins_;
};

}  // namespace persimmonstair::turns

#endif  // PERSIMMONSTAIR_TURNS_STREAM_VERSIONS_HPP_
