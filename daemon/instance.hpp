#ifndef PERSIMMONSTAIR_DAEMON_INSTANCE_HPP_
#define PERSIMMONSTAIR_DAEMON_INSTANCE_HPP_

#include <chrono>
#include <concepts>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "instance_runtime.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::daemon {

/// @brief Interface of scheduler::Scheduler, so that tests can use a substitute.
template <class T>
concept SchedulerLike = requires(T scheduler, const base::Now& now, scheduler::Event event) {
  { scheduler.Handle(now, std::move(event)) } -> std::same_as<std::vector<scheduler::Action>>;
  { scheduler.status(now) } -> std::same_as<scheduler::Status>;
};

/// Interval between Tick events. scheduler::Tick requires at most 100 ms.
inline constexpr std::chrono::milliseconds kTickInterval{50};

/// Returns the current monotonic and wall-clock times.
inline base::Now ReadClocks() {
  const auto micros = [](auto time) {
    return std::chrono::duration_cast<base::Duration>(time.time_since_epoch());
  };
  return {base::TimePoint(micros(std::chrono::steady_clock::now())),
          base::WallTime(micros(std::chrono::system_clock::now()))};
}

/// @brief Runs one instance: the scheduler on a thread of its own, and the InstanceRuntime that
/// passes events to it and executes its actions.
///
///     auto instance = Instance<scheduler::Scheduler>::Start(options, platform, scheduler);
///     return (*instance)->Run();
template <SchedulerLike S>
class Instance {
 public:
  /// Starts the platform thread, the servers and the scheduler thread. Returns the first error, for
  /// example of a listener whose port is in use.
  static base::Result<std::unique_ptr<Instance>> Start(InstanceOptions options,
                                                       const PlatformStarter& platform,
                                                       S scheduler) {
    auto runtime = InstanceRuntime::Start(std::move(options), platform);
    if (!runtime) return tl::make_unexpected(runtime.error());
    return std::unique_ptr<Instance>(new Instance(std::move(*runtime), std::move(scheduler)));
  }
  ~Instance() { JoinAndShutDown(); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// The first call begins a planned stop; a second call ends the instance at once. Thread-safe.
  void RequestStop() { runtime_->RequestStop(); }

  /// Waits until the instance has ended (planned stop completed or timed out, second stop request,
  /// or another process registered under its id), shuts it down and returns the exit code of the
  /// process: kExitStopped, kExitForced or kExitSuperseded.
  int Run() {
    const ExitReason exit_reason = runtime_->WaitForEnd();
    JoinAndShutDown();
    switch (exit_reason) {
      case ExitReason::kStopped:
        return kExitStopped;
      case ExitReason::kSuperseded:
        return kExitSuperseded;
      default:
        return kExitForced;
    }
  }

  InstanceRuntime& runtime() { return *runtime_; }

 private:
  Instance(std::unique_ptr<InstanceRuntime> runtime, S scheduler)
      : runtime_(std::move(runtime)),
        scheduler_(std::move(scheduler)),
        thread_([this] { RunEventLoop(); }) {}

  // Body of the scheduler thread. The time is checked after each event, so that a long batch of
  // events does not delay Tick events.
  void RunEventLoop() {
    auto next_tick = std::chrono::steady_clock::now();
    while (!runtime_->ended() && !end_event_loop_) {
      const auto now = std::chrono::steady_clock::now();
      const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(next_tick - now);
      for (auto& event : runtime_->events().PopAll(std::max(wait, std::chrono::microseconds{0}))) {
        Handle(std::move(event));
        TickIfDue(next_tick);
      }
      TickIfDue(next_tick);
    }
  }

  // Sends a Tick event and updates the status if `next_tick` has passed.
  void TickIfDue(std::chrono::steady_clock::time_point& next_tick) {
    const auto now = std::chrono::steady_clock::now();
    if (now < next_tick) return;
    next_tick = now + kTickInterval;
    Handle(scheduler::Tick{});
    runtime_->SetStatus(scheduler_.status(ReadClocks()));
  }

  void Handle(scheduler::Event event) {
    for (auto& action : scheduler_.Handle(ReadClocks(), std::move(event))) {
      runtime_->Execute(std::move(action));
    }
  }

  void JoinAndShutDown() {
    end_event_loop_ = true;
    if (thread_.joinable()) thread_.join();
    runtime_->Shutdown();
  }

  std::unique_ptr<InstanceRuntime> runtime_;
  S scheduler_;
  std::atomic<bool> end_event_loop_{false};
  std::thread thread_;
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_INSTANCE_HPP_
