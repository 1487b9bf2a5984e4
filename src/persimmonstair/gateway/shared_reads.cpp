#include "shared_reads.hpp"

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

namespace persimmonstair::gateway {
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

}  // namespace

SharedReads::SharedReads(const boost::asio::any_io_executor& executor, RetryingRecordStore& store,
                         PeerSocket& socket, diagnostics::Metrics& metrics,
                         base::Duration start_time)
    : executor_(executor),
      store_(store),
      socket_(socket),
      metrics_(metrics),
      direct_until_(Now() + start_time),
      next_nonce_(RandomNonce()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

awaitable<Result<RecordBatch>> SharedReads::Poll(Partition partition, base::Offset from,
                                                 base::Duration wait) {
  auto shared = co_await ReadFromCollector(partition, from);
  if (shared) co_return std::move(*shared);
  // With a collector, the store is not to hold the read open: the next one goes to the collector.
  const base::Duration store_wait = uses_collector_ ? base::Duration{0} : wait;
  const StoreReadPtr read = BeginStoreRead(
      partition, from, store_wait, [=, this] { return store_.Poll(partition, from, store_wait); });
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
      auto batch = co_await ReadFromPeer(partition, from);
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
  NoteRecordSizes(partition, batch.records);
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
                                                                base::Offset from) {
  const auto peers = find_peers_ ? find_peers_() : std::vector<dispatch::Endpoint>();
  if (peers.empty()) co_return std::nullopt;
  std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
  const auto endpoint = ToPeerEndpoint(peers[pick(random_)]);
  if (!endpoint) co_return std::nullopt;
  const base::TimePoint asked_at = Now();
  schema::FeedAsk ask{++next_nonce_, partition.stream, partition.part, from};
  auto answer = co_await Ask(*endpoint, std::move(ask));
  metrics_.CountFeedAsk(answer ? "late_read_answered" : "late_read_unanswered");
  if (!answer) co_return std::nullopt;
  const std::uint32_t age_ms = answer->age_ms;
  const bool current = !answer->declined && milliseconds{age_ms} <= fleet::kMaxFeedAge;
  RecordBatch batch = KeepFromAnswer(partition, from, std::move(*answer), asked_at);
  if (batch.records.empty()) {
    if (current && batch.next >= batch.end) co_return batch;
    co_return std::nullopt;
  }
  Log(Level::kInfo, "records_of_peer",
      {{"stream", partition.stream.value},
       {"peer", endpoint->address().to_string()},
       {"records", batch.records.size()},
       {"next", batch.next.value},
       {"age_ms", age_ms}});
  co_return batch;
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
  co_await DelayBulkRead(partition);
  co_return std::nullopt;
}

awaitable<void> SharedReads::DelayBulkRead(Partition partition) {
  const std::size_t bytes = followed_[partition].long_record_bytes;
  const base::Duration spread = bulk_spread_ ? bulk_spread_(bytes) : base::Duration{0};
  if (spread <= base::Duration{0}) co_return;
  std::uniform_int_distribution<base::Duration::rep> delay(0, spread.count());
  co_await Sleep(base::Duration{delay(random_)});
}

void SharedReads::NoteRecordSizes(const Partition& partition,
                                  const std::vector<StoredRecord>& records) {
  for (const auto& stored : records) {
    if (!stored.record.value) continue;
    const std::size_t bytes = stored.record.value->size();
    if (bytes > fleet::kMaxFeedRecordBytes) followed_[partition].long_record_bytes = bytes;
  }
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
  fleet::RecordTail& tail = followed_[partition].tail;
  tail.Add(from, ToFeed(batch.records));
  tail.Confirm(confirmed_at);
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
  const base::Duration age = Now() - tail.ConfirmedAt();
  // While single calls fail, the age of the records tells whether they can be used. Declining then
  // would send all its members to a store that is busy already.
  answer.declined = !store_.Up();
  answer.records = tail.Since(ask.from);
  answer.end = tail.End();
  answer.age_ms = static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(base::ToMillis(age), 0, std::numeric_limits<std::uint32_t>::max()));
  return answer;
}

void SharedReads::LogChange(bool uses_collector, const char* reason) {
  if (uses_collector == uses_collector_) return;
  uses_collector_ = uses_collector;
  Log(Level::kInfo, uses_collector ? "reads_shared" : "reads_direct", {{"reason", reason}});
}

}  // namespace persimmonstair::gateway
