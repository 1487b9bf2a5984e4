#ifndef PERSIMMONSTAIR_STANDIN_STANDIN_HPP_
#define PERSIMMONSTAIR_STANDIN_STANDIN_HPP_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::standin {

/// @brief Log service. Offsets of a stream begin at 0.
struct LogSettings {
  /// Appends taken per second over all streams, in bursts of as many; 0 means unlimited. More are
  /// refused with 429.
  double max_appends_per_s = 0;
  std::size_t max_append_bytes = 16U << 20U;
  /// Data bytes of one read; at least one record is returned.
  std::size_t max_read_bytes = 4U << 20U;
  /// Seed of random faults.
  std::uint64_t seed = 1;
};

/// @brief List of instances and leaving targets.
struct ListSettings {};

/// @brief Weight store with a request rate limit.
struct WeightSettings {
  double rate_per_s = 10;
  double burst = 10;
  std::size_t weight_bytes = 1024;
};

/// @brief Model engine with prefill and decode times modelled from token counts.
struct EngineSettings {
  /// Models served; empty means any.
  std::vector<std::string> models;
  double prefill_tokens_per_s = 8000;
  /// For one request while at most `slots` run; beyond that all become slower in proportion.
  double decode_tokens_per_s = 40;
  std::uint32_t slots = 8;
  /// Memory for the prefixes of programs.
  std::int64_t memory_tokens = 1'000'000;
  /// Completion length unless the request's max_tokens is lower.
  std::int64_t completion_tokens = 32;
  std::int64_t tokens_per_chunk = 1;
  /// 1 is real time, 2 twice as fast, 0 answers at once.
  double speed = 1;
  /// Refuses orders with an old fencing number.
  bool checks_fencing = true;
  /// Requests kept for GET /requests; 0 keeps none.
  std::size_t recorded_requests = 10'000;
};

/// @brief Plain service that answers on any path.
struct ServiceSettings {
  /// Paths under these prefixes are idempotent; repeats there are no double effects.
  std::vector<std::string> idempotent_prefixes;
  std::uint32_t delay_ms = 0;
  /// Length of the "padding" member of each answer.
  std::size_t padding_bytes = 0;
  std::size_t recorded_requests = 10'000;
};

using RoleSettings =
    std::variant<LogSettings, ListSettings, WeightSettings, EngineSettings, ServiceSettings>;

struct ListenOptions {
  std::string address = "127.0.0.1";
  /// 0 lets the system choose.
  std::uint16_t port = 0;
};

/// @brief One role of the platform or one target on its own port and thread. Its HTTP interface is
/// in docs/platform-protocol.md.
///
///     auto log = Standin::Start(LogSettings{});
///     (*log)->SetFaults(R"({"lose_append_answers": 1})");
class Standin {
 public:
  /// kInvalidRequest if the address cannot be bound.
  static base::Result<std::unique_ptr<Standin>> Start(RoleSettings settings,
                                                      ListenOptions listen = {});
  ~Standin();
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Stays the same over Kill() and Restart().
  std::uint16_t port() const;
  /// "http://<address>:<port>".
  std::string url() const;
  /// Same as PUT /fault: sets the named members, leaves the others.
  base::Result<void> SetFaults(const std::string& json_text);
  /// Breaks all connections and refuses new ones, as a crashed process does. An engine loses its
  /// memory; a log keeps its records.
  void Kill();
  /// Listens on the same port again.
  void Restart();

 private:
  class Impl;
  explicit Standin(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_STANDIN_HPP_
