#ifndef PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_
#define PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_

#include <memory>

namespace persimmonstair::effects {

/// State of one non-idempotent request.
enum class RequestState {
  kClaiming,   // the claim record was sent and has not been read back yet
  kReady,      // the claim is valid; the request waits for a target
  kRunning,    // the request may have reached a target
  kRecording,  // the outcome record has not been read back yet
  kReleasing,  // the release record has not been read back yet
  kEnded,
};

enum class RequestInput {
  kClaimWon,      // the request's claim record was read back and is valid
  kClaimLost,     // the request's claim record was read back and is not valid
  kRefused,       // the request must not be dispatched any more
  kDispatched,    // permission to dispatch was given
  kFinished,      // the target answered, or failed and may have run the request
  kFailedNotRun,  // the dispatch failed and the target has not run the request
  kRecordRead,    // the outcome or release record was read back
};

/// @brief State machine of one request. It rejects inputs that the current state does not allow, so
/// that no path leads from kRunning back to a state in which a dispatch is permitted.
///
///     RequestMachine machine;
///     if (machine.Process(RequestInput::kClaimWon)) ...
class RequestMachine {
 public:
  RequestMachine();
  RequestMachine(const RequestMachine& other);
  RequestMachine& operator=(const RequestMachine& other);
  RequestMachine(RequestMachine&&) noexcept;
  RequestMachine& operator=(RequestMachine&&) noexcept;
  ~RequestMachine();

  /// Returns false, leaving the state unchanged, if the state does not allow the input.
  bool Process(RequestInput input);
  RequestState State() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_
