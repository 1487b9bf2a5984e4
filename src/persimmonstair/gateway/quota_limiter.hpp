#ifndef PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "fleet_registry.hpp"
#include "followers.hpp"
#include "persimmonstair/quota/admission_queue.hpp"
#include "persimmonstair/schema/quota.hpp"

namespace persimmonstair::gateway {

/// @brief Admits requests within their workspaces' rates.
///
/// A request that finds no token here waits, by a datagram, in the line of its workspace's home in
/// this data centre. If that has no token at once, the homes in other data centres are asked too. A
/// datagram that is lost loses at most the token in it: it is taken out of the lender's bucket
/// before it is sent.
class QuotaLimiter {
 public:
  QuotaLimiter(const boost::asio::any_io_executor& executor, FleetRegistry& fleet,
               const ConfigurationFollower& configuration)
      : socket_(executor),
        timer_(executor),
        fleet_(fleet),
        configuration_(configuration),
        queue_(fleet.Shares()) {}

  base::Result<void> Listen(const dispatch::Endpoint& endpoint);

  /// Serves other instances; never returns.
  boost::asio::awaitable<void> Run();

  /// Takes a token for one request, or waits for one for kMaxTokenWait at most.
  boost::asio::awaitable<quota::AdmissionResult> Admit(const Workspace& workspace,
                                                       quota::ProgramStage stage);

 private:
  /// A request of an own caller that waits.
  struct QueuedRequest {
    explicit QueuedRequest(const boost::asio::any_io_executor& executor) : changed(executor) {}
    base::WorkspaceId workspace;
    quota::ProgramStage stage = quota::ProgramStage::kUnderWay;
    std::optional<quota::AdmissionResult> result;
    /// 1 while the instance that was asked last has not answered.
    std::size_t unanswered = 0;
    /// Instances that have the request in their lines.
    std::size_t queued = 0;
    /// When the soonest of those that refused has a token.
    std::optional<base::Duration> peer_retry_after;
    boost::asio::steady_timer changed;
  };
  using QueuedRequestPtr = std::shared_ptr<QueuedRequest>;
  /// A token asked of another instance.
  struct Ask {
    base::WorkspaceId workspace;
    std::uint64_t request = 0;
    base::TimePoint usable_until;
    /// The asked instance, and whether it has the request in its line.
    boost::asio::ip::udp::endpoint instance;
    bool queued = false;
  };
  /// A request of another instance that waits here.
  struct RemoteRequest {
    base::WorkspaceId workspace;
    std::uint64_t nonce = 0;
    boost::asio::ip::udp::endpoint sender;
  };

  boost::asio::awaitable<void> RequestRemoteToken(std::uint64_t id, QueuedRequestPtr waiting,
                                                  ReachableCoordinators reachable);
  /// Asks one home and waits until it has answered, or the request has its result.
  boost::asio::awaitable<void> AskCoordinator(dispatch::Endpoint coordinator, std::uint64_t id,
                                              QueuedRequestPtr waiting, base::Duration max_wait);
  /// Waits for a change of the request, for some time at most.
  static boost::asio::awaitable<void> WaitForChange(QueuedRequestPtr waiting, base::Duration time);
  void SendAsk(const boost::asio::ip::udp::endpoint& instance, std::uint64_t id,
               const QueuedRequest& waiting, base::Duration max_wait);
  void Handle(const schema::QuotaMessage& message, const boost::asio::ip::udp::endpoint& sender);
  void Handle(const schema::TokenAsk& ask, const boost::asio::ip::udp::endpoint& sender);
  void Handle(const schema::TokenAnswer& answer);
  void Handle(const schema::TokenCancel& cancel, const boost::asio::ip::udp::endpoint& sender);
  /// Gives up the request's places in the lines of other instances.
  void CancelQueuedAsks(std::uint64_t request);
  void Send(const schema::QuotaMessage& message, const boost::asio::ip::udp::endpoint& peer);
  void SendAnswer(const RemoteRequest& remote, const quota::AdmissionResult& result);
  static void SetResult(QueuedRequest& waiting, const quota::AdmissionResult& result);
  static void RecordAnswer(Ask& ask, const schema::TokenAnswer& answer, QueuedRequest& waiting);
  /// Serves the queue and sets the timer for the next time.
  void Serve();
  void DropExpiredAsks();

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  FleetRegistry& fleet_;
  const ConfigurationFollower& configuration_;
  quota::AdmissionQueue queue_;
  std::array<char, 2048> buffer_{};
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, QueuedRequestPtr> waiting_requests_;
  std::map<std::uint64_t, RemoteRequest> remote_requests_;
  /// By nonce; those with the lowest numbers are the oldest.
  std::map<std::uint64_t, Ask> asks_;
  /// Instances that did not answer, and until when they aren't asked.
  std::map<boost::asio::ip::udp::endpoint, base::TimePoint> backoff_until_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_QUOTA_LIMITER_HPP_
