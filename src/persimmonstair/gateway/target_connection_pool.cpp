#include "target_connection_pool.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using boost::system::error_code;
using std::chrono::milliseconds;

/// Maximum idle time of a connection that is used for a request that runs at most once.
constexpr milliseconds kMaxRecentIdle{700};
/// Idle limit of a connection whose target states none. Below the usual limits of servers.
constexpr milliseconds kDefaultIdle{4000};
/// A connection is closed this long before the target would close it.
constexpr milliseconds kIdleMargin{1000};
constexpr std::size_t kMaxIdlePerTarget = 16;

}  // namespace

bool TargetConnectionPool::IsFresh(const Idle& one, base::TimePoint now, IdleReuse reuse) {
  const bool recent = reuse == IdleReuse::kAnyIdle || now - one.since < kMaxRecentIdle;
  return recent && now - one.since < one.limit;
}

std::unique_ptr<HttpConnection> TargetConnectionPool::TakeIdle(std::deque<Idle>& idle,
                                                               IdleReuse reuse,
                                                               const std::string& request_id) {
  const base::TimePoint now = Now();
  for (std::size_t n = idle.size(); n-- > 0;) {
    const auto it = idle.begin() + static_cast<std::ptrdiff_t>(n);
    const bool open = IsFresh(*it, now, IdleReuse::kAnyIdle) && it->connection->IsIdle();
    if (open && !IsFresh(*it, now, reuse)) continue;
    if (open && reuse == IdleReuse::kRecentlyUsed && it->request_id == request_id) continue;
    std::unique_ptr<HttpConnection> connection = std::move(it->connection);
    idle.erase(it);
    if (open) return connection;
  }
  return nullptr;
}

bool TargetConnectionPool::HasIdle(const base::TargetId& target, IdleReuse reuse,
                                   const std::string& request_id) const {
  const auto it = idle_.find(target);
  if (it == idle_.end()) return false;
  const base::TimePoint now = Now();
  return std::any_of(it->second.begin(), it->second.end(), [&](const Idle& one) {
    const bool repeated = reuse == IdleReuse::kRecentlyUsed && one.request_id == request_id;
    return !repeated && IsFresh(one, now, reuse);
  });
}

void TargetConnectionPool::DropIdleSince(const base::TargetId& target, base::TimePoint at) {
  const auto it = idle_.find(target);
  if (it == idle_.end()) return;
  std::erase_if(it->second, [at](const Idle& one) { return one.since <= at; });
}

awaitable<tl::expected<std::unique_ptr<HttpConnection>, error_code>> TargetConnectionPool::Acquire(
    const dispatch::TargetEntry& target, IdleReuse reuse, const std::string& request_id,
    base::Duration timeout) {
  auto& idle = idle_[target.id];
  if (auto connection = TakeIdle(idle, reuse, request_id)) co_return std::move(connection);
  // Closed, so that a request that is refused again and again opens no more and more connections.
  std::erase_if(idle, [&request_id](const Idle& one) { return one.request_id == request_id; });
  auto connection = co_await connector_.Open(target, timeout);
  if (connection) ++opened_;
  co_return std::move(connection);
}

void TargetConnectionPool::Release(const dispatch::TargetEntry& target,
                                   std::unique_ptr<HttpConnection> connection,
                                   const std::string& request_id) {
  if (!connection->Reusable()) return;
  base::Duration limit = kDefaultIdle;
  const base::Duration stated = connection->KeepAliveTimeout();
  if (stated > base::Duration{0}) limit = std::max<base::Duration>(stated - kIdleMargin, {});
  auto& idle = idle_[target.id];
  idle.push_back({std::move(connection), Now(), limit, request_id});
  if (idle.size() > kMaxIdlePerTarget) idle.pop_front();
}

void TargetConnectionPool::CloseIdle() {
  const base::TimePoint now = Now();
  for (auto& [id, idle] : idle_) {
    std::erase_if(idle, [now](const Idle& one) { return now - one.since >= one.limit; });
  }
  std::erase_if(idle_, [](const auto& one) { return one.second.empty(); });
}

}  // namespace persimmonstair::gateway
