#include "engine.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::bench {
namespace {

// Prompt tokens that one step prefills in addition to decoding.
constexpr int kPrefillChunkTokens = 512;

}  // namespace

void Engine::Submit(Job job) {
  waiting_.push_back(std::move(job));
  if (!stepping_) Step();
}

bool Engine::TryFreeTokens(int tokens) {
  auto it = lru_programs_.begin();
  while (used_tokens_ + tokens > deployment_.cache_tokens && it != lru_programs_.end()) {
    const auto prefix = prefixes_.find(*it);
    if (prefix->second.running_requests > 0) {
      ++it;
      continue;
    }
    used_tokens_ -= prefix->second.tokens;
    it = lru_programs_.erase(it);
    prefixes_.erase(prefix);
  }
  return used_tokens_ + tokens <= deployment_.cache_tokens || batch_.empty();
}

void Engine::AdmitWaiting() {
  while (!waiting_.empty() && running() < deployment_.engine_slots) {
    Job& job = waiting_.front();
    auto prefix = prefixes_.find(job.program);
    if (prefix != prefixes_.end()) ++prefix->second.running_requests;
    const int cached = prefix == prefixes_.end() ? 0 : prefix->second.tokens;
    const int tokens = job.prompt_tokens + job.completion_tokens - cached;
    if (!TryFreeTokens(tokens)) {
      if (prefix != prefixes_.end()) --prefix->second.running_requests;
      return;
    }
    used_tokens_ += tokens;
    if (prefix == prefixes_.end()) {
      prefix = prefixes_.emplace(job.program, Prefix{0, 1, {}}).first;
      prefix->second.lru_entry = lru_programs_.insert(lru_programs_.end(), job.program);
    }
    prefix->second.tokens += tokens;
    job.cached_tokens = std::min(cached, job.prompt_tokens);
    job.prefill_left = job.prompt_tokens - job.cached_tokens;
    work_s_ += job.prefill_left / deployment_.prefill_tokens_per_s +
               job.completion_tokens / deployment_.decode_tokens_per_s / deployment_.engine_slots;
    job.decode_left = job.completion_tokens;
    batch_.push_back(std::move(job));
    waiting_.pop_front();
  }
}

void Engine::Step() {
  AdmitWaiting();
  stepping_ = !batch_.empty();
  if (!stepping_) return;
  int chunk = kPrefillChunkTokens;
  bool decodes = false;
  for (Job& job : batch_) {
    const int n = std::min(chunk, job.prefill_left);
    job.prefill_left -= n;
    chunk -= n;
    decodes = decodes || job.prefill_left == 0;
  }
  const double seconds = (kPrefillChunkTokens - chunk) / deployment_.prefill_tokens_per_s +
                         (decodes ? 1 / deployment_.decode_tokens_per_s : 0);
  events_.ScheduleAfter(seconds, [this] { EndStep(); });
}

void Engine::EndStep() {
  for (auto it = batch_.begin(); it != batch_.end();) {
    if (it->prefill_left > 0) {
      ++it;
      continue;
    }
    if (it->decode_left == it->completion_tokens && it->on_first_byte) it->on_first_byte();
    if (--it->decode_left > 0) {
      ++it;
      continue;
    }
    Job done = std::move(*it);
    it = batch_.erase(it);
    FinishJob(std::move(done));
  }
  Step();
}

void Engine::FinishJob(Job job) {
  Prefix& prefix = prefixes_.at(job.program);
  --prefix.running_requests;
  lru_programs_.splice(lru_programs_.end(), lru_programs_, prefix.lru_entry);
  job.on_done(job);
}

void Service::Submit(Job job) {
  if (running_ >= slots_) {
    waiting_.push_back(std::move(job));
  } else {
    Start(std::move(job));
  }
}

void Service::Start(Job job) {
  ++running_;
  const double seconds = job.service_s;
  events_.ScheduleAfter(seconds, [this, job = std::move(job)] {
    --running_;
    if (!waiting_.empty()) {
      Job next = std::move(waiting_.front());
      waiting_.pop_front();
      Start(std::move(next));
    }
    job.on_done(job);
  });
}

}  // namespace persimmonstair::bench
