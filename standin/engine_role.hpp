#ifndef PERSIMMONSTAIR_STANDIN_ENGINE_ROLE_HPP_
#define PERSIMMONSTAIR_STANDIN_ENGINE_ROLE_HPP_

#include <cstdint>
#include <set>
#include <string>

#include "standin/chat.hpp"
#include "standin/lagged.hpp"
#include "standin/prefix_cache.hpp"
#include "standin/role.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::standin {

/// @brief A model engine that prefills one prompt at a time in order of arrival, decodes all
/// admitted requests concurrently, and caches the prefix of each program.
class EngineRole {
 public:
  EngineRole(EngineSettings settings, ProcessControl process);

  Task Handle(Exchange& exchange);
  bool IsControl(const Exchange& exchange) const { return exchange.path() == "/v1/stats"; }
  void OnFaultsChanged();
  void OnCrash();

  EngineFaults faults;
  RequestLog requests;

 private:
  /// Values of the load report, GET /v1/load.
  struct Load {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t used_tokens = 0;
    bool leaving = false;
  };

  Task HandleChat(Exchange& exchange);
  /// Applies the faults that refuse the request, hang or crash the engine. If one applies, the
  /// exchange has a response or is no longer usable afterwards.
  Task ApplyChatFaults(Exchange& exchange);
  Task RunCompletion(Exchange& exchange, const ChatRequest& chat);
  /// Waits until the prompts that arrived earlier and this one are prefilled.
  Task Prefill(Exchange& exchange, std::int64_t tokens);
  Task Decode(Exchange& exchange, std::int64_t tokens);
  Task Stream(Exchange& exchange, const ChatRequest& chat, const std::string& text,
              const ChatUsage& usage);
  /// Stops writing in the middle of a stream: hangs if `silent`, else closes the connection.
  Task InjectStreamFault(Exchange& exchange, bool silent);
  Task HandleLoad(Exchange& exchange);
  Task HandleProgram(Exchange& exchange);
  Task HandleHeldPrograms(Exchange& exchange);
  Task HandleOrder(Exchange& exchange);
  Task HandleStats(Exchange& exchange);
  bool Serves(const std::string& model) const;
  /// Time that `seconds` of the modelled engine take at the configured speed.
  std::chrono::microseconds Scaled(double seconds) const;
  void PublishLoad();

  EngineSettings settings_;
  ProcessControl process_;
  std::set<std::string> models_;
  PrefixCache cache_;
  std::int64_t running_ = 0;
  std::int64_t waiting_ = 0;
  /// Time at which the last queued prefill ends.
  Clock::time_point prefill_free_at_;
  Lagged<Load> load_;
  /// Highest fencing number of the orders accepted so far.
  std::uint64_t highest_fencing_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t prefilled_tokens_ = 0;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t decoded_tokens_ = 0;
  /// Number of crashes. A request that waited compares it with the count at its start, so that a
  /// request from before a crash does not change the state after it.
  std::uint64_t crash_count_ = 0;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_ENGINE_ROLE_HPP_
