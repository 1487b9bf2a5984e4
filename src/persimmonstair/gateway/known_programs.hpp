#ifndef PERSIMMONSTAIR_SRC_GATEWAY_KNOWN_PROGRAMS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_KNOWN_PROGRAMS_HPP_

#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "persimmonstair/quota/admission_queue.hpp"

namespace persimmonstair::gateway {

/// @brief Programs that had a request admitted at this instance lately.
class KnownPrograms {
 public:
  void Begin(base::TimePoint now, const base::ProgramId& program) {
    if (program.empty()) return;
    seen_[program] = now;
  }

  /// A program is under way if this instance knows it, if a turn continues another, or if one of
  /// its tools is called.
  quota::ProgramStage Stage(base::TimePoint now, const Route& route,
                            const RequestMetadata& call) const {
    const bool turn = route.repeat == Repeat::kStream;
    if (!turn || !call.previous_turn.empty()) return quota::ProgramStage::kUnderWay;
    const auto it = seen_.find(call.program);
    const bool known = it != seen_.end() && now - it->second < kForgetAfter;
    return known ? quota::ProgramStage::kUnderWay : quota::ProgramStage::kBegins;
  }

  void Expire(base::TimePoint now) {
    std::erase_if(seen_, [now](const auto& one) { return now - one.second >= kForgetAfter; });
  }

 private:
  /// Programs pause for less between two requests.
  static constexpr std::chrono::seconds kForgetAfter{30};

  std::unordered_map<base::ProgramId, base::TimePoint> seen_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_KNOWN_PROGRAMS_HPP_
