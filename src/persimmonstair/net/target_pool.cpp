#include "target_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

// True if the connection is open and nothing arrived on it.
bool IsQuiet(TargetPool::Socket& socket) {
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

std::unique_ptr<TargetPool::Socket> TargetPool::Take(const Endpoint& endpoint) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return nullptr;
  const auto oldest = std::chrono::steady_clock::now() - idle_age_;
  std::unique_ptr<Socket> out;
  while (!out && !it->second.empty()) {
    Idle idle = std::move(it->second.back());
    it->second.pop_back();
    if (idle.since < oldest) continue;
    // Ends the watch; its handler finds the connection gone from the list.
    boost::system::error_code ec;
    idle.socket->cancel(ec);
    if (!ec && IsQuiet(*idle.socket)) out = std::move(idle.socket);
  }
  if (it->second.empty()) idle_.erase(it);
  return out;
}

void TargetPool::Put(const Endpoint& endpoint, std::unique_ptr<Socket> socket) {
  auto& list = idle_[endpoint];
  list.push_back({std::move(socket), std::chrono::steady_clock::now(), ++next_id_});
  Watch(endpoint, list.back());
  if (list.size() > max_idle_) list.pop_front();
  if (!sweeping_) Sweep();
}

void TargetPool::Watch(const Endpoint& endpoint, Idle& idle) {
  idle.socket->async_wait(Socket::wait_read, [weak = weak_from_this(), endpoint,
                                              id = idle.id](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (self && ec != asio::error::operation_aborted) self->Remove(endpoint, id);
  });
}

void TargetPool::Remove(const Endpoint& endpoint, std::uint64_t id) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return;
  it->second.remove_if([id](const Idle& idle) { return idle.id == id; });
  if (it->second.empty()) idle_.erase(it);
}

void TargetPool::CloseIdle(const Endpoint& endpoint) { idle_.erase(endpoint); }

void TargetPool::CloseAll() {
  idle_.clear();
  sweep_.cancel();
}

void TargetPool::Sweep() {
  const auto oldest = std::chrono::steady_clock::now() - idle_age_;
  for (auto it = idle_.begin(); it != idle_.end();) {
    it->second.remove_if([oldest](const Idle& idle) { return idle.since < oldest; });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
  sweeping_ = !idle_.empty();
  if (!sweeping_) return;
  sweep_.expires_after(std::max(idle_age_ / 4, std::chrono::milliseconds(1)));
  sweep_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
    const auto self = weak.lock();
    if (self && !ec) self->Sweep();
  });
}

}  // namespace persimmonstair::net
