#ifndef PERSIMMONSTAIR_SRC_GATEWAY_NEWEST_CONNECTIONS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_NEWEST_CONNECTIONS_HPP_

#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <list>
#include <memory>

namespace persimmonstair::gateway {

/// @brief Bounds the connections of a listener whose connections are all worth the same: a new one
/// closes the oldest.
class NewestConnections {
 public:
  using StreamPtr = std::shared_ptr<boost::beast::tcp_stream>;

  explicit NewestConnections(std::size_t max) : max_(max) {}

  void Add(const StreamPtr& stream) {
    if (open_.size() >= max_) {
      open_.front()->close();
      open_.pop_front();
    }
    open_.push_back(stream);
  }
  void Remove(const StreamPtr& stream) { open_.remove(stream); }

 private:
  std::size_t max_;
  std::list<StreamPtr> open_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_NEWEST_CONNECTIONS_HPP_
