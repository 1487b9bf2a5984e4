// A turn is answered whole. Half a second or less later all processes are killed, as at the end of
// a day, and start again. Its program goes on.
#include <array>
#include <csignal>
#include <string>

#include "../support-2/deployment.hpp"

namespace {

using namespace review;  // NOLINT: the case is written in the words of the stand-ins.

constexpr int kMemoryMb = 130;
constexpr int kRate = 100;
constexpr int kPrograms = 6;
/// From the last end of a turn to the kill; with TROUBLE=0 it comes later.
constexpr int kKillAfterMs = 250;
constexpr int kLateKillAfterMs = 3'000;
constexpr int kDownMs = 1'000;
/// The sheet's recover_s; the last 4 s of it are judged.
constexpr double kRecoverS = 12;
constexpr double kLastS = 4;
constexpr int kTryEveryMs = 400;
/// A turn may generate 280 tokens at most; it generates 40 (5 events, stride 8). The budget holds
/// many more such turns.
constexpr int kBudget = 500;
constexpr int kMaxTokens = 280;

std::string Turn(const std::string& id, const std::string& program, const std::string& previous) {
  std::string text =
      "POST /turn/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id +
      "\r\nX-Model: m\r\nX-Token-Count: 1000," + std::to_string(kMaxTokens) +
      "\r\nX-Deadline-Ms: 3000\r\nX-Program-Id: " + program +
      "\r\nX-Session-Id: 1\r\nX-Finish-Ms: 30000\r\nX-Token-Budget: " + std::to_string(kBudget) +
      "\r\n";
  if (!previous.empty()) text += "X-Previous-Turn: " + previous + "\r\n";
  return text + "Authorization: Bearer key1\r\nContent-Length: 5\r\n\r\nhello";
}

struct Program {
  bool kept = false;
  int tries = 0;
  int last_tries = 0;
  int reached = 0;
  std::string answers;
};

int Run() {
  Record record("review/6/record.txt");
  Store store;
  PutConfiguration(store, kRate);
  std::mutex mutex;
  std::vector<std::string> ran;
  const auto turn = [&](const Message& request, Socket& socket) {
    {
      const std::lock_guard lock(mutex);
      ran.push_back(request.Header("X-Request-Id"));
    }
    AnswerTurn(request, socket, 20);
  };
  Worker first(store, "w1", "agents", "krakow-a", turn);
  Worker second(store, "w2", "agents", "krakow-b", turn);
  std::vector<std::unique_ptr<Machine>> machines;
  for (const char* zone : {"krakow-a", "krakow-b", "tarnow"}) {
    machines.push_back(
        std::make_unique<Machine>(std::string("front-") + zone + "-1", zone, store, kMemoryMb));
  }
  if (!StartAll(machines, record)) return kNotRun;
  // A tenant's rate begins to collect with its first request.
  for (std::size_t m = 0; m < machines.size(); ++m) {
    const std::string id = "warm" + std::to_string(m);
    Ask(machines[m]->Port(), Turn(id, "program-" + id, ""), 3000);
  }
  SleepMs(3000);
  std::vector<Program> programs(kPrograms);
  std::vector<std::thread> clients;
  for (int n = 0; n < kPrograms; ++n) {
    clients.emplace_back([&, n] {
      const std::string number = std::to_string(n);
      const auto answer = Ask(machines[n % 3]->Port(), Turn("t" + number, "p" + number, ""), 3000);
      programs[n].kept = IsWholeTurn(answer);
    });
  }
  for (auto& client : clients) client.join();
  clients.clear();
  const double ended = Elapsed();
  int kept = 0;
  for (const Program& one : programs) kept += one.kept ? 1 : 0;
  record.Line("first turns: " + std::to_string(kept) + " of " + std::to_string(kPrograms) +
              " answered whole");
  SleepMs(Trouble() ? kKillAfterMs : kLateKillAfterMs);
  for (auto& machine : machines) machine->Kill();
  record.Line("all processes killed, " + std::to_string(Elapsed() - ended) +
              " s after the last answer");
  SleepMs(kDownMs);
  for (auto& machine : machines) machine->Start();
  for (auto& machine : machines) machine->AwaitReady(8000);
  record.Line("all processes are back");
  const double back = Elapsed();
  std::atomic<int> others{0};
  std::atomic<int> others_whole{0};
  for (int n = 0; n < kPrograms; ++n) {
    clients.emplace_back([&, n] {
      Program& one = programs[n];
      const std::string number = std::to_string(n);
      while (one.kept && one.reached == 0 && Elapsed() < back + kRecoverS) {
        const std::string id = "t" + number + "-" + std::to_string(++one.tries);
        const bool is_last = Elapsed() > back + kRecoverS - kLastS;
        if (is_last) ++one.last_tries;
        const auto answer =
            Ask(machines[(n + one.tries) % 3]->Port(), Turn(id, "p" + number, "t" + number), 3000);
        one.answers += " " + std::to_string(answer ? answer->Status() : 0);
        {
          const std::lock_guard lock(mutex);
          for (const std::string& request : ran) one.reached += request == id ? 1 : 0;
        }
        SleepMs(kTryEveryMs);
      }
    });
  }
  // First turns of other programs, which show that the workers are reached.
  for (int n = 0; Elapsed() < back + kRecoverS; ++n, SleepMs(kTryEveryMs)) {
    const std::string id = "other" + std::to_string(n);
    const auto answer = Ask(machines[n % 3]->Port(), Turn(id, "program-" + id, ""), 3000);
    if (Elapsed() < back + kRecoverS - kLastS) continue;
    ++others;
    if (IsWholeTurn(answer)) ++others_whole;
  }
  for (auto& client : clients) client.join();
  int lost = 0;
  for (int n = 0; n < kPrograms; ++n) {
    const Program& one = programs[n];
    if (one.kept && one.reached == 0) ++lost;
    record.Line("program " + std::to_string(n) + ": " + std::to_string(one.tries) +
                " tries to go on, " + std::to_string(one.reached) +
                " reached a worker; last answer" +
                (one.answers.size() < 4 ? "" : one.answers.substr(one.answers.size() - 4)));
  }
  record.Line("first turns of other programs in the last 4 s: " + std::to_string(others_whole) +
              " of " + std::to_string(others) + " served");
  if (kept < kPrograms || 5 * others_whole < 4 * others || others == 0) return kNotRun;
  record.Line("programs whose turn was answered whole and that reached no worker: " +
              std::to_string(lost) + " of " + std::to_string(kPrograms));
  record.Line(lost > 0 ? "LOST: broken" : "LOST: held");
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { return Run(); }
