#include "target_health.hpp"

#include <algorithm>
#include <cmath>

#include "clock.hpp"
#include "persimmonstair/base/rendezvous.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Time between two runs of the detector; failures wait for it at most.
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kPeersRefreshInterval{500};
/// Bounds on the datagrams of notices: a notice to each of 400 instances at once, and 200 a second
/// on average. Each is some hundred bytes.
constexpr double kDatagramsPerS = 200;
constexpr double kMaxDatagrams = 400;
/// Targets in one notice; with ids of 40 bytes it stays below PeerSocket::kMaxDatagramBytes.
constexpr std::size_t kTargetsOfNotice = 12;
constexpr double kPercent = 100;

std::uint32_t AgeMs(base::TimePoint now, base::TimePoint at) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::ToMillis(now - at)));
}

}  // namespace

std::size_t DatagramAllowance::Take(base::TimePoint now, std::size_t wanted) {
  left_ = std::min(kMaxDatagrams, left_ + kDatagramsPerS * base::ToSeconds(now - at_));
  at_ = now;
  // A notice to few instances is of little use: it waits until all can get it, or at least half of
  // kMaxDatagrams can be sent.
  if (left_ < static_cast<double>(wanted) && left_ < kMaxDatagrams / 2) return 0;
  const std::size_t taken = std::min(wanted, static_cast<std::size_t>(left_));
  left_ -= static_cast<double>(taken);
  return taken;
}

TargetHealthExchange::TargetHealthExchange(PeerSocket& socket, const FleetRegistry& fleet,
                                           dispatch::TargetRegistry& targets,
                                           diagnostics::Metrics& metrics,
                                           const GatewaySettings& settings)
    : socket_(socket),
      fleet_(fleet),
      targets_(targets),
      metrics_(metrics),
      instance_(settings.instance),
      data_centre_(settings.data_centre) {
  targets_.Outliers().SetInstance(instance_.value);
  socket_.OnMessage([this](const schema::EntryPeerMessage& message,
                           const PeerEndpoint& /*sender*/) { Handle(message); });
}

boost::asio::awaitable<void> TargetHealthExchange::Run() {
  for (;;) {
    const base::TimePoint now = Now();
    targets_.Tick(now, peers_.size() + 1);
    LogChanges();
    if (!targets_.Outliers().Reports().Empty()) SendNotices(now);
    if (now - peers_at_ >= kPeersRefreshInterval) {
      peers_at_ = now;
      peers_.clear();
      for (const auto& peer : fleet_.RecentPeers()) {
        if (const auto endpoint = ToPeerEndpoint(peer)) peers_.push_back(*endpoint);
      }
    }
    co_await Sleep(kTickInterval);
  }
}

void TargetHealthExchange::SendNotices(base::TimePoint now) {
  if (peers_.empty()) {
    targets_.Outliers().Reports().Take(dispatch::ResultReports::kMaxWaiting);
    return;
  }
  const std::size_t receivers = allowance_.Take(now, peers_.size());
  if (receivers == 0) return;
  schema::TargetHealthNotice notice{instance_, data_centre_, {}};
  for (const auto& report : targets_.Outliers().Reports().Take(kTargetsOfNotice)) {
    const auto work_percent = static_cast<std::uint32_t>(std::lround(kPercent * report.work_time));
    notice.targets.push_back({report.target, report.started_ms, report.failures, report.answers,
                              AgeMs(now, report.sent_at), work_percent});
  }
  for (std::size_t n = 0; n < receivers; ++n) {
    socket_.Send(notice, peers_[next_peer_++ % peers_.size()]);
  }
  metrics_.CountHealthNotice("sent", receivers);
}

void TargetHealthExchange::Handle(const schema::EntryPeerMessage& message) {
  const auto* notice = std::get_if<schema::TargetHealthNotice>(&message);
  if (notice == nullptr || notice->instance == instance_) return;
  const base::TimePoint now = Now();
  // 0 names this instance.
  const std::uint64_t reporter =
      std::max<std::uint64_t>(1, base::RendezvousWeight(notice->instance.value, ""));
  metrics_.CountHealthNotice("received", 1);
  for (const auto& one : notice->targets) {
    targets_.ApplyResultReport(now, reporter, notice->data_centre,
                               {one.target, one.started_ms, one.failures, one.answers,
                                now - milliseconds{one.age_ms}, one.work_percent / kPercent});
  }
  LogChanges();
}

void TargetHealthExchange::LogChanges() {
  for (const auto& change : targets_.Outliers().TakeChanges()) {
    metrics_.CountEjection(change.ejected ? "ejected" : "returned");
    if (change.ejected) {
      Log(Level::kWarning, "target_ejected",
          {{"target", change.target.value},
           {"reason", change.reason},
           {"failures", change.failures},
           {"reporters", change.reporters},
           {"score", change.score},
           {"background", change.model.background},
           {"requests_per_s", change.model.requests_per_s},
           {"ejections", change.ejections},
           {"ms", base::ToMillis(change.time)}});
    } else {
      Log(Level::kInfo, "target_returned",
          {{"target", change.target.value},
           {"reason", change.reason},
           {"ejections", change.ejections},
           {"ms", base::ToMillis(change.time)}});
    }
  }
}

}  // namespace persimmonstair::gateway
