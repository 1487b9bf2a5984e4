#ifndef PERSIMMONSTAIR_SRC_GATEWAY_SHARED_READS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_SHARED_READS_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "peer_socket.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/fleet/feed_path.hpp"
#include "persimmonstair/fleet/record_tail.hpp"
#include "retrying_record_store.hpp"

namespace persimmonstair::gateway {

/// @brief Reads the new records of partitions that every instance follows, from the store or from
/// the collector of the data centre, so that the store's reads grow with data centres and not with
/// instances.
///
/// An instance that is reported by a collector asks it by datagram for what the collector has read
/// since. The store itself is read instead if the collector does not answer at once, has lost the
/// store, is behind, or does not hold the records, and every second anyway, so that each
/// instance knows whether it reaches the store. An offset means the same everywhere, so the two
/// ways may alternate.
class SharedReads {
 public:
  /// Returns the address of the collector that reports this instance; nothing without one.
  using FindCollector = std::function<std::optional<dispatch::Endpoint>()>;

  /// Time after the start in which instances read the store directly, because the tables of shares
  /// that they must read before they are ready follow each other quickly.
  static constexpr std::chrono::seconds kStartTime{4};

  /// All reads go to the store for `start_time`.
  SharedReads(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
              PeerSocket& socket, diagnostics::Metrics& metrics, base::Duration start_time);

  /// Until this is called, all reads go to the store.
  void SetCollector(FindCollector find) { find_collector_ = std::move(find); }

  /// Returns the records from `from` on; waits up to `wait` if there are none yet. Returns
  /// kNotFound if the records at `from` were dropped.
  boost::asio::awaitable<base::Result<RecordBatch>> Poll(Partition partition, base::Offset from,
                                                         base::Duration wait);
  /// The same without a wait, until `deadline`.
  boost::asio::awaitable<base::Result<RecordBatch>> Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline);

  /// Time at which the records returned so far were last known to be all of the partition.
  base::TimePoint ConfirmedAt(const Partition& partition) const;

 private:
  /// A partition that this instance follows.
  struct Followed {
    fleet::RecordTail tail;
    /// Time at which the collector is next asked.
    base::TimePoint next_ask_at;
  };
  /// A message to the collector that waits for its answer.
  struct PendingAsk {
    explicit PendingAsk(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::optional<schema::FeedAnswer> answer;
    boost::asio::steady_timer changed;
  };

  /// Returns the collector's address if it is to be asked.
  std::optional<PeerEndpoint> OpenCollector();
  /// Returns nothing if the store is to be read instead.
  boost::asio::awaitable<std::optional<RecordBatch>> ReadFromCollector(Partition partition,
                                                                       base::Offset from);
  boost::asio::awaitable<std::optional<schema::FeedAnswer>> Ask(PeerEndpoint collector,
                                                                schema::FeedAsk ask);
  /// True if the answer can be used; updates the path to the collector.
  bool Accept(const std::optional<schema::FeedAnswer>& answer);
  /// Keeps what was read for the instances that ask this one.
  void Keep(const Partition& partition, base::Offset from, const RecordBatch& batch,
            base::TimePoint confirmed_at);
  void KeepFromStore(const Partition& partition, base::Offset from, const RecordBatch& batch,
                     base::TimePoint asked_at, base::Duration wait);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  schema::FeedAnswer MakeAnswer(const schema::FeedAsk& ask) const;
  void LogChange(bool uses_collector, const char* reason);

  boost::asio::any_io_executor executor_;
  RetryingRecordStore& store_;
  PeerSocket& socket_;
  diagnostics::Metrics& metrics_;
  FindCollector find_collector_;
  base::TimePoint direct_until_;
  fleet::FeedPath path_;
  std::map<Partition, Followed> followed_;
  std::uint64_t next_nonce_;
  std::map<std::uint64_t, std::shared_ptr<PendingAsk>> asks_;
  /// True if the collector's last answer could be used.
  bool uses_collector_ = false;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_SHARED_READS_HPP_
