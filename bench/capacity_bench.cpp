// Measures the costs listed in docs/CAPACITY.md that no other benchmark prints: catalogue changes,
// key look-up, heartbeats and an idle instance, each at three sizes.
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "persimmonstair/catalogue/catalogue.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair {
namespace {

double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

template <class Run>
double MicrosPerRun(int runs, Run run) {
  const double begin = CpuMicros();
  for (int n = 0; n < runs; ++n) run(n);
  return (CpuMicros() - begin) / runs;
}

std::string Digest(int number) {
  char buf[65];
  std::snprintf(buf, sizeof buf, "%064x", static_cast<unsigned>(number));
  return buf;
}

// Creates a catalogue in the proportions of the target size: 10 targets and 1 key for each
// workspace.
schema::CatalogueChange MakeCatalogue(int workspaces) {
  schema::CatalogueChange change;
  change.id = {"first"};
  const std::string owner_and_class = R"("owner":"o","class":"c")";
  change.edits.push_back({"models", "m", 0, false, "{" + owner_and_class + "}"});
  for (int n = 0; n < workspaces; ++n) {
    const std::string name = "w" + std::to_string(n);
    change.edits.push_back(
        {"workspaces", name, 0, false, "{" + owner_and_class + R"(,"rate_per_s":5,"burst":10})"});
    std::string key = "{" + owner_and_class;
    key.append(R"(,"workspace":")").append(name);
    key.append(R"(","sha256":")").append(Digest(n)).append(R"("})");
    change.edits.push_back({"keys", name, 0, false, std::move(key)});
    for (int t = 0; t < 10; ++t) {
      change.edits.push_back(
          {"targets", name + "-" + std::to_string(t), 0, false,
           "{" + owner_and_class +
               R"(,"kind":"engine","data_centre":"d","address":"127.0.0.1","port":1,"models":["m"]})"});
    }
  }
  return change;
}

void PrintCatalogue(int workspaces) {
  catalogue::Catalogue catalogue;
  const auto first = MakeCatalogue(workspaces);
  if (const auto done = catalogue.Apply({0}, first); !done) {
    std::printf("catalogue: %s\n", done.error().message.c_str());
    return;
  }
  std::uint64_t version = 1;
  std::uint64_t offset = 0;
  const double apply = MicrosPerRun(5, [&](int n) {
    schema::CatalogueChange change;
    change.id = {"c" + std::to_string(n)};
    change.edits.push_back({"workspaces", "w0", version, false, first.edits[1].value});
    if (catalogue.Apply({++offset}, change)) version = catalogue.version();
  });
  std::array<std::uint8_t, 32> digest{};
  const double find = MicrosPerRun(2000, [&](int n) {
    digest[31] = static_cast<std::uint8_t>(n);
    if (catalogue.FindKey(digest) == nullptr) digest[30] = 0;
  });
  std::printf("| %5zu | %10.0f | %8.2f | %9zu |\n", first.edits.size(), apply, find,
              catalogue.Snapshot().size());
}

schema::Heartbeat MakeHeartbeat() {
  schema::Heartbeat heartbeat;
  heartbeat.data_centre = {"region-1-b"};
  heartbeat.state = "live";
  for (int n = 0; n < 20; ++n) heartbeat.in_flight[{"engine-" + std::to_string(n)}] = 3;
  for (int n = 0; n < 12; ++n) heartbeat.attained_us[{"workspace-" + std::to_string(n)}] = 1000;
  return heartbeat;
}

void PrintIdle(int peers) {
  scheduler::Options options;
  options.instance = {"i0"};
  options.data_centre = {"region-1-b"};
  options.process = "i0-1";
  options.incarnation = {1};
  for (int n = 1; n <= peers; ++n) {
    options.peers.push_back({{"i" + std::to_string(n)}, {"region-1-b"}});
  }
  scheduler::Scheduler scheduler{options};
  base::Now now{base::TimePoint{std::chrono::seconds{1}}, {}};
  const auto heartbeat = MakeHeartbeat();
  std::size_t bytes = 0;
  const int seconds = 20;
  const double begin = CpuMicros();
  for (int tick = 0; tick < seconds * 20; ++tick) {
    now.monotonic += std::chrono::milliseconds{50};
    scheduler.Handle(now, scheduler::Tick{});
    if (tick % 10 != 0) continue;
    for (int n = 1; n <= peers; ++n) {
      const std::string text = schema::EncodePeer(heartbeat);
      bytes += text.size();
      auto message = schema::DecodePeer(text);
      if (!message) continue;
      scheduler.Handle(now, scheduler::PeerReceived{{"i" + std::to_string(n)}, {1}, *message, {}});
    }
  }
  const double micros = CpuMicros() - begin;
  std::printf("| %5d | %10.4f | %13.1f |\n", peers, micros / (seconds * 1e4),
              static_cast<double>(bytes) / seconds / 1000);
}

}  // namespace
}  // namespace persimmonstair

int main() {
  std::printf("catalogue: CPU microseconds for a change and a key look-up\n");
  std::printf("| entries | change us | look-up us | snapshot bytes |\n|---|---|---|---|\n");
  for (const int workspaces : {8, 80, 340}) persimmonstair::PrintCatalogue(workspaces);
  std::printf("\nidle instance: ticks and heartbeats every 500 ms from all peers\n");
  std::printf("| peers | %% of a core | heartbeat KB/s |\n|---|---|---|\n");
  for (const int peers : {10, 24, 100}) persimmonstair::PrintIdle(peers);
  return 0;
}
