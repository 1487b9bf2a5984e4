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

/// @brief Bearer tokens for targets by credential name.
using Credentials = std::map<std::string, std::string>;

/// @brief Reads a JSON object that maps credential names to tokens. Error messages name the file
/// and the violated rule but never contain a token.
base::Result<Credentials> ReadCredentials(const std::string& file);

/// @brief Credentials, timeouts and limits of a TargetClient.
struct TargetClientOptions {
  Credentials credentials;
  /// Prefix of the correlation ids; must be unique to this process.
  std::string correlation_prefix;
  /// Default timeouts for a Dispatch that sets none.
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds first_byte_timeout{120'000};
  std::chrono::milliseconds between_bytes_timeout{10'000};
  /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  std::chrono::milliseconds tcp_user_timeout{10'000};
  /// Time after which an idle connection is closed.
  std::chrono::milliseconds idle_timeout{15'000};
  /// Largest number of idle connections for each target address and I/O thread.
  std::size_t max_idle_per_address = 64;
  std::uint64_t max_response_bytes = 16U << 20U;
  std::uint32_t max_response_header_bytes = 64U << 10U;
};

/// @brief Callbacks of a TargetClient. They run on I/O threads and must not block.
struct TargetClientHandlers {
  /// The first byte of a response arrived; called at most once for each attempt.
  std::function<void(scheduler::TargetFirstByte)> on_first_byte;
  /// Each attempt ends with exactly one call of on_done or on_failed, unless Stop() was called.
  std::function<void(scheduler::TargetDone)> on_done;
  std::function<void(scheduler::TargetFailed)> on_failed;
  /// Passes on complete server-sent events of a stream, without the end marker.
  std::function<void(base::RequestId, std::string)> relay;
};

/// @brief Request header with the correlation id of the attempt. A target that supports it returns
/// it in the response. A response with another value belongs to another attempt and is treated as
/// malformed.
inline constexpr std::string_view kCorrelationHeader = "persimmonstair-correlation";

/// @brief HTTP/1.1 client for targets. Its functions may be called from any thread and never block.
class TargetClient {
 public:
  virtual ~TargetClient() = default;

  /// Starts an attempt.
  virtual void Dispatch(scheduler::Dispatch dispatch) = 0;
  /// Ends the attempt with kCancelled unless it has already ended.
  virtual void Cancel(base::AttemptId attempt) = 0;
  /// Closes the idle connections to an address.
  virtual void CloseIdle(const std::string& address, std::uint32_t port) = 0;
  /// Closes all connections. Attempts in flight are abandoned without a callback.
  virtual void Stop() = 0;

  /// Number of attempts that have not ended.
  virtual std::size_t InFlight() const = 0;
};

/// @brief Creates a client that uses the threads of `pool`.
std::unique_ptr<TargetClient> MakeTargetClient(IoPool& pool, TargetClientOptions options,
                                               TargetClientHandlers handlers);

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_TARGET_CLIENT_HPP_
