#ifndef PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_COORDINATOR_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_COORDINATOR_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "budget_manager.hpp"
#include "peer_socket.hpp"
#include "store_access/retrying_record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Writes reservations and settlements for other instances.
///
/// A message that is received again gets the answer of the first one, so a lost datagram neither
/// repeats nor loses a reservation.
class BudgetCoordinator {
 public:
  /// `max_wait` limits the time for which a reservation may wait for the store.
  BudgetCoordinator(const boost::asio::any_io_executor& executor, PeerSocket& socket,
                    BudgetManager& budgets, const store_access::RetryingRecordStore& store,
                    base::Duration max_wait);

  /// Declines new reservations, so that other instances ask the next coordinator.
  void Stop() { stopping_ = true; }

  /// Number of messages of other instances that have no final answer yet.
  std::size_t Pending() const { return pending_; }

 private:
  /// Sender and nonce of a message.
  using MessageId = std::pair<PeerEndpoint, std::uint64_t>;
  /// A reservation that another instance asks for.
  struct Question {
    std::uint64_t nonce = 0;
    ReservationRequest request;
    /// Longest time that the reservation may take.
    base::Duration wait{};
  };
  /// A message; `answer` is empty until it is decided.
  struct Received {
    std::optional<schema::EntryPeerMessage> answer;
  };

  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  void Handle(const Question& ask, const PeerEndpoint& sender);
  void Handle(const schema::SettlementNotice& notice, const PeerEndpoint& sender);
  boost::asio::awaitable<void> Decide(Question ask, PeerEndpoint sender);
  /// Stores the final answer and sends it.
  void Answer(const MessageId& id, const schema::EntryPeerMessage& answer);
  /// Registers a message. Returns false if it was registered before or if there are too many.
  bool Register(const MessageId& id);
  void DropOldMessages();

  boost::asio::any_io_executor executor_;
  PeerSocket& socket_;
  BudgetManager& budgets_;
  const store_access::RetryingRecordStore& store_;
  base::Duration max_wait_;
  std::map<MessageId, Received> received_;
  /// Messages by the time at which they were registered, oldest first.
  std::deque<std::pair<base::TimePoint, MessageId>> received_at_;
  std::size_t pending_ = 0;
  bool stopping_ = false;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_BUDGET_COORDINATOR_HPP_
