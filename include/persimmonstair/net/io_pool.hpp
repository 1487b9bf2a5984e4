#ifndef PERSIMMONSTAIR_NET_IO_POOL_HPP_
#define PERSIMMONSTAIR_NET_IO_POOL_HPP_

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace persimmonstair::net {

/// @brief Fixed pool of input/output threads, each of which runs its own io_context. The handlers
/// of one context run on one thread only, so objects that are used only there need no locks.
///
///     IoPool pool{2};
///     auto server = StartCallerServer(pool, options, handlers);
///     pool.Stop();  // before the objects on it are destroyed
class IoPool {
 public:
  /// Starts the threads; at least one, also if `threads` is 0.
  explicit IoPool(std::uint32_t threads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  /// Returns the contexts in round-robin order.
  boost::asio::io_context& Next();
  /// Returns the context at `index` modulo the number of threads.
  boost::asio::io_context& At(std::size_t index);
  std::size_t size() const { return workers_.size(); }

  /// Stops and joins all threads. Handlers that have not run are dropped. Further calls have no
  /// effect.
  void Stop();

 private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_IO_POOL_HPP_
