#ifndef PERSIMMONSTAIR_SRC_GATEWAY_RESPONSE_MEMORY_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_RESPONSE_MEMORY_HPP_

#include <cstddef>

namespace persimmonstair::gateway {

/// @brief Bounds the bytes of targets' responses that all requests of an instance together keep in
/// memory.
class ResponseMemory {
 public:
  /// Largest number of bytes that are kept, however large the machine is.
  static constexpr std::size_t kMaxBytes = std::size_t{16} << 20U;

  explicit ResponseMemory(std::size_t limit = kMaxBytes) : limit_(limit) {}

  /// Bytes that are kept now.
  std::size_t Held() const { return held_; }

 private:
  friend class HeldBytes;

  std::size_t limit_;
  std::size_t held_ = 0;
};

/// @brief The bytes that one request keeps; returned when the request ends.
class HeldBytes {
 public:
  explicit HeldBytes(ResponseMemory& memory) : memory_(memory) {}
  ~HeldBytes() { memory_.held_ -= bytes_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// Registers `bytes` more; false, without a change, if there is no room for them.
  bool Add(std::size_t bytes) {
    if (bytes > memory_.limit_ - memory_.held_) return false;
    memory_.held_ += bytes;
    bytes_ += bytes;
    return true;
  }

 private:
  ResponseMemory& memory_;
  std::size_t bytes_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_RESPONSE_MEMORY_HPP_
