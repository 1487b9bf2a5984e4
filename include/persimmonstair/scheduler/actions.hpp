#ifndef PERSIMMONSTAIR_SCHEDULER_ACTIONS_HPP_
#define PERSIMMONSTAIR_SCHEDULER_ACTIONS_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/peer.hpp"

namespace persimmonstair::scheduler {

/// @brief Ends a request. For a stream that has begun, `body` is its last part and the connection's
/// chunked body is then closed; for an error after the stream began, it is an error event.
struct Reply {
  base::RequestId request;
  std::uint32_t status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Labels of metrics: workspace and class of the request; empty if it was refused before its key
  /// was known.
  base::WorkspaceId workspace = {};
  std::string entry_class = {};
};

/// @brief Sends a request to a target. When `relay` is set, body chunks go to the caller of
/// `request` as they arrive, except the terminating event, which the Reply sends.
struct Dispatch {
  base::AttemptId attempt;
  /// Request whose caller gets the relayed stream; zero for internal calls.
  base::RequestId request;
  base::TargetId target;
  /// IP address and port of the target.
  std::string address;
  std::uint32_t port = 0;
  std::string method = "POST";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  bool relay = false;
  base::Duration connect_timeout{0};
  base::Duration first_byte_timeout{0};
  base::Duration between_bytes_timeout{0};
  /// Name of the credential that the net layer adds as a bearer token; empty for none.
  std::string credential;
  /// Do not use a pooled connection.
  bool fresh_connection = false;
};

/// @brief Closes an attempt's connection and produces TargetFailed with kCancelled.
struct CancelAttempt {
  base::AttemptId attempt;
};

/// @brief Closes idle pooled connections to an address that went silent.
struct CloseIdleConnections {
  std::string address;
  std::uint32_t port = 0;
};

/// @brief Appends records to a stream in one call.
struct Append {
  base::AppendId append;
  base::StreamName stream;
  std::vector<std::string> records;
  /// Id of each record, in the same order.
  std::vector<base::RecordId> ids;
};

/// @brief Reads single records; answered by RecordsFetched.
struct FetchRecords {
  base::StreamName stream;
  std::vector<base::Offset> offsets;
};

/// @brief Sends a message to another instance. Reliable messages go over TCP and report failure.
struct SendPeer {
  base::InstanceId to;
  schema::PeerMessage message;
  bool reliable = false;
};

/// @brief Sends a datagram to every known peer.
struct BroadcastPeer {
  schema::PeerMessage message;
};

/// @brief The planned stop is complete; the process may exit.
struct Stopped {
  /// What was left unfinished, for the log; empty if nothing.
  std::string left;
};

/// @brief The process lost its incarnation to another process under the same instance id.
struct Superseded {};

using Action = std::variant<Reply, Dispatch, CancelAttempt, CloseIdleConnections, Append,
                            FetchRecords, SendPeer, BroadcastPeer, Stopped, Superseded>;

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_ACTIONS_HPP_
