#ifndef PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_
#define PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_

#include "model.hpp"
#include "persimmonstair/routing/settings.hpp"
#include "target_table.hpp"

namespace persimmonstair::routing {

/// Tokens of the request's prompt that the target has to prefill.
double UncachedTokens(const Request& request, const Target& target);

/// Seconds of prefill at an otherwise idle target; 0 for a service.
double PrefillSeconds(const Request& request, const Target& target);

/// Seconds from dispatch to the end of the response, with the load the target has now.
double ServiceSeconds(const Request& request, const Target& target);

/// Seconds by which the request's prefill delays the others in the batch, summed over them: a batch
/// decodes nothing while a prompt is prefilled.
double DelayToOthersSeconds(const Request& request, const Target& target);

/// Seconds until a slot of a full target is free for one more request.
double SlotWaitSeconds(const Request& request, const Target& target);

/// Engine seconds that the request takes away from others.
double ChargeSeconds(const Request& request, const Target& target);

/// Engine seconds of a response with the stated token counts.
double MeasuredSeconds(const Target& target, const AttemptFinished& event);

}  // namespace persimmonstair::routing

#endif  // PERSIMMONSTAIR_SRC_ROUTING_ESTIMATE_HPP_
