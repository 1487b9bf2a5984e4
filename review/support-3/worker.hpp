#ifndef REVIEW_SUPPORT_3_WORKER_HPP_
#define REVIEW_SUPPORT_3_WORKER_HPP_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "net.hpp"
#include "store.hpp"

namespace review {

/// @brief What a worker says of itself in its entry.
struct WorkerIdentity {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  int slots = 8;
};

/// @brief How a worker answers.
struct WorkerWork {
  /// Time that a plain request takes.
  milliseconds plain{2};
  /// Events of a stream, and the pause before each of them.
  int events = 3;
  milliseconds gap{10};
};

/// @brief A request that a worker began to run.
struct Run {
  std::string worker;
  std::string version;
  std::string request;
  std::string tenant;
  /// Id of the last event that the client or the system says it has.
  std::string last_event;
  std::size_t body_bytes = 0;
  std::string body;
};

/// @brief Stand-in of a worker: registers in the store, beats every 1.2 s, runs requests. Answers
/// requests for other workers with 421, and 503 with X-Not-Run when it is full.
class Worker {
 public:
  using OnRun = std::function<void(const Run&)>;

  Worker(Store& store, const WorkerIdentity& identity, const std::string& ip, std::uint16_t port,
         const WorkerWork& work, OnRun on_run);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  const Address& At() const { return listener_->At(); }

 private:
  static constexpr milliseconds kBeatInterval{1200};
  static constexpr int kQueue = 24;

  void Beat();
  void Register();
  void Serve(Connection& connection);
  /// Returns false if the connection has ended.
  bool Answer(Connection& connection, const Message& request);
  bool AnswerPlain(Connection& connection, const std::string& id);
  bool AnswerStream(Connection& connection, const Message& request, const std::string& id);
  std::string Load() const;

  Store& store_;
  WorkerIdentity identity_;
  WorkerWork work_;
  OnRun on_run_;
  std::int64_t born_ms_;
  std::atomic<int> running_{0};
  std::atomic<int> seq_{0};
  std::atomic<bool> stopping_{false};
  std::unique_ptr<Listener> listener_;
  std::thread beating_;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_3_WORKER_HPP_
