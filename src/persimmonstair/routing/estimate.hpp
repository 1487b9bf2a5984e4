#ifndef PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_

#include "model.hpp"
#include "persimmonstair/routing/settings.hpp"
#include "target_table.hpp"

namespace persimmonstair::routing {

/// Number of prompt tokens that the target has to prefill because they are not in its cache.
double UncachedTokens(const Request& request, const Target& target);

/// Seconds that the prefill takes at an otherwise idle engine; 0 for a service.
double PrefillSeconds(const Request& request, const Target& target);

/// Estimated seconds from dispatch to the end of the response at the target's current load.
double ServiceSeconds(const Request& request, const Target& target);

/// Seconds by which the request's prefill delays the other requests in the batch, summed over these
/// requests. A batch decodes no tokens while a prompt is prefilled.
double DelayToOthersSeconds(const Request& request, const Target& target);

/// Estimated seconds until a slot of a full target becomes free.
double SlotWaitSeconds(const Request& request, const Target& target);

/// Estimated engine seconds that the request uses and that other requests cannot use.
double ChargeSeconds(const Request& request, const Target& target);

/// Engine seconds of a finished attempt, computed from its token counts.
double MeasuredSeconds(const Target& target, const AttemptFinished& event);

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_
