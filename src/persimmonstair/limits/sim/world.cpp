#include "sim/world.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>
#include <variant>

#include "persimmonstair/schema/codec.hpp"
#include "sim/process.hpp"

namespace persimmonstair::limits::sim {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr base::Duration kTickPeriod = milliseconds{100};
constexpr base::Duration kHeartbeatPeriod = milliseconds{500};
// Size of the authentication, incarnation and sequence number of a message.
constexpr std::uint64_t kEnvelopeBytes = 48;
constexpr std::uint32_t kReservedPoolPpm = 200'000;

}  // namespace

World::World(Plan plan, Switches switches, Observer observer)
    : plan_(std::move(plan)),
      switches_(switches),
      observer_(std::move(observer)),
      now_(base::TimePoint{} + std::chrono::seconds{1}),
      random_(plan_.seed) {
  Config first{plan_.limits, 1, {}};
  for (std::size_t n = 0; n < plan_.instances; ++n) {
    first.reserved_shares[InstanceName(n)] = static_cast<std::uint32_t>(200'000 / plan_.instances);
  }
  configs_.push_back(std::move(first));
  exact_buckets_.resize(plan_.limits.size());
  exact_limits_.resize(plan_.limits.size());
  for (std::size_t n = 0; n < plan_.instances; ++n) Start(instances_++);
  for (const Fault& fault : plan_.faults) {
    After(fault.at, nullptr, [this, fault] { Apply(fault); });
  }
  for (std::size_t n = 0; n < plan_.limits.size(); ++n) ScheduleArrival(n);
}

World::~World() = default;

std::optional<std::string> World::Run() { return RunUntil(plan_.length); }

std::optional<std::string> World::RunUntil(base::Duration at) {
  const base::TimePoint end = base::TimePoint{} + std::chrono::seconds{1} + at;
  while (!violation_ && !events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    if (event.process) {
      if (!event.process->alive) continue;
      if (now_ < event.process->paused_until) {
        // After a pause, a process handles the waiting messages and timers in any order.
        event.at = event.process->paused_until + microseconds{RandomBetween(0, 20'000)};
        event.order = ++next_event_order_;
        events_.push(std::move(event));
        continue;
      }
    }
    event.run();
  }
  return violation_;
}

void World::At(base::TimePoint at, std::shared_ptr<Process> process, std::function<void()> run) {
  events_.push({std::max(at, now_), ++next_event_order_, std::move(process), std::move(run)});
}

void World::After(base::Duration delay, std::shared_ptr<Process> process,
                  std::function<void()> run) {
  At(now_ + delay, std::move(process), std::move(run));
}

double World::RandomUnit() { return static_cast<double>(random_() >> 11U) * 0x1p-53; }

std::int64_t World::RandomBetween(std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(high - low + 1));
}

void World::Start(std::size_t instance) {
  const std::string name = "p" + std::to_string(next_process_++);
  const base::DataCentreId data_centre{"dc" + std::to_string(instance % plan_.data_centres)};
  auto process = std::make_shared<Process>(instance, name, data_centre, switches_, random_());
  process->clock_offset = milliseconds{RandomBetween(0, 1'000'000)};
  process->reachable_for = milliseconds{RandomBetween(300, 3'000)};
  // If the log can't be read, the process starts with a snapshot from any process it can reach.
  if (!LogReachable(instance)) {
    for (const auto& other : processes_) {
      if (!other->alive || !CanReach(instance, other->instance)) continue;
      auto registry = membership::Registry::Restore(other->registry.Snapshot());
      if (registry) process->registry = std::move(*registry);
      if (!process->limiter.Restore(process->LocalTime(now_), other->limiter.Snapshot())) continue;
      break;
    }
  }
  processes_.push_back(process);
  AdoptConfig(*process);
  After(microseconds{RandomBetween(0, 100'000)}, process, [this, process] { Tick(process); });
  After(microseconds{RandomBetween(0, 500'000)}, process, [this, process] { Heartbeat(process); });
}

void World::Tick(const std::shared_ptr<Process>& process) {
  Process& p = *process;
  if (LogReachable(p.instance) && RandomUnit() < 0.3) AdoptConfig(p);
  Read(p);
  const bool reachable = now_ - p.last_read < p.reachable_for;
  const base::TimePoint local = p.LocalTime(now_);
  Perform(process, p.lease_manager.Tick(local, p.registry, reachable));
  p.limiter.SetLease(local, p.lease_manager.View());
  Perform(process, p.limiter.Tick(local, p.registry, reachable));
  Flush(process);
  if (p.lease_manager.Superseded() || p.lease_manager.Left()) {
    Stop(p);
    return;
  }
  After(kTickPeriod, process, [this, process] { Tick(process); });
  if (processes_.size() <= 64) CheckShares();
}

void World::Wake(const std::shared_ptr<Process>& process) {
  const auto next = process->limiter.NextDeadline();
  if (!next) return;
  const base::TimePoint at = std::max(now_ + microseconds{100}, *next - process->clock_offset);
  if (at >= process->wake_at) return;
  process->wake_at = at;
  At(at, process, [this, process] {
    process->wake_at = base::TimePoint::max();
    // Only queued requests are handled here; the log and the lease are handled in the regular tick.
    Perform(process, process->limiter.Tick(process->LocalTime(now_), process->registry, false));
  });
}

void World::Perform(const std::shared_ptr<Process>& process, LimiterOutput output) {
  for (auto& record : output.records) process->queue.push_back(std::move(record));
  Send(process, output.messages);
  for (const base::RequestId request : output.admitted) OnAdmitted(request.value);
  for (const Refusal& refusal : output.refused) OnRefused(refusal.request.value);
  Wake(process);
}

void World::Perform(const std::shared_ptr<Process>& process, membership::Output output) {
  for (auto& record : output.records) process->queue.push_back(std::move(record));
  Send(process, output.messages);
}

void World::Send(const std::shared_ptr<Process>& process,
                 std::vector<membership::OutgoingMessage>& messages) {
  for (auto& [to, message] : messages) {
    ++totals_.messages;
    if (count_bytes_) totals_.message_bytes += schema::EncodePeer(message).size() + kEnvelopeBytes;
    const std::size_t dest = NumberOf(to.value);
    bool delivered = false;
    for (const auto& receiver : processes_) {
      if (receiver->instance != dest || !receiver->alive) continue;
      if (!CanReach(process->instance, dest) || Happens(plan_.probabilities.lose_message)) continue;
      delivered = true;
      const int copies = Happens(plan_.probabilities.repeat_message) ? 2 : 1;
      for (int n = 0; n < copies; ++n) {
        const std::int64_t latency =
            plan_.peer_latency_us > 0 ? plan_.peer_latency_us : RandomBetween(200, 2'000);
        const std::int64_t late =
            Happens(plan_.probabilities.late_message) ? RandomBetween(0, 400'000) : 0;
        After(microseconds{latency + late}, receiver,
              [this, receiver, from = process->id, message = message,
               incarnation = process->lease_manager.View().incarnation] {
                Deliver(receiver, from, incarnation, message);
              });
      }
    }
    const auto* request = std::get_if<schema::TokenLoanRequest>(&message);
    if (delivered || request == nullptr || RandomUnit() < 0.5) continue;
    After(milliseconds{1}, process, [this, process, to = to, request = *request] {
      Perform(process, process->limiter.OnLoanRequestFailed(process->LocalTime(now_), to, request));
    });
  }
}

void World::Deliver(const std::shared_ptr<Process>& to, const base::InstanceId& from,
                    base::Incarnation incarnation, const schema::PeerMessage& message) {
  const base::TimePoint local = to->LocalTime(now_);
  if (const auto* ask = std::get_if<schema::TokenLoanRequest>(&message)) {
    Perform(to, to->limiter.OnLoanRequest(local, from, *ask));
  } else if (const auto* loan = std::get_if<schema::TokenLoan>(&message)) {
    Perform(to, to->limiter.OnLoan(local, from, *loan));
  } else if (const auto* consent = std::get_if<schema::LeaseConsentRequest>(&message)) {
    Perform(to,
            to->lease_manager.OnConsentRequest(local, from, incarnation, *consent, to->registry));
  } else if (const auto* answer = std::get_if<schema::LeaseConsent>(&message)) {
    to->lease_manager.OnConsent(local, from, incarnation, *answer, to->registry);
  }
  to->limiter.SetLease(local, to->lease_manager.View());
}

void World::Heartbeat(const std::shared_ptr<Process>& process) {
  const base::Incarnation incarnation = process->lease_manager.View().incarnation;
  for (const auto& to : processes_) {
    if (to == process || !to->alive || !CanReach(process->instance, to->instance)) continue;
    const bool same = to->instance == process->instance;
    if (!same && Happens(plan_.probabilities.lose_message)) continue;
    // In this model heartbeats only matter between processes of the same id. In large fleets the
    // others would cost too many events.
    if (!same && processes_.size() > 64) continue;
    After(microseconds{RandomBetween(200, 2'000)}, to, [this, to, process, incarnation] {
      const base::TimePoint local = to->LocalTime(now_);
      to->lease_manager.OnPeerSeen(process->id, incarnation);
      to->liveness.OnHeartbeat(local, process->id, incarnation, process->data_centre, false);
      to->limiter.SetLease(local, to->lease_manager.View());
    });
  }
  After(kHeartbeatPeriod, process, [this, process] { Heartbeat(process); });
}

void World::ScheduleArrival(std::size_t workspace) {
  const double rate = configs_.back().limits[workspace].rate_per_s * plan_.load;
  const double wait = rate <= 0 ? 1 : -std::log(1 - RandomUnit()) / rate;
  After(microseconds{static_cast<std::int64_t>(wait * 1e6) + 1}, nullptr, [this, workspace] {
    Arrive(workspace);
    ScheduleArrival(workspace);
  });
}

void World::Arrive(std::size_t workspace) {
  std::size_t instance =
      static_cast<std::size_t>(RandomBetween(0, static_cast<std::int64_t>(instances_) - 1));
  if (RandomUnit() < plan_.skew) {
    const std::int64_t turn =
        plan_.skew_period.count() == 0 ? 0 : now_.time_since_epoch() / plan_.skew_period;
    instance = (workspace + static_cast<std::size_t>(turn)) % instances_;
  }
  const std::shared_ptr<Process> process = PickRunning(instance);
  if (!process) return;
  const std::uint64_t request = ++next_request_;
  ++totals_.arrivals;
  undecided_requests_[request] = {workspace, process};
  At(now_, process, [this, process, workspace, request] {
    if (observer_.arrived) observer_.arrived(now_, workspace, request, process->instance);
    AdmitResult result = process->limiter.Admit(process->LocalTime(now_), WorkspaceName(workspace),
                                                base::RequestId{request});
    if (result.admission.decision == Decision::kAdmitted) OnAdmitted(request);
    if (result.admission.decision == Decision::kRefused) OnRefused(request);
    Perform(process, std::move(result.output));
  });
}

void World::OnAdmitted(std::uint64_t request) {
  const auto it = undecided_requests_.find(request);
  if (it == undecided_requests_.end()) {
    violation_ = "request was admitted or refused twice";
    return;
  }
  const std::size_t workspace = it->second.workspace;
  const auto process = it->second.process;
  undecided_requests_.erase(it);
  ++totals_.admitted;
  if (observer_.admitted) observer_.admitted(now_, workspace, request);
  if (exact_buckets_[workspace].Take(now_)) return;
  std::ostringstream out;
  out << "workspace w" << workspace << " exceeded its limits at "
      << base::ToMillis(now_.time_since_epoch()) - 1'000 << " ms on " << process->id.value
      << ": level of the exact bucket is " << exact_buckets_[workspace].Level();
  violation_ = std::move(out).str();
}

void World::OnRefused(std::uint64_t request) {
  const auto it = undecided_requests_.find(request);
  if (it == undecided_requests_.end()) {
    violation_ = "request was admitted or refused twice";
    return;
  }
  ++totals_.refused;
  if (observer_.refused) observer_.refused(now_, it->second.workspace, request);
  undecided_requests_.erase(it);
}

LimiterCounters World::Counters() const {
  LimiterCounters sum;
  for (const auto& process : processes_) {
    const LimiterCounters& part = process->limiter.Counters();
    sum.admitted += part.admitted;
    sum.admitted_with_loan += part.admitted_with_loan;
    sum.refused += part.refused;
    sum.loan_requests += part.loan_requests;
    sum.loans_given += part.loans_given;
    sum.loans_unused += part.loans_unused;
    sum.moves += part.moves;
    sum.moves_invalid += part.moves_invalid;
  }
  return sum;
}

std::size_t World::RunningProcesses() const {
  return static_cast<std::size_t>(
      std::count_if(processes_.begin(), processes_.end(), [](const auto& p) { return p->alive; }));
}

SharesInUse World::Shares(std::size_t workspace) const {
  SharesInUse sum;
  for (const auto& p : processes_) {
    if (!p->alive || now_ < p->paused_until) continue;
    const SharesInUse part = p->limiter.Shares(p->LocalTime(now_), WorkspaceName(workspace));
    sum.reserved_ppm += part.reserved_ppm;
    sum.leased_ppm += part.leased_ppm;
  }
  return sum;
}

// Stricter than the exact bucket, which detects a share in use by two instances only when the
// workspace runs out of tokens.
void World::CheckShares() {
  for (std::size_t n = 0; n < plan_.limits.size(); ++n) {
    const SharesInUse sum = Shares(n);
    if (sum.reserved_ppm <= kReservedPoolPpm && sum.leased_ppm <= kLeasedSharesPpm) continue;
    std::ostringstream out;
    out << "shares of workspace w" << n << " in use by two instances at "
        << base::ToMillis(now_.time_since_epoch()) - 1'000 << " ms: reserved " << sum.reserved_ppm
        << ", leased " << sum.leased_ppm;
    violation_ = std::move(out).str();
  }
}

std::uint64_t World::PausesDetected() const {
  std::uint64_t sum = 0;
  for (const auto& p : processes_) sum += p->lease_manager.PausesDetected();
  return sum;
}

}  // namespace persimmonstair::limits::sim
