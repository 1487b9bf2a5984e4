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

/// @brief One request at an engine or a service.
struct Job {
  int program = 0;
  int prompt_tokens = 0;
  int completion_tokens = 0;
  double service_s = 0;
  std::function<void()> on_first_byte;
  std::function<void(const Job&)> on_done;
  /// Set by the engine.
  int cached_tokens = 0;
  int prefill_left = 0;
  int decode_left = 0;
};

/// @brief A model engine with continuous batching: each step decodes one token for each request
/// whose prompt is prefilled and prefills a chunk of the others' prompts, oldest first. Prefixes of
/// programs stay in the KV cache until they are the least recently used and room is needed.
class Engine {
 public:
  Engine(EventQueue& events, const Deployment& deployment)
      : events_(events), deployment_(deployment) {}

  void Submit(Job job);
  int running() const { return static_cast<int>(batch_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  /// Engine seconds of the admitted requests at a full batch.
  double work_s() const { return work_s_; }

 private:
  struct Prefix {
    int tokens = 0;
    int running_requests = 0;
    std::list<int>::iterator lru_entry;
  };

  void AdmitWaiting();
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

/// @brief A plain service: a number of slots and a first in first out queue.
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
