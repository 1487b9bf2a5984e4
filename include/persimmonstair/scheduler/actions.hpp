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

/// @brief Ends a request with a response to its caller. If a stream has already begun, `body` is
/// its last part (an error event if the request failed) and the chunked body is then closed.
struct Reply {
  base::RequestId request;
  std::uint32_t status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Workspace and class of the request, used as metric labels. Empty if the request was refused
  /// before its key was identified.
  base::WorkspaceId workspace = {};
  std::string entry_class = {};
};

/// @brief Sends a request to a target. If `relay` is set, body chunks are passed to the caller of
/// `request` as they arrive, except for the terminating event, which is sent with the Reply.
struct Dispatch {
  base::AttemptId attempt;
  /// Request whose caller receives the relayed stream; zero for the scheduler's own calls.
  base::RequestId request;
  base::TargetId target;
  /// IP address and port of the target.
  std::string address;
  std::uint32_t port = 0;
  std::string method = "POST";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Pass the response to the caller while it arrives.
  bool relay = false;
  base::Duration connect_timeout{0};
  base::Duration first_byte_timeout{0};
  base::Duration between_bytes_timeout{0};
  /// Name of the credential that the network layer adds as a bearer token; empty for none.
  std::string credential;
  /// Open a new connection instead of using a pooled one.
  bool fresh_connection = false;
};

/// @brief Closes the connection of an attempt. The attempt then ends with a TargetFailed event of
/// kind kCancelled.
struct CancelAttempt {
  base::AttemptId attempt;
};

/// @brief Closes idle pooled connections to an address that no longer responds.
struct CloseIdleConnections {
  std::string address;
  std::uint32_t port = 0;
};

/// @brief Appends records to a stream in one call; answered by AppendDone.
struct Append {
  base::AppendId append;
  base::StreamName stream;
  std::vector<std::string> records;
  /// Id of each record, in the same order.
  std::vector<base::RecordId> ids;
};

/// @brief Reads individual records of a stream; answered by RecordsFetched.
struct FetchRecords {
  base::StreamName stream;
  std::vector<base::Offset> offsets;
};

/// @brief Sends a message to another instance. Reliable messages use TCP, and a failure to deliver
/// them is reported by PeerSendFailed.
struct SendPeer {
  base::InstanceId to;
  schema::PeerMessage message;
  bool reliable = false;
};

/// @brief Sends a message as a datagram to every known peer.
struct BroadcastPeer {
  schema::PeerMessage message;
};

/// @brief The planned stop is complete; the process may exit.
struct Stopped {
  /// Description of unfinished work for the process's log; empty if there is none.
  std::string left;
};

/// @brief Another process registered a newer incarnation under this instance's id; this process
/// has to exit.
struct Superseded {};

using Action = std::variant<Reply, Dispatch, CancelAttempt, CloseIdleConnections, Append,
                            FetchRecords, SendPeer, BroadcastPeer, Stopped, Superseded>;

}  // namespace persimmonstair::scheduler

#endif  // PERSIMMONSTAIR_SCHEDULER_ACTIONS_HPP_
