// Lost answers of workers, a few in a hundred for some seconds. Afterwards, turns that repeat a
// usual text have to reach a worker.

#include "deployment.hpp"

namespace {

using review::Message;

constexpr int kDeadlineMs = 3000;
constexpr int kLostForMs = 3950;
/// Workers that lose answers: at most half of the nine.
constexpr int kLosingWorkers = 4;
/// One in so many of the requests that such a worker ran loses its answer.
constexpr int kLostOneIn = 20;
/// Half as many as on a busy day of the site, with twice as many turns, the most of its sheet.
constexpr int kProgramsPerSecond = 15;
/// Turns of a program after its first one. They say what users often say.
constexpr int kLaterTurns = 17;
constexpr int kThinkMs = 50;
constexpr char kUsualText[] = "Please continue.";
/// Longest time that the rule looks back for an unplanned disruption, and a second more.
constexpr int kCalmMs = 4000;
constexpr int kProgramsAfter = 6;
/// A turn that failed is sent again twice, and each attempt has one retry.
constexpr int kTries = 6;

struct Counts {
  std::atomic<bool> loses{false};
  std::atomic<int> ran{0};
  std::atomic<int> ran_at_losing{0};
  std::atomic<int> lost{0};
  std::mutex mutex;
  std::set<std::string> reached;
  std::map<std::string, int> lost_usual_at;
};

bool RunTurn(Counts& counts, int number, int& ran_here, const Message& request,
             review::Connection& connection) {
  const std::string id = request.Header("x-request-id");
  ++counts.ran;
  bool loses = false;
  {
    const std::lock_guard lock(counts.mutex);
    counts.reached.insert(id);
    if (counts.loses && number < kLosingWorkers) {
      ++counts.ran_at_losing;
      loses = ++ran_here % kLostOneIn == 0;
      if (loses && request.body.ends_with(kUsualText))
        ++counts.lost_usual_at["i-" + std::to_string(number)];
    }
  }
  review::SleepMs(20);
  if (loses) {
    ++counts.lost;
    connection.Reset();
    return false;
  }
  return connection.Send(review::StreamOf(request, {"one", "two", "three"}));
}

std::string Turn(const std::string& program, const std::string& id, const std::string& previous,
                 const std::string& body) {
  const std::string link = previous.empty() ? "" : "X-Previous-Turn: " + previous + "\r\n";
  return review::ClientRequest("POST", "/consult/turn", id, kDeadlineMs,
                               "X-Program-Id: " + program + "\r\nX-Session-Id: " + program +
                                   "\r\nX-Finish-Ms: 5200\r\nX-Model: m\r\nX-Token-Budget: 2240\r\n"
                                   "X-Token-Count: 40,42\r\n" +
                                   link,
                               body);
}

class Clients {
 public:
  Clients(const std::list<review::Entry>& entries, review::Record& record) : record_(record) {
    for (const auto& one : entries) entries_.push_back(&one);
  }

  // Sends a turn up to `tries` times, each time at another machine, and returns the id of the try
  // that was answered whole; empty if none was.
  std::string Send(const std::string& program, const std::string& name, const std::string& previous,
                   const std::string& body, int tries, std::vector<std::string>& ids) {
    for (int n = 0; n < tries; ++n) {
      const std::string id = program + "-" + name + "-" + std::to_string(n);
      ids.push_back(id);
      const auto at = static_cast<std::size_t>(next_++) % entries_.size();
      const Message answer =
          review::Call(*entries_[at], Turn(program, id, previous, body), kDeadlineMs);
      record_.Line("client " + id + " at machine " + std::to_string(at) + ": " +
                   std::to_string(answer.Status()) + (answer.complete ? "" : ", broken off"));
      if (answer.Status() == 200 && answer.complete) return id;
      review::SleepMs(n % 2 == 0 ? 20 : 200);
    }
    return {};
  }

