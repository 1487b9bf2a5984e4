#include "store_access/partition_reads.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <utility>

#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

using base::ErrorCode;
using base::Result;
using boost::asio::awaitable;

/// Longer than a request waits, because a busy store answers late.
constexpr std::chrono::seconds kReadTimeout{10};

}  // namespace

awaitable<Result<PartitionReads::KeySet>> PartitionReads::Read(Partition partition, KeySet keys,
                                                               base::TimePoint deadline) {
  const auto waiter = std::make_shared<Waiter>(executor_, std::move(keys));
  auto& read = reads_[partition];
  const bool idle = read == nullptr;
  if (idle) read = std::make_shared<SharedRead>();
  read->joined.push_back(waiter);
  read->wanted.insert(waiter->missing.begin(), waiter->missing.end());
  if (idle) {
    boost::asio::co_spawn(executor_, Run(partition, read),
                          [this, partition](const std::exception_ptr& error) {
                            if (error) Fail(partition);
                          });
  }
  co_await waiter->done.WaitUntil(deadline);
  waiter->abandoned = true;
  if (!waiter->done.IsSet() || waiter->failed) {
    co_return base::Fail(ErrorCode::kLogUnavailable, "the partition was not read in time");
  }
  co_return std::move(waiter->missing);
}

awaitable<Result<RecordSnapshot>> PartitionReads::ReadWanted(Partition partition,
                                                             std::shared_ptr<SharedRead> read) {
  auto snapshot = co_await ReadOnce(partition, read);
  if (!read->no_room) co_return snapshot;
  snapshot = base::Fail(ErrorCode::kOverloaded, "the memory for requests is full");
  read->held.reset();
  // Reads that find no room together may find it one after the other.
  const Slots::Slot alone = co_await alone_.Acquire();
  auto second = co_await ReadOnce(partition, read);
  if (!read->no_room) co_return second;
  co_return snapshot;
}

awaitable<Result<RecordSnapshot>> PartitionReads::ReadOnce(Partition partition,
                                                           std::shared_ptr<SharedRead> read) {
  const Slots::Slot slot = co_await slots_.Acquire();
  if (memory_ != nullptr) read->held.emplace(*memory_);
  read->no_room = false;
  RecordFilter filter = [this, partition, read](const KeyedRecord& record) {
    if (!needs_(partition, record, read->wanted)) return false;
    read->no_room = read->no_room || (read->held && !read->held->Add(SizeOf(record)));
    return !read->no_room;
  };
  co_return co_await store_.ReadNewestOf(partition, Now() + kReadTimeout, std::move(filter));
}

awaitable<void> PartitionReads::Run(Partition partition, std::shared_ptr<SharedRead> read) {
  while (!read->joined.empty()) {
    read->waiting = std::exchange(read->joined, {});
    read->wanted.clear();
    for (const auto& one : read->waiting) {
      read->wanted.insert(one->missing.begin(), one->missing.end());
    }
    {
      const auto snapshot = co_await ReadWanted(partition, read);
      Deliver(partition, *read, snapshot);
    }
    read->held.reset();
  }
  reads_.erase(partition);
}

void PartitionReads::Deliver(const Partition& partition, SharedRead& read,
                             const Result<RecordSnapshot>& snapshot) {
  KeySet found;
  if (snapshot) {
    found = take_over_(partition, *snapshot, read.wanted);
  } else {
    diagnostics::Log(diagnostics::Level::kWarning, "partition_not_read",
                     {{"stream", partition.stream.value},
                      {"part", partition.part},
                      {"error", snapshot.error().message}});
  }
  const auto is_found = [&found](const std::string& key) { return found.contains(key); };
  for (const auto& one : read.waiting) {
    std::erase_if(one->missing, is_found);
    one->failed = !snapshot;
    one->done.Set();
  }
  read.waiting.clear();
  for (const auto& one : read.joined) {
    std::erase_if(one->missing, is_found);
    if (one->missing.empty()) one->done.Set();
  }
  std::erase_if(read.joined, [](const auto& one) { return one->abandoned || one->done.IsSet(); });
}

void PartitionReads::Fail(const Partition& partition) {
  const auto read = std::move(reads_[partition]);
  reads_.erase(partition);
  for (const auto* waiters : {&read->waiting, &read->joined}) {
    for (const auto& one : *waiters) {
      one->failed = true;
      one->done.Set();
    }
  }
}

}  // namespace persimmonstair::gateway::store_access
