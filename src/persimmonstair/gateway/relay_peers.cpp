#include "relay_peers.hpp"

#include <algorithm>

namespace persimmonstair::gateway {
namespace {

using dispatch::Endpoint;

/// Time for which an instance that relayed a connection is preferred.
constexpr std::chrono::seconds kGoodTime{2};
/// Time for which an instance that can't relay isn't asked again.
constexpr std::chrono::seconds kAvoidTime{2};

// Appends the elements of both lists by turns, then the rest of the longer one.
void AppendByTurns(const std::vector<Endpoint>& first, const std::vector<Endpoint>& second,
                   std::vector<Endpoint>& out) {
  for (std::size_t n = 0; n < std::max(first.size(), second.size()); ++n) {
    if (n < first.size()) out.push_back(first[n]);
    if (n < second.size()) out.push_back(second[n]);
  }
}

}  // namespace

std::vector<Endpoint> RelayPeers::Order(base::TimePoint now,
                                        std::vector<RelayCandidate> candidates) {
  std::erase_if(health_, [now](const auto& one) {
    return one.second.good_until <= now && one.second.avoided_until <= now;
  });
  std::shuffle(candidates.begin(), candidates.end(), random_);
  std::vector<Endpoint> good;
  std::vector<Endpoint> local;
  std::vector<Endpoint> remote;
  std::vector<Endpoint> avoided;
  for (const auto& candidate : candidates) {
    const auto it = health_.find(candidate.endpoint);
    const Health health = it == health_.end() ? Health{} : it->second;
    if (health.avoided_until > now) {
      avoided.push_back(candidate.endpoint);
      continue;
    }
    if (health.good_until > now) {
      good.push_back(candidate.endpoint);
    } else {
      (candidate.is_local ? local : remote).push_back(candidate.endpoint);
    }
  }
  AppendByTurns(local, remote, good);
  // Without another one, an instance that failed lately may work again.
  if (good.empty() && !avoided.empty()) good.push_back(avoided.front());
  if (good.size() > kMaxTries) good.resize(kMaxTries);
  return good;
}

void RelayPeers::OnRelayed(base::TimePoint now, const Endpoint& peer) {
  health_[peer] = {now + kGoodTime, {}};
}

void RelayPeers::OnFailed(base::TimePoint now, const Endpoint& peer) {
  health_[peer] = {{}, now + kAvoidTime};
}

}  // namespace persimmonstair::gateway
