#ifndef PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_
#define PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_

#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "persimmonstair/base/ids.hpp"

namespace persimmonstair::daemon {

/// @brief A request that another instance received from a caller and forwarded to this one.
struct RemoteRequest {
  /// Instance that forwarded the request.
  base::InstanceId from;
  /// Request id that the forwarding instance uses.
  base::RequestId request;

  auto operator<=>(const RemoteRequest&) const = default;
};

/// @brief Tracks the requests that are forwarded between instances: the local id of each request
/// that was forwarded to this instance, and the receiving instance of each local request that was
/// forwarded. Thread-safe.
class ForwardingTable {
 public:
  /// Registers a request that was forwarded to this instance. Returns false, without a change, if
  /// it is already registered.
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
  /// Removes and returns the remote request with this local id.
  std::optional<RemoteRequest> TakeIncoming(base::RequestId local) {
    const std::lock_guard lock(mutex_);
    const auto it = incoming_.find(local);
    if (it == incoming_.end()) return std::nullopt;
    RemoteRequest remote = std::move(it->second);
    incoming_.erase(it);
    by_remote_.erase(remote);
    return remote;
  }
  /// Removes a remote request and returns its local id.
  std::optional<base::RequestId> TakeByRemote(const RemoteRequest& remote) {
    const std::lock_guard lock(mutex_);
    const auto it = by_remote_.find(remote);
    if (it == by_remote_.end()) return std::nullopt;
    const base::RequestId local = it->second;
    by_remote_.erase(it);
    incoming_.erase(local);
    return local;
  }

  /// Registers that a local request was forwarded to instance `to`.
  void AddOutgoing(base::RequestId request, const base::InstanceId& to) {
    const std::lock_guard lock(mutex_);
    outgoing_[request] = to;
  }
  void RemoveOutgoing(base::RequestId request) {
    const std::lock_guard lock(mutex_);
    outgoing_.erase(request);
  }
  /// Returns whether the request was forwarded to instance `to`. Only that instance may answer it.
  bool IsOutgoing(base::RequestId request, const base::InstanceId& to) const {
    const std::lock_guard lock(mutex_);
    const auto it = outgoing_.find(request);
    return it != outgoing_.end() && it->second == to;
  }

 private:
  mutable std::mutex mutex_;
  // Requests forwarded to this instance, by local id; `by_remote_` is the reverse index.
  std::map<base::RequestId, RemoteRequest> incoming_;
  std::map<RemoteRequest, base::RequestId> by_remote_;
  // Receiving instance of each local request that was forwarded.
  std::map<base::RequestId, base::InstanceId> outgoing_;
};

}  // namespace persimmonstair::daemon

#endif  // PERSIMMONSTAIR_DAEMON_FORWARDING_TABLE_HPP_
