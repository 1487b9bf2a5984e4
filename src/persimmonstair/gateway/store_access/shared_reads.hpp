#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_SHARED_READS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_SHARED_READS_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "peer_socket.hpp"
#include "persimmonstair/diagnostics/metrics.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/fleet/feed_path.hpp"
#include "persimmonstair/fleet/long_read_plan.hpp"
#include "persimmonstair/fleet/newest_records.hpp"
#include "persimmonstair/fleet/record_tail.hpp"
#include "store_access/record_transfers.hpp"
#include "store_access/retrying_record_store.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief Reads the new records of partitions that every instance follows, from the store or from
/// the collector of the data centre, so that the store's reads grow with data centres and not with
/// instances.
///
/// An instance that is reported by a collector asks it by datagram for what the collector has read
/// since. The store itself is read instead if the collector does not answer at once, has lost the
/// store, is behind, or does not hold the records, and every second anyway, so that each
/// instance knows whether it reaches the store. While a read of the store is late, other instances
/// are asked one after the other, because what they have read may be newer. An offset means the
/// same everywhere, so the ways may alternate.
///
/// Records that don't fit into a datagram come from the instances that hold them, too
/// (RecordTransfers). A partition of which that is expected is read from the store by one instance
/// of a data centre, and by the others in turn only if no instance has news of it. That holds for
/// the first read of an instance that starts, too.
class SharedReads {
 public:
  /// Returns the address of the collector that reports this instance; nothing without one.
  using FindCollector = std::function<std::optional<dispatch::Endpoint>()>;
  /// Returns the addresses of the other instances.
  using FindPeers = std::function<std::vector<dispatch::Endpoint>()>;
  /// Returns this instance's place among those that could read for their data centre.
  using FindRank = std::function<fleet::ReaderRank()>;

  /// Time after the start in which instances read the store directly, because the tables of shares
  /// that they must read before they are ready follow each other quickly.
  static constexpr std::chrono::seconds kStartTime{4};

  /// All reads go to the store for `start_time`.
  SharedReads(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
              PeerSocket& socket, diagnostics::Metrics& metrics, base::Duration start_time);

  /// Until this is called, all reads go to the store.
  void SetCollector(FindCollector find) { find_collector_ = std::move(find); }
  /// Until this is called, late reads are only waited for.
  void SetPeers(FindPeers find) { find_peers_ = std::move(find); }
  /// Sets the function that returns true once the other instances are known, as far as there are
  /// any. A first read of long records waits for that.
  void SetPeersKnown(std::function<bool()> known) { peers_known_ = std::move(known); }
  /// Sets the function that returns the addresses of the other instances of this data centre, which
  /// are asked for long records first.
  void SetNeighbours(FindPeers find) { find_neighbours_ = std::move(find); }
  /// Until this is called, this instance reads all partitions from the store if it has no
  /// collector.
  void SetReaderRank(FindRank find) { find_rank_ = std::move(find); }

  /// Declares that the partition has long records: the store must not send each of them to each
  /// instance.
  void ExpectLongRecords(const Partition& partition) { followed_[partition].long_reads.emplace(); }

  /// Returns the newest record of each key, for a start and after the records at `beyond` were
  /// dropped. Of a partition of long records, another instance may hand them on, if it has read
  /// beyond `beyond`.
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(Partition partition,
                                                                  base::Offset beyond,
                                                                  base::Duration timeout);
  /// Returns the records from `from` on; waits up to `wait` if there are none yet. Returns
  /// kNotFound if the records at `from` were dropped.
  boost::asio::awaitable<base::Result<RecordBatch>> Poll(Partition partition, base::Offset from,
                                                         base::Duration wait);
  /// The same without a wait, until `deadline`.
  boost::asio::awaitable<base::Result<RecordBatch>> Read(Partition partition, base::Offset from,
                                                         base::TimePoint deadline);

  /// Time at which the records returned so far were last known to be all of the partition.
  base::TimePoint ConfirmedAt(const Partition& partition) const;

  /// Hands on the records that this instance holds.
  RecordTransfers& Transfers() { return transfers_; }

