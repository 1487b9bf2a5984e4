#ifndef PERSIMMONSTAIR_BENCH_POLICY_ENGINE_HPP_
#define PERSIMMONSTAIR_BENCH_POLICY_ENGINE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "events.hpp"
#include "workload.hpp"

namespace persimmonstair::bench {

/// @brief One request at a simulated engine or service.
struct Job {
  int program = 0;
  int prompt_tokens = 0;
  int completion_tokens = 0;
  double service_s = 0;
  std::function<void()> on_first_byte;
  std::function<void(const Job&)> on_done;
  /// The next three members are set by the engine.
  int cached_tokens = 0;
  int prefill_left = 0;
  int decode_left = 0;
};

/// @brief Simulates a model engine with continuous batching. Each step decodes one token for every
/// request whose prompt is prefilled, and prefills a chunk of the other prompts, oldest first. The
/// KV cache keeps the prefixes of programs and evicts the least recently used ones when it is full.
class Engine {
 public:
  Engine(EventQueue& events, const Deployment& deployment)
      : events_(events), deployment_(deployment) {}

  void Submit(Job job);
  int running() const { return static_cast<int>(batch_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  /// Engine time that the requests admitted to the batch need, if the batch is full.
  double work_s() const { return work_s_; }

 private:
  /// Cached prefix of one program.
  struct Prefix {
    int tokens = 0;
    /// Requests in the batch that use the prefix, which therefore must not be evicted.
    int running_requests = 0;
    std::list<int>::iterator lru_entry;
  };

  /// Moves waiting requests into the batch while slots and cache space suffice.
  void AdmitWaiting();
  /// Evicts unused prefixes until `tokens` more fit. True if they fit or the batch is empty.
  bool TryFreeTokens(int tokens);
  void Step();
  void EndStep();
  void FinishJob(Job job);

  EventQueue& events_;
  const Deployment& deployment_;
  std::deque<Job> waiting_;
  std::list<Job> batch_;
  bool stepping_ = false;
  double work_s_ = 0;
  /// Tokens of cached prefixes and of running requests.
  int used_tokens_ = 0;
  std::unordered_map<int, Prefix> prefixes_;
  /// Programs with a cached prefix, least recently used first.
  std::list<int> lru_programs_;
};

/// @brief Simulates a plain service with a number of slots and a first-in-first-out queue.
class Service {
 public:
  Service(EventQueue& events, int slots) : events_(events), slots_(slots) {}

  void Submit(Job job);
  int running() const { return running_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }

 private:
  void Start(Job job);

  EventQueue& events_;
  int slots_;
  int running_ = 0;
  std::deque<Job> waiting_;
};

}  // namespace persimmonstair::bench

#endif  // PERSIMMONSTAIR_BENCH_POLICY_ENGINE_HPP_
