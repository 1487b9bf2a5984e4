#ifndef PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_
#define PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_

#include <memory>

namespace persimmonstair::programs {

/// State of a program at one instance.
enum class ProgramPhase {
  kOpening,     // ProgramOpened was not read back from the log yet
  kClaiming,    // OwnerRecord was not read back from the log yet
  kLoading,     // the history is read from the chain of records
  kCollecting,  // peers may still send copies of turns that are not in the log
  kActive,
  kHandingOver,  // sent to another instance that has not acknowledged it
  kEnding,       // ProgramEnded was not read back from the log yet
  kGone,         // ended, or owned by another instance
};

/// Events that change the state of a program.
enum class ProgramInput {
  kOpened,
  kTakenOver,
  kLoaded,
  kCollected,
  kHandOver,
  kEnd,
  kLost,  // ended, received by another instance, or taken over by one
};

/// State of a turn.
enum class TurnPhase {
  kQueued,   // waits for an engine
  kRunning,  // may have reached an engine
  kPending,  // has a result that is not in the log yet
  kDone,
};

/// Events that change the state of a turn.
enum class TurnInput { kDispatched, kFinished, kNotRun, kRecorded };

/// @brief State machine for the life cycle of a program at one instance.
///
///     ProgramMachine lifecycle(ProgramPhase::kClaiming);
///     if (!lifecycle.Process(ProgramInput::kTakenOver)) return;
class ProgramMachine {
 public:
  /// Starts in kOpening, kClaiming or, for a received program, kActive.
  explicit ProgramMachine(ProgramPhase start);
  ProgramMachine(ProgramMachine&&) noexcept;
  ProgramMachine& operator=(ProgramMachine&&) noexcept;
  ~ProgramMachine();

  /// Returns false and keeps the phase if the input is not allowed in this phase.
  bool Process(ProgramInput input);
  ProgramPhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief State machine for the life cycle of a turn, which starts in kQueued.
class TurnMachine {
 public:
  TurnMachine();
  TurnMachine(TurnMachine&&) noexcept;
  TurnMachine& operator=(TurnMachine&&) noexcept;
  ~TurnMachine();

  /// Returns false and keeps the phase if the input is not allowed in this phase.
  bool Process(TurnInput input);
  TurnPhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_
