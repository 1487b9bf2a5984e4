#include "estimate.hpp"

#include <algorithm>

namespace persimmonstair::routing {
namespace {

// A full batch decodes this much slower than a single request, because prefills of the other
// requests come between decode steps.
constexpr double kBatchSlowdown = 0.5;

double Slots(const Target& target) { return std::max<std::uint32_t>(1, target.entry.slots); }

double DecodeSeconds(const Request& request, const Target& target) {
  const double tokens = static_cast<double>(request.spec.expected_completion_tokens);
  return tokens / std::max(1.0, target.entry.decode_tokens_per_s);
}

}  // namespace

double UncachedTokens(const Request& request, const Target& target) {
  const bool holder =
      !request.spec.last_target.empty() && request.spec.last_target == target.entry.id;
  const std::int64_t cached = holder ? request.spec.held_tokens : 0;
  return static_cast<double>(std::max<std::int64_t>(0, request.spec.prompt_tokens - cached));
}

double PrefillSeconds(const Request& request, const Target& target) {
  if (!request.request_class->engine) return 0;
  return UncachedTokens(request, target) / std::max(1.0, target.entry.prefill_tokens_per_s);
}

double ServiceSeconds(const Request& request, const Target& target) {
  if (!request.request_class->engine) return request.request_class->mean_service_s;
  const double load = std::min(1.0, TargetTable::Occupied(target) / Slots(target));
  return target.prefill_backlog_s + PrefillSeconds(request, target) +
         DecodeSeconds(request, target) * (1 + kBatchSlowdown * load);
}

double DelayToOthersSeconds(const Request& request, const Target& target) {
  const double others = std::min(Slots(target), static_cast<double>(TargetTable::Occupied(target)));
  return PrefillSeconds(request, target) * others;
}

double SlotWaitSeconds(const Request& request, const Target& target) {
  return request.request_class->mean_service_s / Slots(target);
}

double ChargeSeconds(const Request& request, const Target& target) {
  if (!request.request_class->engine) return request.request_class->mean_service_s / Slots(target);
  return PrefillSeconds(request, target) + DecodeSeconds(request, target) / Slots(target);
}

double MeasuredSeconds(const Target& target, const AttemptFinished& event) {
  const double prefilled =
      static_cast<double>(std::max<std::int64_t>(0, event.prompt_tokens - event.cached_tokens));
  const double generated = static_cast<double>(std::max<std::int64_t>(0, event.completion_tokens));
  return prefilled / std::max(1.0, target.entry.prefill_tokens_per_s) +
         generated / std::max(1.0, target.entry.decode_tokens_per_s) / Slots(target);
}

}  // namespace persimmonstair::routing
