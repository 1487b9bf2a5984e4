// A small deployment like those of the users' sheets: its configuration, requests and workers.
#ifndef PERSIMMONSTAIR_REVIEW_SUPPORT_2_DEPLOYMENT_HPP_
#define PERSIMMONSTAIR_REVIEW_SUPPORT_2_DEPLOYMENT_HPP_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins.hpp"

namespace review {

inline constexpr int kBroken = 1;
inline constexpr int kHeld = 0;
inline constexpr int kNotRun = 2;

/// Writes the configuration: routes /turn/ (kept streams), /order/ (non-idempotent) and /note/
/// (idempotent), and two tenants with the keys key1 and key2 and a rate of `rate` a second each.
/// Orders may take `order_timeout_ms`.
void PutConfiguration(Store& store, int rate, int order_timeout_ms = 6000);

/// What a turn carries besides the usual headers.
struct TurnRequest {
  std::string id;
  std::string key;
  std::string program;
  std::string previous;
  std::string body;
};
std::string ToText(const TurnRequest& turn);

/// Answers a turn with five events, `pause_ms` apart.
void AnswerTurn(const Message& request, Socket& socket, int pause_ms);

/// True if a turn was answered with status 200, all five events and the end of the stream.
bool IsWholeTurn(const std::optional<Message>& answer);

/// @brief Ends a process that exceeds the memory of its machine and starts it again after a short
/// delay, as the platform does.
class MemoryGuard {
 public:
  MemoryGuard(Machine& machine, int memory_mb, Record& record);
  ~MemoryGuard();
  /// Ends of the process since the start: kills for its memory, and ends by itself.
  int Ends() const { return ends_; }
  std::size_t PeakKb() const { return peak_kb_; }

 private:
  void Run();

  Machine& machine_;
  std::size_t limit_kb_;
  Record& record_;
  std::atomic<int> ends_{0};
  std::atomic<std::size_t> peak_kb_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// Three machines in three zones; false, with a line in the record, if they don't become ready.
bool StartAll(std::vector<std::unique_ptr<Machine>>& machines, Record& record);

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_SUPPORT_2_DEPLOYMENT_HPP_
