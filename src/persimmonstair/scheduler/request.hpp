#ifndef PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_
#define PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_

#include <optional>
#include <string>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/programs/program_actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::scheduler {

/// @brief Where a request is on its way.
enum class RequestStage {
  kRateLimit,  // waits for tokens
  kForwarded,  // another instance handles it
  kProgram,    // the program store decides
  kEffect,     // the effect coordinator decides
  kRouting,    // queued or running at a target
  kCatalogue,  // waits for its change in the log
};

/// @brief A caller's request until its reply.
struct Request {
  CallerRequest call;
  base::WorkspaceId workspace;
  /// Empty on open routes.
  base::KeyId key;
  std::string entry_class;
  RequestStage stage = RequestStage::kRateLimit;
  base::TimePoint deadline;
  /// Instance that sent the request on; empty for a caller of our own.
  base::InstanceId origin;
  base::RequestId origin_request;
  /// Instance that handles it, when it was sent on.
  base::InstanceId handler;
  /// The turn that the program store gave out.
  std::optional<programs::RunTurn> turn;
  /// Idempotent or not; decided by the route.
  bool idempotent = true;
  /// The last attempt of the request.
  base::AttemptId attempt;
  bool dispatched = false;
  bool stream_begun = false;
  /// Nobody waits for the reply any more.
  bool needs_no_reply = false;
  /// Verdict that was raised so far.
  base::Verdict verdict = base::Verdict::kNotRun;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_
