#include "persimmonstair/net/io_pool.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace persimmonstair::net {

namespace asio = boost::asio;

struct IoPool::Worker {
  // The concurrency hint 1 lets Asio skip some internal locking, as only one thread runs the
  // context.
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
  std::thread thread;
};

IoPool::IoPool(std::uint32_t threads) {
  for (std::uint32_t n = 0; n < (threads == 0 ? 1 : threads); ++n) {
    workers_.push_back(std::make_unique<Worker>());
    Worker* worker = workers_.back().get();
    worker->thread = std::thread([worker] { worker->context.run(); });
  }
}

IoPool::~IoPool() { Stop(); }

asio::io_context& IoPool::Next() { return At(next_.fetch_add(1, std::memory_order_relaxed)); }

asio::io_context& IoPool::At(std::size_t index) {
  return workers_[index % workers_.size()]->context;
}

void IoPool::Stop() {
  for (const auto& worker : workers_) worker->context.stop();
  for (const auto& worker : workers_) {
    if (worker->thread.joinable()) worker->thread.join();
  }
}

}  // namespace persimmonstair::net
