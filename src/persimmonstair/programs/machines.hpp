#ifndef PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_
#define PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_

#include <memory>

namespace persimmonstair::programs {

/// Where a program is in the life that one instance sees of it.
enum class ProgramPhase {
  kOpening,     // ProgramOpened is not read back yet
  kClaiming,    // OwnerRecord is not read back yet
  kLoading,     // reads the chain of records
  kCollecting,  // waits for peers' copies of turns that are not in the log
  kActive,
  kHandingOver,  // sent to another instance, not acknowledged
  kEnding,       // ProgramEnded is not read back yet
  kGone,         // ended, or owned by another instance
};

enum class ProgramInput {
  kOpened,
  kTakenOver,
  kLoaded,
  kCollected,
  kHandOver,
  kEnd,
  kLost,  // ended, acknowledged by the receiver, or lost to another owner
};

/// Where a turn is.
enum class TurnPhase {
  kQueued,   // waits for an engine
  kRunning,  // may have reached an engine
  kPending,  // has a result that is not in the log yet
  kDone,
};

enum class TurnInput { kDispatched, kFinished, kNotRun, kRecorded };

/// @brief Life cycle of a program at one instance; an input that is not allowed now is refused.
///
///     ProgramMachine life(ProgramPhase::kClaiming);
///     if (!life.Process(ProgramInput::kTakenOver)) return;
class ProgramMachine {
 public:
  /// Starts in kOpening, kClaiming or, for a received program, kActive.
  explicit ProgramMachine(ProgramPhase start);
  ProgramMachine(ProgramMachine&&) noexcept;
  ProgramMachine& operator=(ProgramMachine&&) noexcept;
  ~ProgramMachine();

  /// Returns false, leaving the phase unchanged, if the input is not allowed now.
  bool Process(ProgramInput input);
  ProgramPhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief Life cycle of a turn, from kQueued.
class TurnMachine {
 public:
  TurnMachine();
  TurnMachine(TurnMachine&&) noexcept;
  TurnMachine& operator=(TurnMachine&&) noexcept;
  ~TurnMachine();

  /// Returns false, leaving the phase unchanged, if the input is not allowed now.
  bool Process(TurnInput input);
  TurnPhase Phase() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_MACHINES_HPP_
