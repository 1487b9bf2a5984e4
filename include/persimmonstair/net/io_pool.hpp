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

/// @brief Input/output threads, each of which runs one context. An object that lives on a context
/// is used by that thread only and needs no locks.
///
///     IoPool pool{2};
///     auto server = StartCallerServer(pool, options, handlers);
///     pool.Stop();  // before the objects on it are destroyed
class IoPool {
 public:
  explicit IoPool(std::uint32_t threads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  /// The contexts in turn.
  boost::asio::io_context& Next();
  boost::asio::io_context& At(std::size_t index);
  std::size_t size() const { return workers_.size(); }

  /// Ends all threads; handlers that have not run are dropped. Can be called twice.
  void Stop();

 private:
  struct Worker;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_IO_POOL_HPP_
