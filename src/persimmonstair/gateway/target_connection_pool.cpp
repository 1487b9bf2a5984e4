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

awaitable<tl::expected<std::unique_ptr<HttpConnection>, error_code>> TargetConnectionPool::Acquire(
    const dispatch::TargetEntry& target, IdleReuse reuse, base::Duration timeout) {
  const base::TimePoint now = Now();
  auto& idle = idle_[target.id];
  while (!idle.empty()) {
    Idle one = std::move(idle.back());
    idle.pop_back();
    base::Duration limit = one.limit;
    if (reuse == IdleReuse::kRecentlyUsed) limit = std::min<base::Duration>(limit, kMaxRecentIdle);
    if (now - one.since < limit && one.connection->IsIdle()) co_return std::move(one.connection);
  }
  auto connection = co_await connector_.Open(target, timeout);
  if (connection) ++opened_;
  co_return std::move(connection);
}

void TargetConnectionPool::Release(const dispatch::TargetEntry& target,
                                   std::unique_ptr<HttpConnection> connection) {
  if (!connection->Reusable()) return;
  base::Duration limit = kDefaultIdle;
  const base::Duration stated = connection->KeepAliveTimeout();
  if (stated > base::Duration{0}) limit = std::max<base::Duration>(stated - kIdleMargin, {});
  auto& idle = idle_[target.id];
  idle.push_back({std::move(connection), Now(), limit});
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
