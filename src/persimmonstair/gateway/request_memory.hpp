#ifndef PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_MEMORY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_MEMORY_HPP_

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>

namespace persimmonstair::gateway {

/// @brief The account of what all connections of an instance together hold: heads, bodies, history
/// that is prepended to bodies, and responses that wait for slow readers of the information ports.
class RequestMemory {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
  /// A request that holds more leaves kReservedPart of the account to smaller ones, so that large
  /// bodies can't keep out ordinary requests.
  static constexpr std::size_t kLargeBytes = std::size_t{64} << 10U;
  static constexpr std::size_t kReservedPart = 4;

  explicit RequestMemory(std::size_t limit = kUnlimited) : limit_(limit) {}

  /// Bytes that are held now.
  std::size_t Held() const { return *held_; }
  std::size_t Limit() const { return limit_; }

 private:
  friend class RequestBytes;

  std::size_t limit_;
  /// Shared, as suspended coroutines return what they hold after the account is gone.
  std::shared_ptr<std::size_t> held_ = std::make_shared<std::size_t>(0);
};

/// @brief The bytes that one request or response holds; returned when it ends.
class RequestBytes {
 public:
  explicit RequestBytes(const RequestMemory& memory) : limit_(memory.limit_), held_(memory.held_) {}
  ~RequestBytes() { Clear(); }
  RequestBytes(const RequestBytes&) = delete;
  RequestBytes& operator=(const RequestBytes&) = delete;

  /// Registers `bytes` more; false, without a change, if there is no room for them.
  bool Add(std::size_t bytes) {
    const bool large =
        bytes > RequestMemory::kLargeBytes || bytes_ > RequestMemory::kLargeBytes - bytes;
    const std::size_t reserved = large ? limit_ / RequestMemory::kReservedPart : 0;
    const std::size_t limit = limit_ - reserved;
    if (*held_ > limit || bytes > limit - *held_) return false;
    *held_ += bytes;
    bytes_ += bytes;
    return true;
  }

  /// Returns `bytes`, at most all that are held.
  void Release(std::size_t bytes) {
    bytes = std::min(bytes, bytes_);
    *held_ -= bytes;
    bytes_ -= bytes;
  }
  void Clear() { Release(bytes_); }
  std::size_t Held() const { return bytes_; }

 private:
  std::size_t limit_;
  std::shared_ptr<std::size_t> held_;
  std::size_t bytes_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_REQUEST_MEMORY_HPP_
