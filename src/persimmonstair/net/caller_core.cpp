#include "caller_core.hpp"

#include <vector>

namespace persimmonstair::net {
namespace {

// Connections beyond the bound that get an answer, where an eighth of the bound is less.
constexpr std::size_t kMinRefused = 16;

}  // namespace

CallerCore::Admission CallerCore::AddSession(const std::shared_ptr<CallerSession>& session) {
  const std::lock_guard lock(mutex_);
  const std::size_t max = options.caller.max_connections;
  if (closed_ || sessions_.size() >= max + max / 8 + kMinRefused) return Admission::kDrop;
  sessions_.emplace(session.get(), session);
  return sessions_.size() > max ? Admission::kRefuse : Admission::kServe;
}

void CallerCore::RemoveSession(const CallerSession* session) {
  const std::lock_guard lock(mutex_);
  sessions_.erase(session);
}

void CallerCore::CloseAll() {
  std::vector<std::shared_ptr<CallerSession>> open;
  // Requests refer to their connections and those to this object; dropping them ends the cycle
  // even if the connections' threads have already stopped.
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

std::size_t CallerCore::connections() const {
  const std::lock_guard lock(mutex_);
  return sessions_.size();
}

void CallerCore::Open(base::RequestId request, const std::shared_ptr<CallerSession>& session) {
  const std::lock_guard lock(mutex_);
  requests_.emplace(request.value, session);
}

std::shared_ptr<CallerSession> CallerCore::Take(base::RequestId request) {
  const std::lock_guard lock(mutex_);
  const auto it = requests_.find(request.value);
  if (it == requests_.end()) return nullptr;
  auto session = std::move(it->second);
  requests_.erase(it);
  return session;
}

std::shared_ptr<CallerSession> CallerCore::Find(base::RequestId request) const {
  const std::lock_guard lock(mutex_);
  const auto it = requests_.find(request.value);
  return it == requests_.end() ? nullptr : it->second;
}

void CallerCore::BeginAnswer() {
  const std::lock_guard lock(mutex_);
  ++unanswered_;
}

void CallerCore::EndAnswer() {
  {
    const std::lock_guard lock(mutex_);
    --unanswered_;
  }
  answered_.notify_all();
}

bool CallerCore::WaitUntilAnswered(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return answered_.wait_for(lock, timeout, [this] { return unanswered_ == 0; });
}

}  // namespace persimmonstair::net
