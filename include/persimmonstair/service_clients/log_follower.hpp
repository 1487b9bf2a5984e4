#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FOLLOWER_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FOLLOWER_HPP_

#include <functional>
#include <memory>
#include <utility>

#include "persimmonstair/service_clients/concepts.hpp"

namespace persimmonstair::service_clients {

/// @brief Takes an event, or returns false and leaves it unchanged if there is no room now.
/// Ring::TryPush() behaves like this.
using EventSink = std::function<bool(scheduler::Event&&)>;

struct FollowerSettings {
  std::uint32_t max_entries = 1000;
  /// Longest wait of one long poll. An empty read is delivered too: it shows that the log is up.
  base::Duration wait = std::chrono::milliseconds(500);
  /// Pause after a failed read.
  base::Duration retry_delay = std::chrono::milliseconds(200);
  /// Pause before an event that found no room is offered again.
  base::Duration redeliver_delay = std::chrono::milliseconds(5);
};

/// @brief Reads a stream for ever and delivers LogRead and LogReadFailed in order, without gaps
/// other than those of retention. The next read begins when the last one was taken.
///
///     LogFollower follower{log, executor, sink, {"control"}, base::Offset{0}};
///     follower.Start();
template <LogReader Client, DelayedExecutor Executor>
class LogFollower {
 public:
  /// `client`, `executor` and what `sink` refers to outlive the follower's last callback.
  LogFollower(Client& client, Executor& executor, EventSink sink, base::StreamName stream,
              base::Offset from, FollowerSettings settings = {})
      : state_(std::make_shared<State>(
            State{client, executor, std::move(sink), std::move(stream), from, settings})) {}
  ~LogFollower() { Stop(); }
  LogFollower(const LogFollower&) = delete;
  LogFollower& operator=(const LogFollower&) = delete;

  void Start() { ReadNext(state_); }
  /// Delivers nothing any more.
  void Stop() { state_->stopped = true; }
  /// Offset of the next read.
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
      // The sink's contract leaves a refused event unchanged.
      auto kept =
          std::make_shared<scheduler::Event>(std::move(event));  // NOLINT(bugprone-use-after-move)
      state->executor.RunAfter(state->settings.redeliver_delay, [state, kept, next, pause] {
        Deliver(state, std::move(*kept), next, pause);
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
