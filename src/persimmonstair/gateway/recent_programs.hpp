#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RECENT_PROGRAMS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RECENT_PROGRAMS_HPP_

#include <unordered_map>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"
#include "persimmonstair/quota/admission_queue.hpp"

namespace persimmonstair::gateway {

/// @brief Programs that had a request admitted at this instance recently.
class RecentPrograms {
 public:
  void OnAdmitted(base::TimePoint now, const base::ProgramId& program) {
    if (program.empty()) return;
    last_admitted_[program] = now;
  }

  /// Returns whether a call begins a program. It does not if the call is not a turn (a tool call),
  /// if its turn continues another one, if it takes up a stream, or if this instance admitted the
  /// program recently.
  quota::ProgramStage Stage(base::TimePoint now, const Route& route,
                            const RequestMetadata& call) const {
    const bool turn = route.retry == RetryClass::kStream;
    const bool continues = !call.previous_turn.empty() || !call.last_event.empty();
    if (!turn || continues) return quota::ProgramStage::kUnderWay;
    const auto it = last_admitted_.find(call.program);
    const bool known = it != last_admitted_.end() && now - it->second < kMaxIdleTime;
    return known ? quota::ProgramStage::kUnderWay : quota::ProgramStage::kBegins;
  }

  void Expire(base::TimePoint now) {
    std::erase_if(last_admitted_,
                  [now](const auto& one) { return now - one.second >= kMaxIdleTime; });
  }

 private:
  /// Longer than the pause of a program between two requests.
  static constexpr std::chrono::seconds kMaxIdleTime{30};

  std::unordered_map<base::ProgramId, base::TimePoint> last_admitted_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RECENT_PROGRAMS_HPP_
