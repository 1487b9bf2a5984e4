// Conversations in which users pause for nearly as long as turns are kept. The store is down for
// two seconds while some of their turns end.

#include "deployment.hpp"

namespace {

using review::Message;

constexpr int kConversations = 10;
constexpr int kDeadlineMs = 3000;
constexpr int kRetainMs = 20'000;
/// Pauses of the user, all shorter than the time for which turns are kept.
constexpr int kFirstPauseMs = 15'000;
constexpr int kSecondPauseMs = 14'000;
constexpr int kLastPauseMs = kRetainMs - 600;
constexpr int kWorkMs = 300;
constexpr int kStaggerMs = 300;
/// When the store goes down, after the first turn of the first conversation, and for how long.
constexpr int kDownAfterMs = 29'600;
constexpr int kDownForMs = 2200;

bool RunTurn(const Message& request, review::Connection& connection) {
  review::SleepMs(kWorkMs);
  return connection.Send(review::StreamOf(request, {"one", "two", "three"}));
}

class Conversation {
 public:
  Conversation(std::string name, const std::list<review::Entry>& entries, std::size_t first,
               review::Record& record)
      : name_(std::move(name)), record_(record), at_(first) {
    for (const auto& one : entries) entries_.push_back(&one);
  }

  void Run() {
    if (!Turn()) return;
    review::SleepMs(kFirstPauseMs);
    if (!Turn()) return;
    review::SleepMs(kSecondPauseMs);
    if (!Turn()) return;
    review::SleepMs(kLastPauseMs);
    Turn();
  }

  /// Turns that were answered 404 although the one before was answered whole less than the time for
  /// which turns are kept before.
  int Lost() const { return lost_; }
  int Whole() const { return whole_; }

 private:
  // Sends the next turn, again after each refusal; returns true if it was answered whole.
  bool Turn() {
    const std::string turn = name_ + "-t" + std::to_string(++number_);
    const auto begun = review::Clock::now();
    for (int n = 0; n < 40; ++n) {
      const std::string id = turn + "-" + std::to_string(n);
      const std::string link = previous_.empty() ? "" : "X-Previous-Turn: " + previous_ + "\r\n";
      const auto sent = record_.NowMs();
      const auto at = at_ % entries_.size();
      const Message answer = review::Call(
          *entries_[at],
          review::ClientRequest("POST", "/consult/turn", id, kDeadlineMs,
                                "X-Program-Id: " + name_ + "\r\nX-Session-Id: " + name_ +
                                    "\r\nX-Finish-Ms: 90000\r\nX-Model: m\r\n"
                                    "X-Token-Count: 40,42\r\n" +
                                    link,
                                "input of " + turn + ";"),
          kDeadlineMs + 500);
      const auto now = record_.NowMs();
      record_.Line("client " + id + " at machine " + std::to_string(at) + ", sent at " +
                   std::to_string(sent) + ": " + std::to_string(answer.Status()) +
                   (answer.complete ? "" : ", broken off"));
      if (answer.Status() == 200 && answer.complete) {
        previous_ = id;
        whole_at_ = now;
        ++whole_;
        return true;
      }
      if (answer.Status() == 404) {
        const auto age = now - whole_at_;
        if (!previous_.empty() && age < kRetainMs) {
          ++lost_;
          record_.Line(id + " was answered 404; " + previous_ + " was answered whole " +
                       std::to_string(age) + " ms ago and is kept for " +
                       std::to_string(kRetainMs) + " ms");
        }
        return false;
      }
      review::SleepMs(200);
      // A client that is refused goes to another machine.
      ++at_;
      if (review::Clock::now() - begun > std::chrono::seconds(8)) break;
    }
    return false;
  }

  std::string name_;
  review::Record& record_;
  std::vector<const review::Entry*> entries_;
  std::size_t at_;
  std::string previous_;
  std::int64_t whole_at_ = 0;
  int number_ = 0;
  int lost_ = 0;
  int whole_ = 0;
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
  std::thread trouble([&] {
    if (!review::Trouble()) return;
    review::SleepMs(kDownAfterMs + kWorkMs);
    record.Line("the store is down");
    store.down = true;
    review::SleepMs(kDownForMs);
    store.down = false;
    record.Line("the store is back");
  });
  for (int n = 0; n < kConversations; ++n) {
    conversations.emplace_back("p" + std::to_string(n), entries, static_cast<std::size_t>(n),
                               record);
    clients.emplace_back([one = &conversations.back()] { one->Run(); });
    review::SleepMs(kStaggerMs);
  }
  for (auto& client : clients) client.join();
  trouble.join();
  int lost = 0;
  int whole = 0;
  for (const auto& one : conversations) {
    lost += one.Lost();
    whole += one.Whole();
  }
  record.Line(std::to_string(whole) + " turns were answered whole; " + std::to_string(lost) +
              " were answered 404 though the turn before is kept");
  if (whole < 3 * kConversations) return review::kNotRun;
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