 private:
  /// A read of the store, which may outlast the call that began it.
  struct StoreRead {
    StoreRead(const boost::asio::any_io_executor& executor, base::Offset from_offset,
              base::Duration held_open)
        : from(from_offset), wait(held_open), changed(executor) {}
    base::Offset from;
    /// Time for which the store holds the read open.
    base::Duration wait;
    base::TimePoint asked_at;
    /// Time at which another instance is next asked.
    base::TimePoint ask_peer_at;
    std::optional<base::Result<RecordBatch>> result;
    base::TimePoint answered_at;
    boost::asio::steady_timer changed;
  };
  using StoreReadPtr = std::shared_ptr<StoreRead>;
  /// A read of the newest records from the store.
  struct NewestRead {
    explicit NewestRead(const boost::asio::any_io_executor& executor) : changed(executor) {}
    base::TimePoint asked_at;
    std::optional<base::Result<RecordSnapshot>> result;
    boost::asio::steady_timer changed;
  };
  using NewestReadPtr = std::shared_ptr<NewestRead>;
  /// A partition that this instance follows.
  struct Followed {
    fleet::RecordTail tail;
    /// Time at which the collector is next asked.
    base::TimePoint next_ask_at;
    /// Set if the store must not send its records to each instance.
    std::optional<fleet::LongReadPlan> long_reads;
    /// Kept with `long_reads` only.
    fleet::NewestRecords newest;
    /// Read that has not been used up; null if there is none.
    StoreReadPtr store_read;
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
  /// Returns how this instance reads a partition of long records from the store next.
  fleet::StoreUse NextStoreUse(const Followed& followed) const;
  /// ReadNewest() of a partition of long records.
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewestLong(Partition partition,
                                                                      base::Offset beyond,
                                                                      base::Duration timeout);
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewestFromStore(Partition partition,
                                                                           base::Duration timeout);
  NewestReadPtr BeginNewestRead(const Partition& partition, base::Duration timeout);
  boost::asio::awaitable<void> RunNewestRead(Partition partition, base::Duration timeout,
                                             NewestReadPtr read);
  /// Waits until the read of the store has ended or the next ask is due. `read` may be null.
  boost::asio::awaitable<void> AwaitNewestRead(Partition partition, NewestReadPtr read);
  /// Asks an instance for the newest records.
  boost::asio::awaitable<std::optional<RecordSnapshot>> ReadNewestFromOthers(Partition partition,
                                                                             base::Offset beyond);
  boost::asio::awaitable<std::optional<RecordSnapshot>> ReadNewestFrom(Partition partition,
                                                                       base::Offset beyond,
                                                                       fleet::RecordSource source,
                                                                       PeerEndpoint peer);
  /// Waits until the other instances are known, but not for long if the store answers without
  /// naming them.
  boost::asio::awaitable<void> AwaitPeers();
  /// Keeps a snapshot that was complete at `asked_at` for the instances that ask this one.
  void KeepSnapshot(const Partition& partition, const RecordSnapshot& snapshot,
                    base::TimePoint asked_at);
  /// Poll() of a partition of long records.
  boost::asio::awaitable<base::Result<RecordBatch>> PollLong(Partition partition, base::Offset from,
                                                             base::Duration wait);
  /// Begins a read of the store, or takes the one that has not been used up, and waits for it.
  boost::asio::awaitable<base::Result<RecordBatch>> PollStore(Partition partition,
                                                              base::Offset from,
                                                              base::Duration wait);
  /// Waits until the next ask is due, and asks an instance. Returns an empty batch if it brought no
  /// records.
  boost::asio::awaitable<RecordBatch> ReadFromOthers(Partition partition, base::Offset from);
  std::optional<PeerEndpoint> Find(fleet::RecordSource source);
  std::optional<PeerEndpoint> PickPeer(const FindPeers& find);
  /// Returns the records that the instance hands on over a connection; nothing if it does not.
  boost::asio::awaitable<std::optional<RecordBatch>> Fetch(Partition partition, base::Offset from,
                                                           PeerEndpoint peer);
  /// Keeps what was handed on from `from` on, and returns it; nothing if it is damaged.
  std::optional<RecordBatch> KeepTransfer(const Partition& partition, base::Offset from,
                                          schema::RecordTransfer transfer,
                                          base::TimePoint asked_at);
  /// Returns what this instance holds for another one.
  std::optional<schema::EntryPeerMessage> MakeTransfer(const RecordRequest& request) const;
  /// Returns the newest records that the instance at `peer` holds; nothing if it doesn't, or has
  /// not read beyond `beyond`.
  boost::asio::awaitable<std::optional<RecordSnapshot>> FetchNewest(Partition partition,
                                                                    base::Offset beyond,
                                                                    PeerEndpoint peer);
  /// True if the collector can be relied on; updates the path to it.
  bool Accept(const std::optional<schema::FeedAnswer>& answer);
  /// Keeps what the answer holds from `from` on, and returns it.
  RecordBatch KeepFromAnswer(const Partition& partition, base::Offset from,
                             schema::FeedAnswer answer, base::TimePoint asked_at);
  /// Returns the read of the partition that has not been used up; begins one by `send` if there is
  /// none.
  template <class Send>
  StoreReadPtr BeginStoreRead(const Partition& partition, base::Offset from, base::Duration wait,
                              Send send);
  template <class Send>
  boost::asio::awaitable<void> RunStoreRead(StoreReadPtr read, Send send);
  /// Waits for the read, and asks other instances while it is late. Returns what comes first.
  boost::asio::awaitable<base::Result<RecordBatch>> AwaitStoreRead(Partition partition,
                                                                   base::Offset from,
                                                                   StoreReadPtr read);
  /// Returns the records that another instance has read from `from` on; an empty batch if it knows
  /// that there are none. Nothing if it can't tell or does not answer.
  boost::asio::awaitable<std::optional<RecordBatch>> ReadFromPeer(Partition partition,
                                                                  base::Offset from,
                                                                  fleet::RecordSource source,
                                                                  PeerEndpoint peer);
  /// Uses the read's result up: keeps and returns its records from `from` on.
  base::Result<RecordBatch> TakeResult(const Partition& partition, base::Offset from,
                                       const StoreRead& read);
  /// Keeps what was read for the instances that ask this one.
  void Keep(const Partition& partition, base::Offset from, const RecordBatch& batch,
            base::TimePoint confirmed_at);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  schema::FeedAnswer MakeAnswer(const schema::FeedAsk& ask) const;
  void LogChange(bool uses_collector, const char* reason);

  boost::asio::any_io_executor executor_;
  RetryingRecordStore& store_;
  PeerSocket& socket_;
  diagnostics::Metrics& metrics_;
  FindCollector find_collector_;
  FindPeers find_peers_;
  FindPeers find_neighbours_;
  std::function<bool()> peers_known_;
  FindRank find_rank_;
  RecordTransfers transfers_;
  std::minstd_rand random_{std::random_device{}()};
  base::TimePoint direct_until_;
  fleet::FeedPath path_;
  std::map<Partition, Followed> followed_;
  std::uint64_t next_nonce_;
  std::map<std::uint64_t, std::shared_ptr<PendingAsk>> asks_;
  /// True if the collector's last answer could be used.
  bool uses_collector_ = false;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_SHARED_READS_HPP_
