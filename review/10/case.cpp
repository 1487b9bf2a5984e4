// A request crashes the worker that runs it and comes again every few seconds. The worker comes
// back under the id that it had.
#include <algorithm>
#include <string>

#include "../support-2/deployment.hpp"

namespace {

using namespace review;  // NOLINT: the case is written in the words of the stand-ins.

constexpr int kMemoryMb = 130;
constexpr int kRate = 100;
constexpr int kWorkers = 3;
constexpr int kTries = 13;
constexpr int kTryEveryMs = 4'500;
constexpr int kBackAfterMs = 2'500;
constexpr int kPauseMs = 100;
constexpr double kContactS = 3;
const std::string kCrashing = "crashes whoever runs it";

struct Crash {
  double at = 0;
  std::string worker;
  std::string request;
};

/// The workers of one service in one zone, which crash when they begin to run kCrashing.
class Workers {
 public:
  explicit Workers(Store& store) : store_(store), workers_(kWorkers), starts_(kWorkers, 0) {
    for (int n = 0; n < kWorkers; ++n) Start(n);
    keeper_ = std::thread([this] { Restart(); });
  }
  ~Workers() {
    over_ = true;
    keeper_.join();
  }

  std::vector<Crash> Crashes() {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

 private:
  // With TROUBLE=0 each start has a new id.
  std::string Id(int n) const {
    return "i-" + std::to_string(n) + (Trouble() ? "" : "-" + std::to_string(starts_[n]));
  }

  void Start(int n) {
    ++starts_[n];
    workers_[n] = std::make_unique<Worker>(
        store_, Id(n), "agents", "krakow-a",
        [this, n, id = Id(n)](const Message& request, Socket& socket) {
          if (request.body != kCrashing) {
            AnswerTurn(request, socket, kPauseMs);
            return;
          }
          {
            const std::lock_guard lock(mutex_);
            crashes_.push_back({Elapsed(), id, request.Header("X-Request-Id")});
          }
          workers_[n]->Crash();
          crashed_ = n;
        });
  }

  void Restart() {
    while (!over_) {
      SleepMs(1);
      const int n = crashed_.exchange(-1);
      if (n < 0) continue;
      SleepMs(kBackAfterMs);
      const std::string before = Id(n);
      workers_[n].reset();
      // Another id: the entry of the start before lapses.
      if (!Trouble()) store_.Put("keyed.servers", before, std::nullopt);
      Start(n);
    }
  }

  Store& store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<int> starts_;
  std::mutex mutex_;
  std::vector<Crash> crashes_;
  std::atomic<int> crashed_{-1};
  std::atomic<bool> over_{false};
  std::thread keeper_;
};

int Run() {
  Record record("review/10/record.txt");
  Store store;
  PutConfiguration(store, kRate);
  Workers workers(store);
  std::vector<std::unique_ptr<Machine>> machines;
  for (const char* zone : {"krakow-a", "krakow-b", "tarnow"}) {
    machines.push_back(
        std::make_unique<Machine>(std::string("front-") + zone + "-1", zone, store, kMemoryMb));
  }
  if (!StartAll(machines, record)) return kNotRun;
  // A tenant's rate begins to collect with its first request.
  Ask(machines[0]->Port(), ToText({"warm", "key1", "warm", "", "hello"}), 3000);
  std::atomic<bool> over{false};
  std::atomic<int> sent{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> ordinary;
  for (int c = 0; c < 6; ++c) {
    ordinary.emplace_back([&, c] {
      for (int n = 0; !over; ++n) {
        const std::string id = "o" + std::to_string(c) + "-" + std::to_string(n);
        const auto answer =
            Ask(machines[c % 3]->Port(), ToText({id, "key2", "program-" + id, "", "hello"}), 3000);
        const bool refused = answer && (answer->Status() == 429 || answer->Status() == 503);
        ++sent;
        if (!IsWholeTurn(answer) && !refused) ++cut;
        if (refused) SleepMs(200);
      }
    });
  }
  SleepMs(2000);
  int tries = 0;
  for (int n = 0; n < kTries; ++n) {
    const std::string id = "crashing" + std::to_string(n);
    const auto answer =
        Ask(machines[0]->Port(), ToText({id, "key1", "program", "", kCrashing}), 3000);
    record.Line("sent " + id + ": " + (answer ? answer->first_line : "no answer"));
    if (answer && answer->Status() != 429) ++tries;
    SleepMs(kTryEveryMs);
  }
  over = true;
  for (auto& caller : ordinary) caller.join();
  const std::vector<Crash> crashes = workers.Crashes();
  for (const Crash& one : crashes) {
    record.Line(one.request + " crashed " + one.worker + " at " + std::to_string(one.at) + " s");
  }
  const auto late = std::count_if(crashes.begin(), crashes.end(), [&](const Crash& one) {
    return crashes.size() > 3 && one.at > crashes[2].at + kContactS;
  });
  record.Line("ordinary turns: " + std::to_string(sent) + " sent, " + std::to_string(cut) +
              " lost or cut");
  record.Line("tries that reached a worker later than contact_ms after the third crash: " +
              std::to_string(late));
  if (tries < kTries || crashes.size() < 3) return kNotRun;
  record.Line(late > 3 ? "BUDGET: broken" : "BUDGET: held");
  return late > 3 ? kBroken : kHeld;
}

}  // namespace

int main() { return Run(); }
