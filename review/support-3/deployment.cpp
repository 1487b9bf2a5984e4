#include "deployment.hpp"

namespace review {
namespace {

constexpr milliseconds kStartTime{20'000};
constexpr int kFirstMachine = 11;
/// Time from the start of the machines to the traffic.
constexpr milliseconds kLead{10'000};

}  // namespace

Deployment::Deployment(Record& record, const std::vector<std::string>& zones, int memory_mb)
    : record_(record), store_("127.0.0.2") {
  std::vector<std::string> ips;
  for (std::size_t n = 0; n < zones.size(); ++n) {
    ips.push_back("127.0.0." + std::to_string(kFirstMachine + n));
  }
  const auto ports = FreePorts(ips, 4);
  for (std::size_t n = 0; n < zones.size(); ++n) {
    Machine machine{"front-" + zones[n] + "-" + std::to_string(n + 1),
                    zones[n],
                    ips[n],
                    ports,
                    store_.At(),
                    memory_mb};
    fronts_.push_back(std::make_unique<Entry>(std::move(machine), folder_.Path()));
  }
}

bool Deployment::Start(std::size_t n) {
  fronts_[n]->Start();
  const bool ready = fronts_[n]->WaitReady(kStartTime);
  record_.Line(fronts_[n]->Node() + (ready ? " is ready" : " isn't ready"));
  return ready;
}

bool Deployment::StartAllBut(std::size_t left_out) {
  const auto traffic_at = Clock::now() + kLead;
  for (std::size_t n = 0; n < fronts_.size(); ++n) {
    if (n != left_out) fronts_[n]->Start();
  }
  bool ready = true;
  for (std::size_t n = 0; n < fronts_.size(); ++n) {
    if (n != left_out) ready = fronts_[n]->WaitReady(kStartTime) && ready;
  }
  record_.Line(ready ? "the machines are ready" : "a machine isn't ready");
  std::this_thread::sleep_until(traffic_at);
  return ready;
}

}  // namespace review
