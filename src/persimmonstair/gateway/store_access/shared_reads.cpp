#include "store_access/shared_reads.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "clock.hpp"
#include "nonce.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/fleet/packed_record.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using base::Result;
using boost::asio::awaitable;
using diagnostics::Level;
using diagnostics::Log;
using std::chrono::milliseconds;

/// Interval at which the collector is asked for a partition that had no more records.
constexpr milliseconds kAskInterval{400};
/// Time after which the store is read in place of a collector that has not answered.
constexpr milliseconds kAnswerTimeout{250};
/// Delay of an answer of the store up to which it counts as made when it arrived. Beyond it the
/// read is late.
constexpr milliseconds kMaxUsualDelay{300};
/// Interval at which other instances are asked while a read is late.
constexpr milliseconds kAskPeerInterval{250};

std::vector<schema::FeedRecord> ToFeed(const std::vector<StoredRecord>& records) {
  std::vector<schema::FeedRecord> out;
  out.reserve(records.size());
  for (const auto& stored : records) {
    out.push_back(
        {stored.record.key, !stored.record.value, stored.record.value.value_or(std::string())});
  }
  return out;
}

RecordBatch FromFeed(schema::FeedAnswer answer, base::Offset from) {
  RecordBatch batch{{}, from, std::max(answer.end, from)};
  for (auto& record : answer.records) {
    KeyedRecord keyed{std::move(record.key), std::nullopt};
    if (!record.deleted) keyed.value = std::move(record.value);
    batch.records.push_back({batch.next, std::move(keyed)});
    ++batch.next.value;
  }
  return batch;
}