 private:
  std::vector<const review::Entry*> entries_;
  review::Record& record_;
  std::atomic<int> next_{0};
};

// Programs of some turns each, begun at a steady rate.
void Traffic(Clients& clients, int for_ms, const std::string& prefix) {
  std::vector<std::thread> programs;
  const int count = for_ms * kProgramsPerSecond / 1000;
  for (int n = 0; n < count; ++n) {
    programs.emplace_back([&clients, name = prefix + std::to_string(n)] {
      std::vector<std::string> ids;
      std::string previous = clients.Send(name, "t1", {}, "The cord of " + name, 2, ids);
      for (int turn = 0; turn < kLaterTurns && !previous.empty(); ++turn) {
        review::SleepMs(kThinkMs);
        previous = clients.Send(name, "t" + std::to_string(2 + turn), previous, kUsualText, 2, ids);
      }
    });
    review::SleepMs(1000 / kProgramsPerSecond);
  }
  for (auto& one : programs) one.join();
}

int RunCase(const std::string& record_path) {
  review::Record record(record_path);
  const std::string folder = review::Folder();
  Counts counts;
  std::vector<int> ran_here(9);
  review::Store store;
  auto route = review::Route("consult", "stream", "quote-agents");
  route["retain"] = true;
  store.Put("keyed.op", "config", review::Configuration(nlohmann::json::array({route})).dump());
  std::list<review::Worker> workers;
  for (int n = 0; n < 9; ++n) {
    workers.emplace_back(
        store, "i-" + std::to_string(n), "quote-agents", review::kZones[n % 3],
        [&counts, &ran_here, n](review::Worker&, const Message& request, review::Connection& c) {
          return RunTurn(counts, n, ran_here[n], request, c);
        });
  }
  std::list<review::Entry> entries;
  for (const auto& zone : review::kZones) {
    entries.emplace_back("front-" + zone + "-1", zone, store.Port(), folder);
  }
  for (const auto& one : entries) one.AwaitReady();
  review::SleepMs(2000);
  Clients clients(entries, record);
  counts.loses = review::Trouble();
  record.Line(counts.loses ? "four of nine workers lose one answer in twenty" : "no disruption");
  std::thread end([&] {
    review::SleepMs(kLostForMs);
    counts.loses = false;
    record.Line("the disruption is over: " + std::to_string(counts.lost) + " answers of " +
                std::to_string(counts.ran_at_losing) + " requests lost");
  });
  Traffic(clients, kLostForMs, "a");
  end.join();
  for (const auto& [worker, n] : counts.lost_usual_at) {
    record.Line("  of them " + std::to_string(n) + " of turns with the usual text at " + worker);
  }
  review::SleepMs(kCalmMs);
  int first_turns = 0;
  int first_reached = 0;
  int unreached = 0;
  int probed = 0;
  for (int n = 0; n < kProgramsAfter; ++n) {
    const std::string name = "b" + std::to_string(n);
    std::vector<std::string> ids;
    const std::string first = clients.Send(name, "t1", {}, "The medal of " + name, 2, ids);
    ++first_turns;
    if (first.empty()) continue;
    ++first_reached;
    review::SleepMs(150);
    ids.clear();
    clients.Send(name, "t2", first, kUsualText, kTries, ids);
    ++probed;
    const std::lock_guard lock(counts.mutex);
    const bool reached = std::any_of(ids.begin(), ids.end(),
                                     [&](const auto& id) { return counts.reached.contains(id); });
    if (!reached && ids.size() >= 5) ++unreached;
    record.Line("turn " + name + "-t2 " + (reached ? "reached a worker" : "reached no worker") +
                " in " + std::to_string(ids.size()) + " tries");
  }
  record.Line(std::to_string(first_reached) + " of " + std::to_string(first_turns) +
              " first turns reached a worker; " + std::to_string(unreached) + " of " +
              std::to_string(probed) + " second turns reached none in five tries or more");
  if (probed == 0 || first_reached * 10 < first_turns * 9) return review::kNotRun;
  return unreached > 0 ? review::kBroken : review::kHeld;
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
