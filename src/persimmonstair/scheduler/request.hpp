#ifndef PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_
#define PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_

#include <optional>
#include <string>

#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/programs/program_actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::scheduler {

/// @brief Processing stage of a request.
enum class RequestStage {
  kRateLimit,  // queued for the workspace's rate limit
  kForwarded,  // sent to another instance, which handles it
  kProgram,    // the program store processes it
  kEffect,     // the effect coordinator processes it
  kRouting,    // in the router's queue or running at a target
  kCatalogue,  // waits until its catalogue change is read from the log
};

/// @brief State of a request from its arrival to its reply.
struct Request {
  CallerRequest call;
  base::WorkspaceId workspace;
  /// Empty for a request without a key on an open route.
  base::KeyId key;
  std::string entry_class;
  RequestStage stage = RequestStage::kRateLimit;
  base::TimePoint deadline;
  /// Instance that forwarded the request here; empty if the caller is connected to this instance.
  base::InstanceId origin;
  /// Id of the request at `origin`.
  base::RequestId origin_request;
  /// Instance to which the request was forwarded; empty if this instance handles it.
  base::InstanceId handler;
  /// Turn to run, once the program store has released it for dispatch.
  std::optional<programs::RunTurn> turn;
  /// Whether a service call may run more than once; set from its route.
  bool idempotent = true;
  /// Most recent attempt.
  base::AttemptId attempt;
  /// At least one attempt was started.
  bool dispatched = false;
  /// The caller may have received the beginning of a streamed response.
  bool stream_begun = false;
  /// The caller has disconnected or already got a reply.
  bool needs_no_reply = false;
  /// Combined verdict of all attempts so far.
  base::Verdict verdict = base::Verdict::kNotRun;
};

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_REQUEST_HPP_
