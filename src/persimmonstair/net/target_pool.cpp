#include "target_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

// True if the connection is open and has no unread data.
bool IsOpenWithoutData(TargetPool::Socket& socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::unique_ptr<TargetPool::Socket> TargetPool::Acquire(const Endpoint& endpoint) {
  const auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end()) return nullptr;
  const auto oldest = std::chrono::steady_clock::now() - idle_timeout_;
  std::unique_ptr<Socket> out;
  while (!out && !it->second.empty()) {
    IdleConnection idle = std::move(it->second.back());
    it->second.pop_back();
    if (idle.idle_since < oldest) continue;
    // Cancels the pending wait. Its handler ignores connections that are no longer in the list.
    boost::system::error_code ec;
    idle.socket->cancel(ec);
    if (!ec && IsOpenWithoutData(*idle.socket)) out = std::move(idle.socket);
  }
  if (it->second.empty()) idle_connections_.erase(it);
  return out;
}

void TargetPool::Release(const Endpoint& endpoint, std::unique_ptr<Socket> socket) {
  auto& list = idle_connections_[endpoint];
  list.push_back({std::move(socket), std::chrono::steady_clock::now(), ++next_id_});
  Watch(endpoint, list.back());
  if (list.size() > max_idle_per_address_) list.pop_front();
  if (!expiry_scheduled_) CloseExpired();
}

void TargetPool::Watch(const Endpoint& endpoint, IdleConnection& idle) {
  idle.socket->async_wait(Socket::wait_read, [weak = weak_from_this(), endpoint,
                                              id = idle.id](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (self && ec != asio::error::operation_aborted) self->Remove(endpoint, id);
  });
}

void TargetPool::Remove(const Endpoint& endpoint, std::uint64_t id) {
  const auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end()) return;
  it->second.remove_if([id](const IdleConnection& idle) { return idle.id == id; });
  if (it->second.empty()) idle_connections_.erase(it);
}

void TargetPool::CloseIdle(const Endpoint& endpoint) { idle_connections_.erase(endpoint); }

void TargetPool::CloseAll() {
  idle_connections_.clear();
  expiry_timer_.cancel();
}

void TargetPool::CloseExpired() {
  const auto oldest = std::chrono::steady_clock::now() - idle_timeout_;
  for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
    it->second.remove_if([oldest](const IdleConnection& idle) { return idle.idle_since < oldest; });
    it = it->second.empty() ? idle_connections_.erase(it) : std::next(it);
  }
  expiry_scheduled_ = !idle_connections_.empty();
  if (!expiry_scheduled_) return;
  expiry_timer_.expires_after(std::max(idle_timeout_ / 4, std::chrono::milliseconds(1)));
  expiry_timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (self && !ec) self->CloseExpired();
  });
}

}  // namespace persimmonstair::net
