#ifndef PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_
#define PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::daemon {

/// @brief A request of another instance's caller.
struct RemoteRequest {
  base::InstanceId from;
  /// The sender's id of the request.
  base::RequestId request;

  auto operator<=>(const RemoteRequest&) const = default;
};

/// @brief Requests that cross instances: which local id stands for which remote request, and to
/// which instance a local request was sent on. Thread-safe.
class ForwardingTable {
 public:
  /// False if the remote request is known already.
  bool AddIncoming(base::RequestId local, const RemoteRequest& remote) {
    const std::lock_guard lock(mutex_);
    if (!by_remote_.emplace(remote, local).second) return false;
    incoming_.emplace(local, remote);
    return true;
  }
  std::optional<RemoteRequest> FindIncoming(base::RequestId local) const {
    const std::lock_guard lock(mutex_);
    const auto it = incoming_.find(local);
    return it == incoming_.end() ? std::nullopt : std::optional(it->second);
  }
  std::optional<RemoteRequest> TakeIncoming(base::RequestId local) {
    const std::lock_guard lock(mutex_);
    const auto it = incoming_.find(local);
    if (it == incoming_.end()) return std::nullopt;
    RemoteRequest remote = std::move(it->second);
    incoming_.erase(it);
    by_remote_.erase(remote);
    return remote;
  }
  /// The local id of a remote request, which is then forgotten.
  std::optional<base::RequestId> TakeByRemote(const RemoteRequest& remote) {
    const std::lock_guard lock(mutex_);
    const auto it = by_remote_.find(remote);
    if (it == by_remote_.end()) return std::nullopt;
    const base::RequestId local = it->second;
    by_remote_.erase(it);
    incoming_.erase(local);
    return local;
  }

  void AddOutgoing(base::RequestId request, const base::InstanceId& to) {
    const std::lock_guard lock(mutex_);
    outgoing_[request] = to;
  }
  void RemoveOutgoing(base::RequestId request) {
    const std::lock_guard lock(mutex_);
    outgoing_.erase(request);
  }
  /// True if the request was sent on to this instance: only it may answer.
  bool IsOutgoing(base::RequestId request, const base::InstanceId& to) const {
    const std::lock_guard lock(mutex_);
    const auto it = outgoing_.find(request);
    return it != outgoing_.end() && it->second == to;
  }

 private:
  mutable std::mutex mutex_;
  std::map<base::RequestId, RemoteRequest> incoming_;
  std::map<RemoteRequest, base::RequestId> by_remote_;
  std::map<base::RequestId, base::InstanceId> outgoing_;
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_
