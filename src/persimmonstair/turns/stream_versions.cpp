#include "persimmonstair/turns/stream_versions.hpp"

#include <algorithm>

namespace persimmonstair::turns {

void StreamVersions::Apply(const schema::StreamBegin& begin) {
  const auto [it, added] =
      begins_.try_emplace({begin.workspace, begin.program, begin.attempt}, Begin{begin.version, 0});
  Begin& known = it->second;
  known.expires_ms = std::max(known.expires_ms, begin.expires_ms);
  if (known.version != begin.version) known.version.reset();
}

std::optional<base::SoftwareVersion> StreamVersions::Find(const base::WorkspaceId& workspace,
                                                          const base::ProgramId& program,
                                                          const base::TurnId& attempt) const {
  const auto it = begins_.find({workspace, program, attempt});
  return it == begins_.end() ? std::nullopt : it->second.version;
}

void StreamVersions::Expire(std::int64_t now_ms) {
  std::erase_if(begins_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::turns
