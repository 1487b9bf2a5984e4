#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "machines.hpp"

namespace persimmonstair::programs {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct Dispatched {};
struct Finished {};
struct NotRun {};
struct Recorded {};

struct Queued : msm::front::state<> {};
struct Running : msm::front::state<> {};
struct Pending : msm::front::state<> {};
struct Done : msm::front::state<> {};

struct TurnFront : msm::front::state_machine_def<TurnFront> {
  using initial_state = Queued;
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <class Source, class Event, class Target>
  using Row = msm::front::Row<Source, Event, Target, none, none>;

  // Boost.MSM numbers the states in the order of the first column, which is that of TurnPhase.
  struct transition_table  // NOLINT(readability-identifier-naming): name required by Boost.MSM
      : boost::mpl::vector<Row<Queued, Dispatched, Running>, Row<Queued, NotRun, Done>,
                           Row<Running, Finished, Pending>, Row<Running, NotRun, Done>,
                           Row<Pending, Recorded, Done>> {};

  template <class Fsm, class Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

using TurnBack = msm::back::state_machine<TurnFront>;

}  // namespace

struct TurnMachine::Impl {
  TurnBack back;
};

TurnMachine::TurnMachine() : impl_(std::make_unique<Impl>()) { impl_->back.start(); }
TurnMachine::TurnMachine(TurnMachine&&) noexcept = default;
TurnMachine& TurnMachine::operator=(TurnMachine&&) noexcept = default;
TurnMachine::~TurnMachine() = default;

bool TurnMachine::Process(TurnInput input) {
  const auto process = [this](const auto& event) {
    return impl_->back.process_event(event) == msm::back::HANDLED_TRUE;
  };
  switch (input) {
    case TurnInput::kDispatched:
      return process(Dispatched{});
    case TurnInput::kFinished:
      return process(Finished{});
    case TurnInput::kNotRun:
      return process(NotRun{});
    case TurnInput::kRecorded:
      return process(Recorded{});
  }
  return false;
}

TurnPhase TurnMachine::Phase() const {
  return static_cast<TurnPhase>(impl_->back.current_state()[0]);
}

}  // namespace persimmonstair::programs
