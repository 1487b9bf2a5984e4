#ifndef PERSIMMONSTAIR_SRC_GATEWAY_TOKEN_LOANS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_TOKEN_LOANS_HPP_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>

#include "clock.hpp"
#include "fleet_keeper.hpp"
#include "followers.hpp"
#include "persimmonstair/schema/peer.hpp"

namespace persimmonstair::gateway {

/// @brief Moves tokens of workspaces' rates between instances, in datagrams.
///
/// A datagram that is lost loses at most the tokens in it: they are taken out of the lender's
/// bucket before they are sent.
class TokenLoans {
 public:
  TokenLoans(const boost::asio::any_io_executor& executor, FleetKeeper& fleet,
             const ConfigurationFollower& configuration)
      : socket_(executor), fleet_(fleet), configuration_(configuration) {}

  base::Result<void> Listen(const dispatch::Endpoint& endpoint);

  /// Answers other instances; never returns.
  boost::asio::awaitable<void> Run();

  /// Asks other instances for tokens and waits a moment for their answers. True if some came.
  /// Returns false at once while the last round for the workspace brought nothing.
  boost::asio::awaitable<bool> Borrow(base::WorkspaceId workspace);

 private:
  struct Round {
    explicit Round(const boost::asio::any_io_executor& executor) : done(executor) {}
    base::WorkspaceId workspace;
    base::TimePoint sent_at;
    std::size_t asked = 0;
    std::size_t answered = 0;
    double tokens = 0;
    Signal done;
  };
  using RoundPtr = std::shared_ptr<Round>;

  void StartRound(const base::WorkspaceId& workspace, Round& round);
  void Handle(const schema::PeerMessage& message, const boost::asio::ip::udp::endpoint& sender);
  void Handle(const schema::TokenLoanRequest& request,
              const boost::asio::ip::udp::endpoint& sender);
  void Handle(const schema::TokenLoan& loan);
  void Send(const schema::PeerMessage& message, const boost::asio::ip::udp::endpoint& peer);

  boost::asio::ip::udp::socket socket_;
  FleetKeeper& fleet_;
  const ConfigurationFollower& configuration_;
  std::array<char, 2048> buffer_{};
  std::uint64_t next_nonce_ = 1;
  std::map<std::uint64_t, RoundPtr> rounds_;
  std::map<base::WorkspaceId, RoundPtr> running_;
  /// Rounds that brought nothing are not repeated before this time.
  std::map<base::WorkspaceId, base::TimePoint> dry_until_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_TOKEN_LOANS_HPP_
