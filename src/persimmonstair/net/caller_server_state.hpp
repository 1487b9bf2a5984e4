#ifndef PERSIMMONSTAIR_SRC_NET_CALLER_SERVER_STATE_HPP_
#define PERSIMMONSTAIR_SRC_NET_CALLER_SERVER_STATE_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "persimmonstair/net/caller_server.hpp"

namespace persimmonstair::net {

/// @brief Interface of a caller's connection. The functions may be called from any thread.
class CallerSession {
 public:
  virtual ~CallerSession() = default;
  virtual void PostReply(scheduler::Reply reply) = 0;
  virtual void PostRelay(base::RequestId request, std::string data) = 0;
  virtual void PostClose() = 0;
};

/// @brief State shared by the server and its connections: the open connections (sessions), requests
/// without a reply, and the number of unfinished responses. Thread-safe.
class CallerServerState {
 public:
  CallerServerState(CallerServerOptions server_options, CallerServerHandlers server_handlers)
      : options(std::move(server_options)), handlers(std::move(server_handlers)) {}

  const CallerServerOptions options;
  const CallerServerHandlers handlers;
  /// Set by CallerServer::BeginDrain(): responses close their connections.
  std::atomic<bool> draining{false};

  enum class Admission { kServe, kReject, kDrop };

  /// Registers a connection. Over the limit, some connections get an error response (kReject);
  /// further ones, and all after CloseAll(), are closed without being registered (kDrop).
  Admission AddSession(const std::shared_ptr<CallerSession>& session);
  void RemoveSession(const CallerSession* session);
  void CloseAll();
  std::size_t Connections() const;

  /// Registers a request that awaits its reply.
  void AddRequest(base::RequestId request, const std::shared_ptr<CallerSession>& session);
  /// Removes a request and returns its connection. Null if the request got its reply or its
  /// connection was closed. Only the code that removed a request may complete it.
  std::shared_ptr<CallerSession> TakeRequest(base::RequestId request);
  /// As TakeRequest(), but keeps the request.
  std::shared_ptr<CallerSession> FindRequest(base::RequestId request) const;

  /// Counts the requests whose response has not been written completely.
  void AddPendingResponse();
  void RemovePendingResponse();
  /// Waits until no response is pending. Returns false on timeout.
  bool WaitUntilAnswered(std::chrono::milliseconds timeout);

 private:
  mutable std::mutex mutex_;
  std::condition_variable response_finished_;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerSession>> requests_;
  std::unordered_map<const CallerSession*, std::weak_ptr<CallerSession>> sessions_;
  std::size_t pending_responses_ = 0;
  bool closed_ = false;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_CALLER_SERVER_STATE_HPP_
