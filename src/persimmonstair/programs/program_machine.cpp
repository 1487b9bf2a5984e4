#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "machines.hpp"

namespace persimmonstair::programs {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct StartOpening {};
struct StartClaiming {};
struct Received {};
struct OpenRead {};
struct TakenOver {};
struct Loaded {};
struct Collected {};
struct HandOver {};
struct End {};
struct Lost {};

struct New : msm::front::state<> {};
struct Opening : msm::front::state<> {};
struct Claiming : msm::front::state<> {};
struct Loading : msm::front::state<> {};
struct Collecting : msm::front::state<> {};
struct Active : msm::front::state<> {};
struct HandingOver : msm::front::state<> {};
struct Ending : msm::front::state<> {};
struct Gone : msm::front::state<> {};

struct ProgramFront : msm::front::state_machine_def<ProgramFront> {
  using initial_state = New;
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <class Source, class Event, class Target>
  using Row = msm::front::Row<Source, Event, Target, none, none>;

  // Boost.MSM numbers the states in the order of the first column. New is 0, so the number of each
  // other state is its ProgramPhase plus one.
  struct transition_table  // NOLINT(readability-identifier-naming): name required by Boost.MSM
      : boost::mpl::vector<Row<New, StartOpening, Opening>, Row<New, StartClaiming, Claiming>,
                           Row<New, Received, Active>, Row<Opening, OpenRead, Active>,
                           Row<Opening, Lost, Gone>, Row<Claiming, TakenOver, Loading>,
                           Row<Claiming, Lost, Gone>, Row<Loading, Loaded, Collecting>,
                           Row<Loading, Lost, Gone>, Row<Collecting, Collected, Active>,
                           Row<Collecting, Lost, Gone>, Row<Active, HandOver, HandingOver>,
                           Row<Active, End, Ending>, Row<Active, Lost, Gone>,
                           Row<HandingOver, Lost, Gone>, Row<Ending, Lost, Gone>> {};

  template <class Fsm, class Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

using ProgramBack = msm::back::state_machine<ProgramFront>;

}  // namespace

struct ProgramMachine::Impl {
  ProgramBack back;
};

ProgramMachine::ProgramMachine(ProgramPhase start) : impl_(std::make_unique<Impl>()) {
  impl_->back.start();
  if (start == ProgramPhase::kOpening) impl_->back.process_event(StartOpening{});
  if (start == ProgramPhase::kClaiming) impl_->back.process_event(StartClaiming{});
  if (start == ProgramPhase::kActive) impl_->back.process_event(Received{});
}
ProgramMachine::ProgramMachine(ProgramMachine&&) noexcept = default;
ProgramMachine& ProgramMachine::operator=(ProgramMachine&&) noexcept = default;
ProgramMachine::~ProgramMachine() = default;

bool ProgramMachine::Process(ProgramInput input) {
  const auto process = [this](const auto& event) {
    return impl_->back.process_event(event) == msm::back::HANDLED_TRUE;
  };
  switch (input) {
    case ProgramInput::kOpened:
      return process(OpenRead{});
    case ProgramInput::kTakenOver:
      return process(TakenOver{});
    case ProgramInput::kLoaded:
      return process(Loaded{});
    case ProgramInput::kCollected:
      return process(Collected{});
    case ProgramInput::kHandOver:
      return process(HandOver{});
    case ProgramInput::kEnd:
      return process(End{});
    case ProgramInput::kLost:
      return process(Lost{});
  }
  return false;
}

ProgramPhase ProgramMachine::Phase() const {
  return static_cast<ProgramPhase>(impl_->back.current_state()[0] - 1);
}

}  // namespace persimmonstair::programs
