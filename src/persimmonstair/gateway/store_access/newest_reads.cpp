// First reads of SharedReads: the newest records, for a start and after history was dropped.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "clock.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/fleet/packed_record.hpp"
#include "store_access/shared_reads.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using base::Result;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Time since the store's first answer for which a first read waits for the other instances' names.
constexpr milliseconds kMaxPeersWait{1000};
constexpr milliseconds kPeersCheckInterval{10};
/// Time for which the store alone is waited for, whose answer usually comes sooner than others'.
constexpr milliseconds kStoreHeadStart{100};

// Returns nothing if the records are damaged.
std::optional<RecordSnapshot> Unpack(const schema::SnapshotTransfer& transfer) {
  if (transfer.offsets.size() != transfer.records.size()) return std::nullopt;
  RecordSnapshot snapshot{{}, transfer.end};
  for (std::size_t n = 0; n < transfer.records.size(); ++n) {
    auto record = fleet::Unpack(transfer.records[n]);
    if (!record || record->deleted) return std::nullopt;
    snapshot.records.push_back(
        {transfer.offsets[n], {std::move(record->key), std::move(record->value)}});
  }
  return snapshot;
}

}  // namespace

awaitable<Result<RecordSnapshot>> SharedReads::ReadNewest(Partition partition, base::Offset beyond,
                                                          base::Duration timeout) {
  if (followed_[partition].long_reads) {
    co_return co_await ReadNewestLong(partition, beyond, timeout);
  }
  co_return co_await ReadNewestFromStore(partition, timeout);
}

awaitable<Result<RecordSnapshot>> SharedReads::ReadNewestFromStore(Partition partition,
                                                                   base::Duration timeout) {
  const base::TimePoint asked_at = Now();
  auto snapshot = co_await store_.ReadNewest(partition, asked_at + timeout);
  if (snapshot) KeepSnapshot(partition, *snapshot, asked_at);
  co_return snapshot;
}

awaitable<Result<RecordSnapshot>> SharedReads::ReadNewestLong(Partition partition,
                                                              base::Offset beyond,
                                                              base::Duration timeout) {
  co_await AwaitPeers();
  Followed& followed = followed_[partition];
  fleet::LongReadPlan& plan = *followed.long_reads;
  plan.OnStart(Now());
  NewestReadPtr read;
  for (;;) {
    if (!read && NextStoreUse(followed) != fleet::StoreUse::kNone) {
      plan.OnStoreRead(Now());
      read = BeginNewestRead(partition, timeout);
    }
    co_await AwaitNewestRead(partition, read);
    if (read && read->result) break;
    // Others may have the record while the store is still busy with this instance's read.
    auto handed_on = co_await ReadNewestFromOthers(partition, beyond);
    if (handed_on) co_return std::move(*handed_on);
  }
  Result<RecordSnapshot> snapshot = std::move(*read->result);
  if (snapshot) {
    KeepSnapshot(partition, *snapshot, read->asked_at);
    plan.OnNews(Now());
  }
  co_return snapshot;
}

SharedReads::NewestReadPtr SharedReads::BeginNewestRead(const Partition& partition,
                                                        base::Duration timeout) {
  auto read = std::make_shared<NewestRead>(executor_);
  read->asked_at = Now();
  boost::asio::co_spawn(executor_, RunNewestRead(partition, timeout, read), boost::asio::detached);
  return read;
}

awaitable<void> SharedReads::RunNewestRead(Partition partition, base::Duration timeout,
                                           NewestReadPtr read) {
  Result<RecordSnapshot> snapshot = co_await store_.ReadNewest(partition, read->asked_at + timeout);
  read->result = std::move(snapshot);
  read->changed.cancel();
}

awaitable<void> SharedReads::AwaitNewestRead(Partition partition, NewestReadPtr read) {
  base::TimePoint until = followed_[partition].long_reads->NextAskAt();
  if (!read) {
    if (until > Now()) {
      co_await Sleep(until - Now());
    }
    co_return;
  }
  until = std::max(until, read->asked_at + kStoreHeadStart);
  if (read->result || until <= Now()) co_return;
  read->changed.expires_after(until - Now());
  co_await read->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<std::optional<RecordSnapshot>> SharedReads::ReadNewestFromOthers(Partition partition,
                                                                           base::Offset beyond) {
  fleet::LongReadPlan& plan = *followed_[partition].long_reads;
  const fleet::RecordSource source = plan.NextSource(Now());
  const auto peer = Find(source);
  std::optional<RecordSnapshot> snapshot;
  if (peer) {
    snapshot = co_await ReadNewestFrom(partition, beyond, source, *peer);
  }
  if (snapshot) {
    plan.OnNews(Now());
  } else {
    plan.OnNothing(Now(), std::uniform_real_distribution<double>(0, 1)(random_));
  }
  co_return snapshot;
}

awaitable<std::optional<RecordSnapshot>> SharedReads::ReadNewestFrom(Partition partition,
                                                                     base::Offset beyond,
                                                                     fleet::RecordSource source,
                                                                     PeerEndpoint peer) {
  schema::FeedAsk ask{++next_nonce_, partition.stream, partition.part, {}};
  const auto answer = co_await Ask(peer, std::move(ask));
  metrics_.CountFeedAsk(answer ? "first_answered" : "first_unanswered");
  fleet::LongReadPlan& plan = *followed_[partition].long_reads;
  plan.OnAnswer(Now(), source, answer.has_value());
  if (!answer || answer->end <= beyond) co_return std::nullopt;
  plan.OnMissing(Now(), answer->end);
  co_return co_await FetchNewest(partition, beyond, peer);
}

awaitable<std::optional<RecordSnapshot>> SharedReads::FetchNewest(Partition partition,
                                                                  base::Offset beyond,
                                                                  PeerEndpoint peer) {
  const base::TimePoint asked_at = Now();
  dispatch::Endpoint endpoint{peer.address().to_string(), peer.port()};
  const SnapshotResult result = co_await transfers_.FetchNewest(std::move(endpoint), partition);
  metrics_.CountFeedAsk(std::string("newest_") + ToString(result.end));
  fleet::LongReadPlan& plan = *followed_[partition].long_reads;
  if (result.end == TransferEnd::kBusy) plan.OnBusy(Now());
  if (result.end == TransferEnd::kUnsupported) plan.OnUnsupported(Now());
  if (result.end != TransferEnd::kDone) co_return std::nullopt;
  auto snapshot = Unpack(result.transfer);
  Log(snapshot ? Level::kInfo : Level::kWarning,
      snapshot ? "newest_records_transferred" : "transfer_damaged",
      {{"stream", partition.stream.value},
       {"peer", peer.address().to_string()},
       {"records", result.transfer.records.size()},
       {"end", result.transfer.end.value},
       {"took_ms", base::ToMillis(Now() - asked_at)}});
  if (!snapshot || snapshot->next <= beyond) co_return std::nullopt;
  KeepSnapshot(partition, *snapshot, asked_at - milliseconds{result.transfer.age_ms});
  co_return snapshot;
}

awaitable<void> SharedReads::AwaitPeers() {
  while (peers_known_ && !peers_known_()) {
    const auto answered_at = store_.FirstAnsweredAt();
    if (answered_at && Now() - *answered_at >= kMaxPeersWait) co_return;
    co_await Sleep(kPeersCheckInterval);
  }
}

}  // namespace persimmonstair::gateway::store_access
