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

/// @brief A caller's connection as the server sees it. The functions may be called from any thread.
class CallerSession {
 public:
  virtual ~CallerSession() = default;
  virtual void PostReply(scheduler::Reply reply) = 0;
  virtual void PostRelay(base::RequestId request, std::string data) = 0;
  virtual void PostClose() = 0;
};

/// @brief State shared by the server and its connections.
class CallerServerState {
 public:
  CallerServerState(CallerServerOptions server_options, CallerServerHandlers server_handlers)
      : options(std::move(server_options)), handlers(std::move(server_handlers)) {}

  const CallerServerOptions options;
  const CallerServerHandlers handlers;
  std::atomic<bool> draining{false};

  enum class Admission { kServe, kReject, kDrop };

  /// Beyond the allowed connections some get an answer that says so, and the rest none.
  Admission AddSession(const std::shared_ptr<CallerSession>& session);
  void RemoveSession(const CallerSession* session);
  void CloseAll();
  std::size_t Connections() const;

  /// Makes a request known; it is answered by whoever takes it.
  void AddRequest(base::RequestId request, const std::shared_ptr<CallerSession>& session);
  /// Null if the request has been taken: it is answered or its caller is gone.
  std::shared_ptr<CallerSession> TakeRequest(base::RequestId request);
  std::shared_ptr<CallerSession> FindRequest(base::RequestId request) const;

  /// Requests whose answer has not been written.
  void AddPendingResponse();
  void RemovePendingResponse();
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
