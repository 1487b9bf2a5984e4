#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FOLLOWER_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FOLLOWER_HPP_

#include <functional>
#include <memory>
#include <utility>

#include "persimmonstair/service_clients/concepts.hpp"

namespace persimmonstair::service_clients {

/// @brief Accepts an event, or returns false and leaves it unchanged if there is no space for it.
/// Ring::TryPush() has this contract.
using EventSink = std::function<bool(scheduler::Event&&)>;

/// @brief Limits and delays of a LogFollower.
struct FollowerSettings {
  /// Largest number of records for one read.
  std::uint32_t max_entries = 1000;
  /// Longest wait of one long poll. Empty reads are delivered as well, because they show that the
  /// log is reachable.
  base::Duration wait = std::chrono::milliseconds(500);
  /// Pause after a failed read.
  base::Duration retry_delay = std::chrono::milliseconds(200);
  /// Pause before an event that the sink rejected is offered again.
  base::Duration redeliver_delay = std::chrono::milliseconds(5);
};

/// @brief Reads a stream continuously and delivers LogRead and LogReadFailed events in order.
/// Records are missing only if retention removed them. The next read starts once the sink has
/// accepted the event of the last one. Not thread-safe: call all functions on the thread on which
/// `client` and `executor` run their callbacks.
///
///     LogFollower follower{log, executor, sink, {"control"}, base::Offset{0}};
///     follower.Start();
template <LogReader Client, DelayedExecutor Executor>
class LogFollower {
 public:
  /// `client`, `executor` and everything that `sink` refers to must outlive the last callback of
  /// the follower.
  LogFollower(Client& client, Executor& executor, EventSink sink, base::StreamName stream,
              base::Offset from, FollowerSettings settings = {})
      : state_(std::make_shared<State>(
            State{client, executor, std::move(sink), std::move(stream), from, settings})) {}
  ~LogFollower() { Stop(); }
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  /// Starts the first read. Call it once; it has no effect after Stop().
  void Start() { ReadNext(state_); }
  /// No event is delivered after this call.
  void Stop() { state_->stopped = true; }
  /// Offset after the last record whose event the sink has accepted; the next read starts there.
  base::Offset NextOffset() const { return state_->next; }

 private:
  struct State {
    Client& client;
    Executor& executor;
    EventSink sink;
    base::StreamName stream;
    base::Offset next;
    FollowerSettings settings;
    bool stopped = false;
  };
  using StatePtr = std::shared_ptr<State>;

  static void ReadNext(const StatePtr& state) {
    if (state->stopped) return;
    ReadRequest read{state->stream, state->next, state->settings.max_entries, state->settings.wait};
    state->client.Read(read, [state](base::Result<scheduler::LogRead> result) {
      if (result) {
        const base::Offset next = result->next;
        Deliver(state, scheduler::Event{std::move(*result)}, next, {});
      } else {
        Deliver(state, scheduler::Event{scheduler::LogReadFailed{state->stream}}, state->next,
                state->settings.retry_delay);
      }
    });
  }

  static void Deliver(const StatePtr& state, scheduler::Event event, base::Offset next,
                      base::Duration pause) {
    if (state->stopped) return;
    if (!state->sink(std::move(event))) {
      // A sink leaves an event that it rejects unchanged.
      auto rejected =
          std::make_shared<scheduler::Event>(std::move(event));  // NOLINT(bugprone-use-after-move)
      state->executor.RunAfter(state->settings.redeliver_delay, [state, rejected, next, pause] {
        Deliver(state, std::move(*rejected), next, pause);
      });
      return;
    }
    state->next = next;
    if (pause.count() == 0) return ReadNext(state);
    state->executor.RunAfter(pause, [state] { ReadNext(state); });
  }

  StatePtr state_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FOLLOWER_HPP_
