#ifndef PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "fleet_registry.hpp"
#include "followers.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/quota/admission_queue.hpp"
#include "persimmonstair/schema/entry_peer.hpp"

namespace persimmonstair::gateway {

/// @brief Admits requests within their workspaces' rates.
///
/// If this instance has no token for a request, it asks the workspace's quota coordinator in this
/// data centre by a datagram, and the request is queued there. If that coordinator has no token
/// available now, the coordinators in other data centres are asked too. The lender takes a token
/// out of its bucket before it sends it, so a lost datagram loses at most one token.
///
/// A lent token occupies capacity of the lender's bucket while it may still be used. The borrower
/// reports its use, as a TokenCancel of the answered request, so that the capacity refills at once;
/// older builds ignore that, and without it the loan ends by its time.
class QuotaLimiter {
 public:
  QuotaLimiter(const boost::asio::any_io_executor& executor, PeerSocket& socket,
               FleetRegistry& fleet, const ConfigurationFollower& configuration);

  /// Takes a token for one request. Waits for at most quota::MaxTokenWait() if there is none.
  boost::asio::awaitable<quota::AdmissionResult> Admit(const Workspace& workspace,
                                                       quota::ProgramStage stage,
                                                       base::Duration time_left);

 private:
  /// A request of a caller of this instance that waits for a token.
  struct QueuedRequest {
    explicit QueuedRequest(const boost::asio::any_io_executor& executor) : changed(executor) {}
    base::WorkspaceId workspace;
    quota::ProgramStage stage = quota::ProgramStage::kUnderWay;
    base::Duration max_wait{0};
    std::optional<quota::AdmissionResult> result;
    /// 1 while the instance that was asked last has not answered.
    std::size_t unanswered = 0;
    /// Number of other instances that have queued the request.
    std::size_t queued = 0;
    /// Shortest time until an instance that refused has a token.
    std::optional<base::Duration> peer_retry_after;
    boost::asio::steady_timer changed;
  };
  using QueuedRequestPtr = std::shared_ptr<QueuedRequest>;
  /// A token requested from another instance.
  struct Ask {
    base::WorkspaceId workspace;
    std::uint64_t request = 0;
    base::TimePoint usable_until;
    /// Instance that was asked.
    PeerEndpoint instance;
    /// True if that instance has queued the request.
    bool queued = false;
  };
  /// A request of another instance that is queued here.
  struct RemoteRequest {
    base::WorkspaceId workspace;
    std::uint64_t nonce = 0;
    PeerEndpoint sender;
  };
  struct LentToken {
    base::WorkspaceId workspace;
    base::TimePoint until;
  };

  /// Asks the reachable coordinators one after the other. If none of them grants a token, the
  /// request is refused or waits for a token of the local share.
  boost::asio::awaitable<void> RequestRemoteToken(std::uint64_t id, QueuedRequestPtr waiting,
                                                  ReachableCoordinators reachable);
  /// Asks one coordinator and waits until it answers or queues the request, until the request has
  /// its result, or until a timeout.
  boost::asio::awaitable<void> AskCoordinator(dispatch::Endpoint coordinator, std::uint64_t id,
                                              QueuedRequestPtr waiting, base::Duration max_wait);
  /// Waits until the request changes, for at most `time`.
  static boost::asio::awaitable<void> WaitForChange(QueuedRequestPtr waiting, base::Duration time);
  void SendAsk(const PeerEndpoint& instance, std::uint64_t id, const QueuedRequest& waiting,
               base::Duration max_wait);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  void Handle(const schema::TokenAsk& ask, const PeerEndpoint& sender);
  void Handle(const schema::TokenAnswer& answer);
  void Handle(const schema::TokenCancel& cancel, const PeerEndpoint& sender);
  /// Withdraws the request from the queues of other instances.
  void CancelQueuedAsks(std::uint64_t request);
  /// Answers the request and remembers the token if it was lent.
  void SendAnswer(const RemoteRequest& remote, const quota::AdmissionResult& result);
  /// Ends the loan of a token that the other instance has used.
  void EndLoan(const schema::TokenCancel& cancel, const PeerEndpoint& sender);
  static void SetResult(QueuedRequest& waiting, const quota::AdmissionResult& result);
  static void RecordAnswer(Ask& ask, const schema::TokenAnswer& answer, QueuedRequest& waiting);
  /// Serves the queue and sets the timer for the next time at which it can be served.
  void Serve();
  void DropExpiredAsks();

  PeerSocket& socket_;
  boost::asio::steady_timer timer_;
  FleetRegistry& fleet_;
  const ConfigurationFollower& configuration_;
  quota::AdmissionQueue queue_;
  /// Tokens that other instances may not have used yet, by the sender and nonce of their request.
  std::map<std::pair<PeerEndpoint, std::uint64_t>, LentToken> lent_tokens_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, QueuedRequestPtr> waiting_requests_;
  std::map<std::uint64_t, RemoteRequest> remote_requests_;
  /// By nonce. Nonces increase, so the first entries are the oldest.
  std::map<std::uint64_t, Ask> asks_;
  /// Instances that did not answer, and the time until which they aren't asked again.
  std::map<PeerEndpoint, base::TimePoint> backoff_until_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_
