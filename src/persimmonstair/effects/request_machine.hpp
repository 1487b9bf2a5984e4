#ifndef PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_
#define PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_

#include <memory>

namespace persimmonstair::effects {

/// Where one non-idempotent request is.
enum class RequestState {
  kClaiming,   // the claim record was sent and not read yet
  kReady,      // the claim is valid; waits for a target
  kRunning,    // may have reached a target
  kRecording,  // the outcome record is not in the log yet
  kReleasing,  // the release record is not in the log yet
  kEnded,
};

enum class RequestInput {
  kClaimWon,
  kClaimLost,
  kRefused,       // not to be dispatched any more
  kDispatched,    // permission to dispatch was given
  kFinished,      // the target answered, or may have run the request
  kFailedNotRun,  // the dispatch certainly had no effect
  kRecordRead,    // the outcome or release was read back
};

/// @brief The life of one request. An input that the state doesn't allow is refused, so that no
/// path leads from kRunning back to a state in which a dispatch is permitted.
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

  /// Returns false, leaving the state unchanged, if the input is not allowed now.
  bool Process(RequestInput input);
  RequestState State() const;

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace persimmonstair::effects

#endif  // PERSIMMONSTAIR_EFFECTS_REQUEST_MACHINE_HPP_
