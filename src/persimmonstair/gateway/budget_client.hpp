#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_CLIENT_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_CLIENT_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "budget_manager.hpp"
#include "fleet_registry.hpp"
#include "peer_socket.hpp"

namespace persimmonstair::gateway {

/// @brief Reserves tokens of programs' budgets at the program's budget coordinator.
///
/// The budget coordinator of a partition is an instance that writes its reservations for all
/// instances, so that one append carries the reservations of many. Any instance may write to any
/// partition, because the order of its records decides; so if no coordinator answers, this instance
/// writes the reservation itself.
class BudgetClient {
 public:
  BudgetClient(const boost::asio::any_io_executor& executor, PeerSocket& socket,
               FleetRegistry& fleet, BudgetManager& budgets, base::Duration answer_timeout);

  /// Reserves the maximum number of tokens that the turn may return and records its version. The
  /// outcome holds the reservation to settle.
  boost::asio::awaitable<ReservationOutcome> Reserve(ReservationRequest request,
                                                     base::TimePoint deadline);

  /// Records that the turn ended after it returned `tokens`. The record is written later.
  void Settle(const schema::TokenReservation& reservation, std::uint64_t tokens);

  /// Writes all pending settlements; used by a planned stop.
  boost::asio::awaitable<void> Flush(base::TimePoint deadline);

 private:
  /// A message to a coordinator that waits for its answer.
  struct PendingAsk {
    explicit PendingAsk(const boost::asio::any_io_executor& executor) : changed(executor) {}
    /// True once the coordinator answered the last message.
    bool heard = false;
    /// True if the coordinator stops or can't reach the store.
    bool declined = false;
    std::optional<ReservationOutcome> outcome;
    boost::asio::steady_timer changed;
  };
  using PendingAskPtr = std::shared_ptr<PendingAsk>;
  /// A settlement that no coordinator has confirmed.
  struct PendingSettlement {
    explicit PendingSettlement(const boost::asio::any_io_executor& executor) : changed(executor) {}
    bool written = false;
    boost::asio::steady_timer changed;
  };
  using PendingSettlementPtr = std::shared_ptr<PendingSettlement>;

  /// Returns the coordinator that writes the reservation; nothing if this instance does, because it
  /// is the coordinator or because the message, with other names of this length, may be too large.
  std::optional<PeerEndpoint> FindCoordinator(const schema::TokenReservation& reservation,
                                              std::size_t other_name_bytes = 0);
  /// Settles a reservation that a coordinator did not answer, and names the next one of the turn.
  void Rename(schema::TokenReservation& tokens, const base::TurnId& turn, int attempt);
  /// Returns nothing if the coordinator does not answer or can't reach the store. The reservation
  /// may then be in the store.
  boost::asio::awaitable<std::optional<ReservationOutcome>> AskCoordinator(
      PeerEndpoint coordinator, const ReservationRequest& request, base::TimePoint deadline);
  /// Sends a settlement until the coordinator confirms it. Without a confirmation, this instance
  /// writes the settlement itself.
  boost::asio::awaitable<void> DeliverSettlement(PeerEndpoint coordinator,
                                                 schema::TokenReservation reservation,
                                                 std::uint64_t tokens);
  void Avoid(const PeerEndpoint& coordinator);
  void Handle(const schema::EntryPeerMessage& message);
  void Handle(const schema::ReservationAnswer& answer, const turns::TakeUpOrder& take_up);

  boost::asio::any_io_executor executor_;
  PeerSocket& socket_;
  FleetRegistry& fleet_;
  BudgetManager& budgets_;
  base::Duration answer_timeout_;
  bool stopping_ = false;
  std::uint64_t next_nonce_;
  std::map<std::uint64_t, PendingAskPtr> asks_;
  std::map<std::uint64_t, PendingSettlementPtr> settlements_;
  /// Coordinators that did not answer or declined, and the time until which they aren't asked.
  std::map<PeerEndpoint, base::TimePoint> avoided_until_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_CLIENT_HPP_
