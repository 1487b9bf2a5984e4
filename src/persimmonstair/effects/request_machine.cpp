#include "request_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace persimmonstair::effects {
namespace {

namespace msm = boost::msm;
using msm::front::none;

struct ClaimWon {};
struct ClaimLost {};
struct Refused {};
struct Dispatched {};
struct Finished {};
struct FailedNotRun {};
struct RecordRead {};

struct Claiming : msm::front::state<> {};
struct Ready : msm::front::state<> {};
struct Running : msm::front::state<> {};
struct Recording : msm::front::state<> {};
struct Releasing : msm::front::state<> {};
struct Ended : msm::front::state<> {};

struct RequestFront : msm::front::state_machine_def<RequestFront> {
  using initial_state = Claiming;
  using no_message_queue = int;
  using no_exception_thrown = int;

  template <class Source, class Event, class Target>
  using Row = msm::front::Row<Source, Event, Target, none, none>;

  // Boost.MSM numbers the states in the order of the first column; State() relies on that order
  // being the one of RequestState.
  struct transition_table  // NOLINT(readability-identifier-naming): name required by Boost.MSM
      : boost::mpl::vector<Row<Claiming, ClaimWon, Ready>, Row<Claiming, ClaimLost, Ended>,
                           Row<Claiming, Refused, Ended>, Row<Ready, Dispatched, Running>,
                           Row<Ready, Refused, Releasing>, Row<Running, Finished, Recording>,
                           Row<Running, FailedNotRun, Releasing>, Row<Recording, RecordRead, Ended>,
                           Row<Releasing, RecordRead, Ended>> {};

  template <class Fsm, class Event>
  void no_transition(const Event& /*event*/, Fsm& /*fsm*/, int /*state*/) {}
};

using RequestBack = msm::back::state_machine<RequestFront>;

}  // namespace

struct RequestMachine::Machine {
  RequestBack back;
};

RequestMachine::RequestMachine() : machine_(std::make_unique<Machine>()) { machine_->back.start(); }
RequestMachine::RequestMachine(const RequestMachine& other)
    : machine_(std::make_unique<Machine>(*other.machine_)) {}
RequestMachine& RequestMachine::operator=(const RequestMachine& other) {
  if (this != &other) machine_ = std::make_unique<Machine>(*other.machine_);
  return *this;
}
RequestMachine::RequestMachine(RequestMachine&&) noexcept = default;
RequestMachine& RequestMachine::operator=(RequestMachine&&) noexcept = default;
RequestMachine::~RequestMachine() = default;

bool RequestMachine::Process(RequestInput input) {
  const auto process = [this](const auto& event) {
    return machine_->back.process_event(event) == msm::back::HANDLED_TRUE;
  };
  switch (input) {
    case RequestInput::kClaimWon:
      return process(ClaimWon{});
    case RequestInput::kClaimLost:
      return process(ClaimLost{});
    case RequestInput::kRefused:
      return process(Refused{});
    case RequestInput::kDispatched:
      return process(Dispatched{});
    case RequestInput::kFinished:
      return process(Finished{});
    case RequestInput::kFailedNotRun:
      return process(FailedNotRun{});
    case RequestInput::kRecordRead:
      return process(RecordRead{});
  }
  return false;
}

RequestState RequestMachine::State() const {
  return static_cast<RequestState>(machine_->back.current_state()[0]);
}

}  // namespace persimmonstair::effects
