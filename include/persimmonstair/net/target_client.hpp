#ifndef PERSIMMONSTAIR_NET_TARGET_CLIENT_HPP_
#define PERSIMMONSTAIR_NET_TARGET_CLIENT_HPP_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/net/io_pool.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::net {

/// @brief Bearer tokens by credential name.
using Credentials = std::map<std::string, std::string>;

/// @brief Reads a JSON object of names and tokens. Errors name the file and the rule, never a
/// token.
base::Result<Credentials> ReadCredentials(const std::string& file);

/// @brief Bounds of the connections to targets.
struct TargetClientOptions {
  Credentials credentials;
  /// Prefix of the correlation ids, unique to this process.
  std::string correlation_prefix;
  /// Used where a Dispatch states no time.
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds first_byte_timeout{120'000};
  std::chrono::milliseconds between_bytes_timeout{10'000};
  /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  std::chrono::milliseconds tcp_user_timeout{10'000};
  /// Idle connections are closed after this time.
  std::chrono::milliseconds idle_timeout{15'000};
  /// Idle connections kept for each address and input/output thread.
  std::size_t max_idle_per_address = 64;
  std::uint64_t max_response_bytes = 16U << 20U;
  std::uint32_t max_response_header_bytes = 64U << 10U;
};

/// @brief What the client tells its owner; called on input/output threads, must not block.
struct TargetClientHandlers {
  /// Begin of the answer; at most once for each attempt.
  std::function<void(scheduler::TargetFirstByte)> on_first_byte;
  /// Exactly one of these ends an attempt.
  std::function<void(scheduler::TargetDone)> on_done;
  std::function<void(scheduler::TargetFailed)> on_failed;
  /// Whole server-sent events of a stream, without the terminating one.
  std::function<void(base::RequestId, std::string)> relay;
};

/// @brief Header that carries the correlation id of an attempt. A target that knows it returns it;
/// an answer with another value belongs to another attempt and is a malformed answer.
inline constexpr std::string_view kCorrelationHeader = "persimmonstair-correlation";

/// @brief HTTP/1.1 client for targets. Functions may be called from any thread and never block.
class TargetClient {
 public:
  virtual ~TargetClient() = default;

  virtual void Dispatch(scheduler::Dispatch dispatch) = 0;
  /// Produces TargetFailed with kCancelled unless the attempt has ended.
  virtual void Cancel(base::AttemptId attempt) = 0;
  virtual void CloseIdle(const std::string& address, std::uint32_t port) = 0;
  /// Closes all connections; later events are not delivered.
  virtual void Stop() = 0;

  /// Attempts that have not ended.
  virtual std::size_t InFlight() const = 0;
};

std::unique_ptr<TargetClient> MakeTargetClient(IoPool& pool, TargetClientOptions options,
                                               TargetClientHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_TARGET_CLIENT_HPP_
