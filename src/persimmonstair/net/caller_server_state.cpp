#include "caller_server_state.hpp"

#include <vector>

namespace persimmonstair::net {
namespace {

// Number of connections over the limit that get an error response, in addition to an eighth of the
// limit. Further connections are closed without a response.
constexpr std::size_t kMinRejectedSessions = 16;

}  // namespace

CallerServerState::Admission CallerServerState::AddSession(
    const std::shared_ptr<CallerSession>& session) {
  const std::lock_guard lock(mutex_);
  const std::size_t max = options.caller.max_connections;
  if (closed_ || sessions_.size() >= max + max / 8 + kMinRejectedSessions) return Admission::kDrop;
  sessions_.emplace(session.get(), session);
  return sessions_.size() > max ? Admission::kReject : Admission::kServe;
}

void CallerServerState::RemoveSession(const CallerSession* session) {
  const std::lock_guard lock(mutex_);
  sessions_.erase(session);
}

void CallerServerState::CloseAll() {
  std::vector<std::shared_ptr<CallerSession>> open;
  // Requests hold their connections, which hold this object. Clearing the requests breaks that
  // cycle even if the threads of the connections have already stopped.
  decltype(requests_) requests;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    requests.swap(requests_);
    for (const auto& [key, session] : sessions_) {
      if (auto alive = session.lock()) open.push_back(std::move(alive));
    }
  }
  for (const auto& session : open) session->PostClose();
}

std::size_t CallerServerState::Connections() const {
  const std::lock_guard lock(mutex_);
  return sessions_.size();
}

void CallerServerState::AddRequest(base::RequestId request,
                                   const std::shared_ptr<CallerSession>& session) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(request.value, session);
}

std::shared_ptr<CallerSession> CallerServerState::TakeRequest(base::RequestId request) {
  const std::lock_guard lock(mutex_);
  const auto it = requests_.find(request.value);
  if (it == requests_.end()) return nullptr;
  auto session = std::move(it->second);
  requests_.erase(it);
  return session;
}

std::shared_ptr<CallerSession> CallerServerState::FindRequest(base::RequestId request) const {
  const std::lock_guard lock(mutex_);
  const auto it = requests_.find(request.value);
  return it == requests_.end() ? nullptr : it->second;
}

void CallerServerState::AddPendingResponse() {
  const std::lock_guard lock(mutex_);
  ++pending_responses_;
}

void CallerServerState::RemovePendingResponse() {
  {
    const std::lock_guard lock(mutex_);
    --pending_responses_;
  }
  response_finished_.notify_all();
}

bool CallerServerState::WaitUntilAnswered(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return response_finished_.wait_for(lock, timeout, [this] { return pending_responses_ == 0; });
}

}  // namespace persimmonstair::net
