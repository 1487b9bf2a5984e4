// Conversations whose sub-agents send two turns at once, while a part of the store is down. One of
// the two turns is answered whole. The user goes on ten seconds later.

#include "deployment.hpp"

namespace {

using review::Message;

constexpr int kConversations = 10;
constexpr int kDeadlineMs = 3000;
constexpr int kRetainMs = 20'000;
/// Pauses of the user before the second, third and fourth turn, and before the last one. All are
/// well below the time for which turns are kept.
constexpr int kPausesMs[] = {12'000, 12'000, 16'000};
constexpr int kLastPauseMs = 10'000;
constexpr int kWorkMs = 300;
constexpr int kStaggerMs = 100;
/// Time between the turns of the two sub-agents.
constexpr int kSecondAgentMs = 50;
/// When a part of the store goes down after the first turns, and for how long.
constexpr int kDownAfterMs = 40'000;
constexpr int kDownForMs = 4500;
/// Partitions of the system: 40 topics of 8 for turns, and a few others.
constexpr double kPartitions = 320;
constexpr double kDownShare = 0.3;

bool RunTurn(const Message& request, review::Connection& connection) {
  review::SleepMs(kWorkMs);
  return connection.Send(review::StreamOf(request, {"one", "two", "three"}));
}

class Conversation {
 public:
  Conversation(std::string name, const review::Entry& at, review::Record& record)
      : name_(std::move(name)), record_(record), at_(at) {}

  void Run() {
    std::string previous = Turn("t1", {}).id;
    for (int n = 0; n < 2 && !previous.empty(); ++n) {
      review::SleepMs(kPausesMs[n]);
      previous = Turn("t" + std::to_string(2 + n), previous).id;
    }
    if (previous.empty()) return;
    review::SleepMs(kPausesMs[2]);
    Whole first;
    std::thread agent([&] { first = Turn("t4-agent-1", previous); });
    review::SleepMs(kSecondAgentMs);
    Whole second = Turn("t4-agent-2", previous);
    if (second.id.empty()) {
      agent.join();
      return;
    }
    review::SleepMs(kLastPauseMs);
    agent.join();
    const Message last = Send("t5", second.id);
    const auto age = record_.NowMs() - second.at;
    ran_ = last.Status() == 200 && last.complete;
    lost_ = last.Status() == 404 && age < kRetainMs;
    if (lost_) {
      record_.Line(name_ + "-t5 was answered 404; " + second.id + " was answered whole " +
                   std::to_string(age) + " ms ago and is kept for " + std::to_string(kRetainMs) +
                   " ms");
    }
  }

  /// The last turn was answered 404 although the one before is kept.
  bool Lost() const { return lost_; }
  bool Ran() const { return ran_; }

 private:
  struct Whole {
    /// Id of the turn that was answered whole; empty if none was.
    std::string id;
    std::int64_t at = 0;
  };

  Message Send(const std::string& turn, const std::string& previous) {
    const std::string id = name_ + "-" + turn;
    const std::string link = previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n";
    const auto sent = record_.NowMs();
    Message answer =
        review::Call(at_,
                     review::ClientRequest("POST", "/consult/turn", id, kDeadlineMs,
                                           "X-Program-Id: " + name_ + "\r\nX-Session-Id: " + name_ +
                                               "\r\nX-Finish-Ms: 90000\r\nX-Model: m\r\n"
                                               "X-Token-Count: 40,42\r\n" +
                                               link,
                                           "input of " + id + ";"),
                     kDeadlineMs + 500);
    record_.Line("client " + id + ", sent at " + std::to_string(sent) + ": " +
                 std::to_string(answer.Status()) + (answer.complete ? "" : ", broken off"));
    return answer;
  }

  Whole Turn(const std::string& turn, const std::string& previous) {
    const Message answer = Send(turn, previous);
    if (answer.Status() != 200 || !answer.complete) return {};
    return {name_ + "-" + turn, record_.NowMs()};
  }

  std::string name_;
  review::Record& record_;
  const review::Entry& at_;
  bool lost_ = false;
  bool ran_ = false;
};

int RunCase(const std::string& record_path) {
  review::Record record(record_path);
  const std::string folder = review::Folder();
  review::Store store;
  auto route = review::Route("consult", "stream", "quote-agents");
  route["retain"] = true;
  route["retain_s"] = kRetainMs / 1000.0;
  store.Put("keyed.op", "config", review::Configuration(nlohmann::json::array({route})).dump());
  std::list<review::Worker> workers;
  for (int n = 0; n < 9; ++n) {
    workers.emplace_back(store, "i-" + std::to_string(n), "quote-agents", review::kZones[n % 3],
                         [](review::Worker&, const Message& request, review::Connection& c) {
                           return RunTurn(request, c);
                         });
  }
  std::list<review::Entry> entries;
  for (const auto& zone : review::kZones) {
    entries.emplace_back("front-" + zone + "-1", zone, store.Port(), folder);
  }
  for (const auto& one : entries) one.AwaitReady();
  review::SleepMs(2000);
  record.Line("three machines are ready");
  std::list<Conversation> conversations;
  std::vector<std::thread> clients;
  const auto begun = review::Clock::now();
  for (int n = 0; n < kConversations; ++n) {
    conversations.emplace_back("p" + std::to_string(n), *std::next(entries.begin(), n % 3), record);
    clients.emplace_back([one = &conversations.back()] { one->Run(); });
    review::SleepMs(kStaggerMs);
  }
  if (review::Trouble()) {
    std::this_thread::sleep_until(begun + std::chrono::milliseconds(kDownAfterMs));
    std::size_t parts = 0;
    for (int n = 0; n < kConversations; ++n) {
      parts = store.TakeDownPartsWith("p" + std::to_string(n) + "-t1");
    }
    record.Line(std::to_string(parts) + " partitions of the store are down");
    if (static_cast<double>(parts) > kDownShare * kPartitions) return review::kNotRun;
    review::SleepMs(kDownForMs);
    store.BringPartsBack();
    record.Line("all partitions are back");
  }
  for (auto& client : clients) client.join();
  int lost = 0;
  int ran = 0;
  for (const auto& one : conversations) {
    lost += one.Lost() ? 1 : 0;
    ran += one.Ran() ? 1 : 0;
  }
  record.Line("of " + std::to_string(kConversations) + " last turns " + std::to_string(ran) +
              " ran and " + std::to_string(lost) +
              " were answered 404 though the turn before is kept");
  if (ran + lost < kConversations / 2) return review::kNotRun;
  return lost > 0 ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return argc == 2 ? RunCase(argv[1]) : review::kNotRun;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