// Returns the time since the partition was last known to have no more records.
std::uint32_t AgeMillis(const fleet::RecordTail& tail) {
  const std::int64_t age_ms = base::ToMillis(Now() - tail.ConfirmedAt());
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(age_ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

SharedReads::SharedReads(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
                         PeerSocket& socket, diagnostics::Metrics& metrics,
                         base::Duration start_time)
    : executor_(executor),
      store_(store),
      socket_(socket),
      metrics_(metrics),
      transfers_(executor),
      direct_until_(Now() + start_time),
      next_nonce_(RandomNonce()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
  transfers_.SetRecords([this](const RecordRequest& request) { return MakeTransfer(request); });
}

awaitable<Result<RecordBatch>> SharedReads::Poll(Partition partition, base::Offset from,
                                                 base::Duration wait) {
  if (followed_[partition].long_reads) {
    co_return co_await PollLong(partition, from, wait);
  }
  auto shared = co_await ReadFromCollector(partition, from);
  if (shared) co_return std::move(*shared);
  // With a collector, the store is not to hold the read open: the next one goes to the collector.
  const base::Duration store_wait = uses_collector_ ? base::Duration{0} : wait;
  co_return co_await PollStore(partition, from, store_wait);
}

awaitable<Result<RecordBatch>> SharedReads::PollLong(Partition partition, base::Offset from,
                                                     base::Duration wait) {
  Followed& followed = followed_[partition];
  const fleet::StoreUse use = NextStoreUse(followed);
  if (use == fleet::StoreUse::kNone) {
    co_return co_await ReadFromOthers(partition, from);
  }
  followed.long_reads->OnStoreRead(Now());
  const base::Duration store_wait = use == fleet::StoreUse::kHeldOpen ? wait : base::Duration{0};
  co_return co_await PollStore(partition, from, store_wait);
}

awaitable<Result<RecordBatch>> SharedReads::PollStore(Partition partition, base::Offset from,
                                                      base::Duration wait) {
  const StoreReadPtr read = BeginStoreRead(
      partition, from, wait, [=, this] { return store_.Poll(partition, from, wait); });
  co_return co_await AwaitStoreRead(partition, from, read);
}

awaitable<Result<RecordBatch>> SharedReads::Read(Partition partition, base::Offset from,
                                                 base::TimePoint deadline) {
  auto shared = co_await ReadFromCollector(partition, from);
  if (shared) co_return std::move(*shared);
  const StoreReadPtr read = BeginStoreRead(
      partition, from, {}, [=, this] { return store_.Read(partition, from, deadline); });
  co_return co_await AwaitStoreRead(partition, from, read);
}

template <class Send>
SharedReads::StoreReadPtr SharedReads::BeginStoreRead(const Partition& partition, base::Offset from,
                                                      base::Duration wait, Send send) {
  StoreReadPtr& read = followed_[partition].store_read;
  const bool outdated = read && read->result && read->from != from;
  if (read && !outdated) return read;
  read = std::make_shared<StoreRead>(executor_, from, wait);
  read->asked_at = Now();
  read->ask_peer_at = read->asked_at + wait + kMaxUsualDelay;
  boost::asio::co_spawn(executor_, RunStoreRead(read, std::move(send)), boost::asio::detached);
  return read;
}

template <class Send>
awaitable<void> SharedReads::RunStoreRead(StoreReadPtr read, Send send) {
  Result<RecordBatch> batch = co_await send();
  read->answered_at = Now();
  if (batch) path_.OnStoreRead(read->answered_at);
  read->result = std::move(batch);
  read->changed.cancel();
}

awaitable<Result<RecordBatch>> SharedReads::AwaitStoreRead(Partition partition, base::Offset from,
                                                           StoreReadPtr read) {
  while (!read->result) {
    if (Now() >= read->ask_peer_at) {
      read->ask_peer_at = Now() + kAskPeerInterval;
      const auto peer = PickPeer(find_peers_);
      std::optional<RecordBatch> batch;
      if (peer) {
        batch = co_await ReadFromPeer(partition, from, fleet::RecordSource::kAnywhere, *peer);
      }
      if (batch) co_return std::move(*batch);
      continue;
    }
    read->changed.expires_after(read->ask_peer_at - Now());
    co_await read->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  followed_[partition].store_read.reset();
  co_return TakeResult(partition, from, *read);
}

Result<RecordBatch> SharedReads::TakeResult(const Partition& partition, base::Offset from,
                                            const StoreRead& read) {
  if (!*read.result) return *read.result;
  RecordBatch batch = **read.result;
  // Other instances may have brought the first records meanwhile.
  std::erase_if(batch.records, [from](const auto& stored) { return stored.offset < from; });
  batch.next = std::max(batch.next, from);
  batch.end = std::max(batch.end, from);
  // A late answer may have been made right after it was asked for.
  const bool late = read.answered_at - read.asked_at > read.wait + kMaxUsualDelay;
  const bool complete = batch.next >= batch.end;
  const base::TimePoint confirmed_at = late ? read.asked_at : read.answered_at;
  Keep(partition, from, batch, complete ? confirmed_at : base::TimePoint{});
  return batch;
}

awaitable<std::optional<RecordBatch>> SharedReads::ReadFromPeer(Partition partition,
                                                                base::Offset from,
                                                                fleet::RecordSource source,
                                                                PeerEndpoint peer) {
  const base::TimePoint asked_at = Now();
  schema::FeedAsk ask{++next_nonce_, partition.stream, partition.part, from};
  auto answer = co_await Ask(peer, std::move(ask));
  metrics_.CountFeedAsk(answer ? "peer_answered" : "peer_unanswered");
  auto& long_reads = followed_[partition].long_reads;
  if (long_reads) long_reads->OnAnswer(Now(), source, answer.has_value());
  if (!answer) co_return std::nullopt;
  const std::uint32_t age_ms = answer->age_ms;
  const bool current = !answer->declined && milliseconds{age_ms} <= fleet::kMaxFeedAge;
  RecordBatch batch = KeepFromAnswer(partition, from, std::move(*answer), asked_at);
  const bool knows_more = batch.next < batch.end;
  if (batch.records.empty() && knows_more && long_reads) {
    long_reads->OnMissing(Now(), batch.end);
    co_return co_await Fetch(partition, from, peer);
  }
  if (batch.records.empty()) {
    if (current && !knows_more) co_return batch;
    co_return std::nullopt;
  }
  Log(Level::kInfo, "records_of_peer",
      {{"stream", partition.stream.value},
       {"peer", peer.address().to_string()},
       {"records", batch.records.size()},
       {"next", batch.next.value},
       {"age_ms", age_ms}});
  co_return batch;
}

fleet::StoreUse SharedReads::NextStoreUse(const Followed& followed) const {
  const fleet::ReaderRank place = find_rank_ ? find_rank_() : fleet::ReaderRank{};
  return followed.long_reads->NextStoreUse(Now(), followed.tail.ConfirmedAt(), place);
}

awaitable<RecordBatch> SharedReads::ReadFromOthers(Partition partition, base::Offset from) {
  fleet::LongReadPlan& plan = *followed_[partition].long_reads;
  if (plan.NextAskAt() > Now()) {
    co_await Sleep(plan.NextAskAt() - Now());
  }
  const fleet::RecordSource source = plan.NextSource(Now());
  const auto peer = Find(source);
  std::optional<RecordBatch> batch;
  if (peer) {
    batch = co_await ReadFromPeer(partition, from, source, *peer);
  }
  const bool has_all = batch && !plan.IsMissing(batch->next);
  if (has_all) {
    plan.OnNews(Now());
  } else {
    plan.OnNothing(Now(), std::uniform_real_distribution<double>(0, 1)(random_));
  }
  RecordBatch none{{}, from, from};
  co_return batch ? std::move(*batch) : std::move(none);
}

std::optional<PeerEndpoint> SharedReads::Find(fleet::RecordSource source) {
  const bool is_collector = source == fleet::RecordSource::kCollector && find_collector_;
  const auto collector = is_collector ? find_collector_() : std::nullopt;
  if (collector) return ToPeerEndpoint(*collector);
  const bool is_near = source != fleet::RecordSource::kAnywhere;
  const auto neighbour = is_near ? PickPeer(find_neighbours_) : std::nullopt;
  return neighbour ? neighbour : PickPeer(find_peers_);
}

std::optional<PeerEndpoint> SharedReads::PickPeer(const FindPeers& find) {
  const auto peers = find ? find() : std::vector<dispatch::Endpoint>();
  if (peers.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
  return ToPeerEndpoint(peers[pick(random_)]);
}

awaitable<std::optional<RecordBatch>> SharedReads::Fetch(Partition partition, base::Offset from,
                                                         PeerEndpoint peer) {
  const base::TimePoint asked_at = Now();
  dispatch::Endpoint endpoint{peer.address().to_string(), peer.port()};
  RecordRequest request{partition, from};
  TransferResult result = co_await transfers_.Fetch(std::move(endpoint), std::move(request));
  metrics_.CountFeedAsk(std::string("transfer_") + ToString(result.end));
  fleet::LongReadPlan& plan = *followed_[partition].long_reads;
  if (result.end == TransferEnd::kBusy) plan.OnBusy(Now());
  if (result.end == TransferEnd::kUnsupported) plan.OnUnsupported(Now());
  if (result.end != TransferEnd::kDone) co_return std::nullopt;
  auto batch = KeepTransfer(partition, from, std::move(result.transfer), asked_at);
  Log(batch ? Level::kInfo : Level::kWarning, batch ? "records_transferred" : "transfer_damaged",
      {{"stream", partition.stream.value},
       {"peer", peer.address().to_string()},
       {"from", from.value},
       {"records", batch ? batch->records.size() : 0},
       {"took_ms", base::ToMillis(Now() - asked_at)}});
  co_return batch;
}

std::optional<RecordBatch> SharedReads::KeepTransfer(const Partition& partition, base::Offset from,
                                                     schema::RecordTransfer transfer,
                                                     base::TimePoint asked_at) {
  std::vector<schema::FeedRecord> records;
  records.reserve(transfer.records.size());
  for (const auto& packed : transfer.records) {
    auto record = fleet::Unpack(packed);
    if (!record) return std::nullopt;
    records.push_back(std::move(*record));
  }
  Followed& followed = followed_[partition];
  fleet::RecordTail& tail = followed.tail;
  tail.AddPacked(from, std::move(transfer.records), records);
  if (followed.long_reads) followed.newest.Add(from, records);
  RecordBatch batch = FromFeed({0, false, std::move(records), transfer.end, transfer.age_ms}, from);
  if (batch.next >= batch.end) tail.Confirm(asked_at - milliseconds{transfer.age_ms});
  return batch;
}

std::optional<schema::EntryPeerMessage> SharedReads::MakeTransfer(
    const RecordRequest& request) const {
  const auto it = followed_.find(request.partition);
  if (it == followed_.end()) return std::nullopt;
  const fleet::RecordTail& tail = it->second.tail;
  if (request.newest) return it->second.newest.Snapshot(AgeMillis(tail));
  schema::RecordTransfer transfer{tail.PackedSince(request.from), tail.End(), AgeMillis(tail)};
  if (transfer.records.empty()) return std::nullopt;
  return transfer;
}

void SharedReads::KeepSnapshot(const Partition& partition, const RecordSnapshot& snapshot,
                               base::TimePoint asked_at) {
  Followed& followed = followed_[partition];
  fleet::RecordTail& tail = followed.tail;
  if (followed.long_reads) {
    std::vector<base::Offset> offsets;
    for (const auto& stored : snapshot.records) offsets.push_back(stored.offset);
    followed.newest.Reset(ToFeed(snapshot.records), offsets, snapshot.next);
  }
  const auto newest =
      std::max_element(snapshot.records.begin(), snapshot.records.end(),
                       [](const auto& a, const auto& b) { return a.offset < b.offset; });
  const bool is_last =
      newest != snapshot.records.end() && newest->offset.value + 1 == snapshot.next.value;
  tail.Add(is_last ? newest->offset : snapshot.next,
           is_last ? ToFeed({*newest}) : std::vector<schema::FeedRecord>());
  tail.Confirm(asked_at);
}

base::TimePoint SharedReads::ConfirmedAt(const Partition& partition) const {
  const auto it = followed_.find(partition);
  return it == followed_.end() ? base::TimePoint{} : it->second.tail.ConfirmedAt();
}

std::optional<PeerEndpoint> SharedReads::OpenCollector() {
  if (!find_collector_ || Now() < direct_until_ || store_.Failing()) return std::nullopt;
  const auto collector = find_collector_();
  const auto endpoint = collector ? ToPeerEndpoint(*collector) : std::nullopt;
  if (!endpoint) {
    LogChange(false, "no_collector");
    return std::nullopt;
  }
  const std::string address = collector->address + ":" + std::to_string(collector->port);
  return path_.IsOpen(Now(), address) ? endpoint : std::nullopt;
}

awaitable<std::optional<RecordBatch>> SharedReads::ReadFromCollector(Partition partition,
                                                                     base::Offset from) {
  const base::TimePoint ask_at = followed_[partition].next_ask_at;
  if (!OpenCollector()) co_return std::nullopt;
  if (ask_at > Now()) {
    co_await Sleep(ask_at - Now());
  }
  const auto collector = OpenCollector();
  if (!collector) co_return std::nullopt;
  const base::TimePoint asked_at = Now();
  schema::FeedAsk ask{++next_nonce_, partition.stream, partition.part, from};
  auto answer = co_await Ask(*collector, std::move(ask));
  const bool current = Accept(answer);
  if (!answer) co_return std::nullopt;
  RecordBatch batch = KeepFromAnswer(partition, from, std::move(*answer), asked_at);
  const bool knows_more = batch.next < batch.end;
  const bool asks_again_now = !batch.records.empty() && knows_more;
  if (current && !asks_again_now) followed_[partition].next_ask_at = asked_at + kAskInterval;
  // Records are news even if the collector can't say whether they are the last ones.
  if (!batch.records.empty()) co_return batch;
  if (!current) co_return std::nullopt;
  if (!knows_more) co_return batch;
  co_return std::nullopt;
}

RecordBatch SharedReads::KeepFromAnswer(const Partition& partition, base::Offset from,
                                        schema::FeedAnswer answer, base::TimePoint asked_at) {
  const bool tells_end = !answer.declined && answer.end >= from;
  const milliseconds age{answer.age_ms};
  RecordBatch batch = FromFeed(std::move(answer), from);
  const bool complete = tells_end && batch.next >= batch.end;
  Keep(partition, from, batch, complete ? asked_at - age : base::TimePoint{});
  return batch;
}

awaitable<std::optional<schema::FeedAnswer>> SharedReads::Ask(PeerEndpoint collector,
                                                              schema::FeedAsk ask) {
  const auto pending = std::make_shared<PendingAsk>(executor_);
  const std::uint64_t nonce = ask.nonce;
  asks_[nonce] = pending;
  socket_.Send(std::move(ask), collector);
  pending->changed.expires_after(kAnswerTimeout);
  co_await pending->changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  asks_.erase(nonce);
  co_return std::move(pending->answer);
}

bool SharedReads::Accept(const std::optional<schema::FeedAnswer>& answer) {
  const base::TimePoint now = Now();
  if (!answer) {
    path_.OnSilence(now);
    metrics_.CountFeedAsk("unanswered");
    LogChange(false, "unanswered");
    return false;
  }
  const bool old = milliseconds{answer->age_ms} > fleet::kMaxFeedAge;
  if (answer->declined || old) {
    const char* const reason = answer->declined ? "declined" : "old";
    path_.OnRefusal(now);
    metrics_.CountFeedAsk(reason);
    LogChange(false, reason);
    return false;
  }
  path_.OnAnswer();
  metrics_.CountFeedAsk("answered");
  LogChange(true, "answered");
  return true;
}

void SharedReads::Keep(const Partition& partition, base::Offset from, const RecordBatch& batch,
                       base::TimePoint confirmed_at) {
  Followed& followed = followed_[partition];
  auto records = ToFeed(batch.records);
  if (followed.long_reads) followed.newest.Add(from, records);
  followed.tail.Add(from, std::move(records));
  followed.tail.Confirm(confirmed_at);
}

void SharedReads::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  if (const auto* ask = std::get_if<schema::FeedAsk>(&message)) {
    socket_.Send(MakeAnswer(*ask), sender);
  } else if (const auto* answer = std::get_if<schema::FeedAnswer>(&message)) {
    const auto it = asks_.find(answer->nonce);
    if (it == asks_.end()) return;
    it->second->answer = *answer;
    it->second->changed.cancel();
  }
}

schema::FeedAnswer SharedReads::MakeAnswer(const schema::FeedAsk& ask) const {
  schema::FeedAnswer answer{ask.nonce, true, {}, {}, 0};
  const auto it = followed_.find({ask.stream, ask.part});
  if (it == followed_.end()) return answer;
  const fleet::RecordTail& tail = it->second.tail;
  // While single calls fail, the age of the records tells whether they can be used. Declining then
  // would send all its members to a store that is busy already.
  answer.declined = !store_.Up();
  answer.records = tail.Since(ask.from);
  answer.end = tail.End();
  answer.age_ms = AgeMillis(tail);
  return answer;
}

void SharedReads::LogChange(bool uses_collector, const char* reason) {
  if (uses_collector == uses_collector_) return;
  uses_collector_ = uses_collector;
  Log(Level::kInfo, uses_collector ? "reads_shared" : "reads_direct", {{"reason", reason}});
}

}  // namespace persimmonstair::gateway::store_access
