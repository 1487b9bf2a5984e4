#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TARGET_LIMITER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TARGET_LIMITER_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "fleet_registry.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/quota/admission_queue.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::gateway {

/// @brief Keeps all instances together to the rates that targets name.
///
/// Each target's rate has a coordinator, an instance of the target's data centre. Before a request
/// is sent to a limited target, its instance takes a token from the coordinator by a datagram. If
/// the coordinator does not answer, the instance sends at most its own part of half the rate, so
/// that all instances stay within one and a half times the limit even if none can ask.
///
/// An instance that hears a limit begin or end tells the coordinator, which tells all others.
class TargetLimiter {
 public:
  /// Longest time that a request may wait for a token. A request that would wait longer is refused
  /// with the time until a token is expected, which is longer than this too.
  static constexpr std::chrono::milliseconds kMaxWait{250};

  TargetLimiter(const boost::asio::any_io_executor& executor, PeerSocket& socket,
                FleetRegistry& fleet, dispatch::TargetRegistry& targets,
                diagnostics::Metrics& metrics);

  /// Applies what a response of the target says about its rate. `request` is for the log.
  void OnResponse(const base::TargetId& target, const dispatch::RateStatement& statement,
                  const std::string& request);

  /// Takes a token of the target's rate for one request, which may wait for `max_wait`, at most
  /// kMaxWait. Admits it at once if the target names no limit and isn't cold, or if `cold_per_s`,
  /// the rate of its service's cold targets, is 0. Records in the target registry when the next
  /// token is expected.
  boost::asio::awaitable<quota::AdmissionResult> Take(dispatch::TargetEntry target,
                                                      quota::ProgramStage stage,
                                                      base::Duration max_wait,
                                                      double cold_per_s = 0);

  /// Drops state of targets that were not asked for a while.
  void DropUnused();

 private:
  /// A request of a local caller that waits for a token.
  struct Waiting {
    explicit Waiting(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::optional<quota::AdmissionResult> result;
    /// True once the coordinator has queued the request.
    bool queued = false;
    /// Cancelled whenever the fields above change.
    boost::asio::steady_timer changed;
  };
  using WaitingPtr = std::shared_ptr<Waiting>;
  /// A request of another instance that is queued here.
  struct RemoteRequest {
    base::TargetId target;
    std::uint64_t nonce = 0;
    PeerEndpoint sender;
    quota::RateLimit rate;
  };

  /// Takes a token of a rate that this instance coordinates.
  boost::asio::awaitable<quota::AdmissionResult> TakeHere(base::TargetId target,
                                                          quota::RateLimit rate,
                                                          quota::ProgramStage stage,
                                                          base::Duration max_wait);
  /// Takes a token of a cold target. Without an answer of the coordinator there is none: if each
  /// instance had a part of its own, their sum would exceed what the target takes.
  boost::asio::awaitable<quota::AdmissionResult> TakeCold(dispatch::TargetEntry target,
                                                          quota::ProgramStage stage,
                                                          base::Duration max_wait,
                                                          double cold_per_s);
  /// Returns the rate of a cold target, which may name a limit too.
  quota::RateLimit ColdRate(const base::TargetId& target, double cold_per_s) const;
  /// Asks the coordinator; returns nothing if it does not answer.
  template <class Message>
  boost::asio::awaitable<std::optional<quota::AdmissionResult>> Ask(PeerEndpoint coordinator,
                                                                    Message ask);
  /// Takes a token of this instance's own part of the rate, and waits for it if it comes in time.
  boost::asio::awaitable<quota::AdmissionResult> TakeOwnPart(base::TargetId target,
                                                             quota::RateLimit part,
                                                             base::Duration max_wait);
  /// Returns the coordinator's address unless it did not answer lately.
  std::optional<PeerEndpoint> Reachable(const TargetCoordinator& coordinator) const;
  static boost::asio::awaitable<void> WaitForChange(WaitingPtr waiting, base::TimePoint until);

  void Apply(const base::TargetId& target, const dispatch::RateStatement& statement,
             const std::string& source);
  /// Tells the coordinator that a limit began or ended, or all instances if this is it.
  void Spread(const dispatch::TargetEntry& target, const dispatch::RateStatement& statement);
  void SendNotice(const base::TargetId& target, const dispatch::RateStatement& statement,
                  const PeerEndpoint& receiver);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  void Handle(const schema::TargetTokenAsk& ask, const PeerEndpoint& sender);
  void Handle(const schema::ColdTokenAsk& ask, const PeerEndpoint& sender);
  void Handle(const schema::TargetTokenAnswer& answer);
  /// Takes a token for a request of another instance, or queues the request.
  void TakeFor(const RemoteRequest& remote, bool begins, base::Duration patience);
  void SendAnswer(const RemoteRequest& remote, const quota::AdmissionResult& result);
  /// Returns the time until the next token of a rate that this instance coordinates.
  base::Duration NextTokenWait(const base::TargetId& target, const quota::RateLimit& rate);
  /// Serves the queue and sets the timer for the next time at which it can be served.
  void Serve();

  boost::asio::any_io_executor executor_;
  PeerSocket& socket_;
  FleetRegistry& fleet_;
  dispatch::TargetRegistry& targets_;
  diagnostics::Metrics& metrics_;
  /// Tokens of the rates that this instance coordinates.
  quota::TargetTokens tokens_;
  quota::TargetAdmissionQueue queue_;
  /// Tokens of this instance's own parts of rates whose coordinator does not answer.
  quota::TargetTokens own_parts_;
  boost::asio::steady_timer serve_timer_;
  std::uint64_t next_id_;
  /// Requests that are queued here, by their id in the queue.
  std::map<std::uint64_t, WaitingPtr> local_requests_;
  std::map<std::uint64_t, RemoteRequest> remote_requests_;
  /// Requests that wait for a coordinator's answer, by nonce.
  std::map<std::uint64_t, WaitingPtr> asks_;
  /// Coordinators that did not answer, and the time until which they aren't asked.
  std::map<PeerEndpoint, base::TimePoint> avoided_until_;
  /// Time at which the begin or end of a target's limit was last passed on.
  std::map<base::TargetId, base::TimePoint> spread_at_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TARGET_LIMITER_HPP_
