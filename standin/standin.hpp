#ifndef PERSIMMONSTAIR_STANDIN_STANDIN_HPP_
#define PERSIMMONSTAIR_STANDIN_STANDIN_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::standin {

/// @brief Settings of the log service. Offsets of a stream begin at 0.
struct LogSettings {
  /// Appends accepted per second over all streams, with a burst of the same number (at least 1).
  /// Further appends are refused with 429. 0 means unlimited.
  double max_appends_per_s = 0;
  std::size_t max_append_bytes = 16U << 20U;
  /// Limit of the data bytes in one read. A read returns at least one record even above the limit.
  std::size_t max_read_bytes = 4U << 20U;
  /// Seed of the random faults.
  std::uint64_t seed = 1;
};

/// @brief Settings of the list of instances and leaving targets.
struct ListSettings {};

/// @brief Settings of the weight store and its request rate limit.
struct WeightSettings {
  double rate_per_s = 10;
  double burst = 10;
  std::size_t weight_bytes = 1024;
};

/// @brief Settings of a model engine, which computes prefill and decode times from token counts.
struct EngineSettings {
  /// Models served; empty means any.
  std::vector<std::string> models;
  double prefill_tokens_per_s = 8000;
  /// Speed of each request while at most `slots` requests run. With more, all slow down in
  /// proportion.
  double decode_tokens_per_s = 40;
  std::uint32_t slots = 8;
  /// Capacity of the prefix cache.
  std::int64_t memory_tokens = 1'000'000;
  /// Completion length unless the request's max_tokens is lower.
  std::int64_t completion_tokens = 32;
  std::int64_t tokens_per_chunk = 1;
  /// 1 is real time, 2 is twice as fast, 0 responds without delay.
  double speed = 1;
  /// Whether orders with an old fencing number are refused.
  bool checks_fencing = true;
  /// Requests kept for GET /requests; 0 keeps none.
  std::size_t recorded_requests = 10'000;
};

/// @brief Settings of a plain service, which responds on any path.
struct ServiceSettings {
  /// Paths under these prefixes are idempotent: repeated executions there are not reported as
  /// repeated effects.
  std::vector<std::string> idempotent_prefixes;
  std::uint32_t delay_ms = 0;
  /// Length of the "padding" member of each response; 0 leaves the member out.
  std::size_t padding_bytes = 0;
  std::size_t recorded_requests = 10'000;
};

using RoleSettings =
    std::variant<LogSettings, ListSettings, WeightSettings, EngineSettings, ServiceSettings>;

/// @brief Address on which a stand-in listens.
struct ListenOptions {
  std::string address = "127.0.0.1";
  /// 0 lets the operating system choose.
  std::uint16_t port = 0;
};

/// @brief Simulates one service of the platform or one target on its own port and thread.
/// docs/platform-protocol.md describes its HTTP interface.
///
///     auto log = Standin::Start(LogSettings{});
///     (*log)->SetFaults(R"({"lose_append_answers": 1})");
class Standin {
 public:
  /// Returns kInvalidRequest if the address cannot be bound.
  static base::Result<std::unique_ptr<Standin>> Start(RoleSettings settings,
                                                      ListenOptions listen = {});
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Does not change with Kill() and Restart().
  std::uint16_t port() const;
  /// "http://<address>:<port>".
  std::string url() const;
  /// Same as PUT /fault: sets the members that the JSON object contains and keeps the others.
  base::Result<void> SetFaults(const std::string& json_text);
  /// Closes all connections and refuses new ones, like a crashed process. An engine loses its
  /// prefix cache; a log keeps its records.
  void Kill();
  /// Listens again on the same port.
  void Restart();

 private:
  class Impl;
  explicit Standin(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_STANDIN_HPP_
