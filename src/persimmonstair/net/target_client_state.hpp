#ifndef PERSIMMONSTAIR_SRC_NET_TARGET_CLIENT_STATE_HPP_
#define PERSIMMONSTAIR_SRC_NET_TARGET_CLIENT_STATE_HPP_

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonstair/net/target_client.hpp"

namespace persimmonstair::net {

class TargetAttempt;

/// @brief State that a target client shares with its attempts: options, handlers and the attempts
/// in flight. Thread-safe.
class TargetClientState {
 public:
  TargetClientState(TargetClientOptions client_options, TargetClientHandlers client_handlers)
      : options(std::move(client_options)), handlers(std::move(client_handlers)) {}

  const TargetClientOptions options;
  const TargetClientHandlers handlers;

  void Add(base::AttemptId id, const std::shared_ptr<TargetAttempt>& attempt) {
    const std::lock_guard lock(mutex_);
    attempts_[id.value] = attempt;
  }
  std::shared_ptr<TargetAttempt> Find(base::AttemptId id) const {
    const std::lock_guard lock(mutex_);
    const auto it = attempts_.find(id.value);
    return it == attempts_.end() ? nullptr : it->second;
  }
  /// False if the attempt has already ended.
  bool Remove(base::AttemptId id) {
    const std::lock_guard lock(mutex_);
    return attempts_.erase(id.value) != 0;
  }
  /// Removes and returns the attempts that have not ended.
  std::vector<std::shared_ptr<TargetAttempt>> RemoveAll() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<TargetAttempt>> out;
    for (auto& [id, attempt] : attempts_) out.push_back(std::move(attempt));
    attempts_.clear();
    return out;
  }
  std::size_t size() const {
    const std::lock_guard lock(mutex_);
    return attempts_.size();
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::uint64_t, std::shared_ptr<TargetAttempt>> attempts_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_TARGET_CLIENT_STATE_HPP_
