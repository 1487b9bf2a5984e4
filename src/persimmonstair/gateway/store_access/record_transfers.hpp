#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_TRANSFERS_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_TRANSFERS_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/schema/entry_peer.hpp"
#include "store_access/record_protocol.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief How a request for records ended.
enum class TransferEnd {
  kDone,
  /// The instance does not hold the records.
  kNotHeld,
  /// The instance hands on records to others.
  kBusy,
  /// The connection failed, or no whole answer came.
  kFailed,
  /// The instance closed the connection without an answer, as builds do that pass on no long
  /// records.
  kUnsupported,
};

const char* ToString(TransferEnd end);

template <class Transfer>
struct BasicTransferResult {
  TransferEnd end = TransferEnd::kFailed;
  /// What was handed on, after kDone.
  Transfer transfer;
};
using TransferResult = BasicTransferResult<schema::RecordTransfer>;
using SnapshotResult = BasicTransferResult<schema::SnapshotTransfer>;

/// @brief Hands records that don't fit into a datagram on to other instances, over connections at
/// the peer port, and fetches them from there.
class RecordTransfers {
 public:
  /// Returns what this instance holds; nothing if it doesn't hold the first record or doesn't know
  /// the newest ones.
  using FindRecords = std::function<std::optional<schema::EntryPeerMessage>(const RecordRequest&)>;

  explicit RecordTransfers(const boost::asio::any_io_executor& executor) : executor_(executor) {}

  /// Until this is called, no records are handed on.
  void SetRecords(FindRecords find) { find_ = std::move(find); }

  /// Answers a request for records.
  boost::asio::awaitable<void> Serve(boost::beast::tcp_stream& stream, RecordRequest request);

  boost::asio::awaitable<TransferResult> Fetch(dispatch::Endpoint peer, RecordRequest request);
  /// Fetches the newest record of each key.
  boost::asio::awaitable<SnapshotResult> FetchNewest(dispatch::Endpoint peer, Partition partition);

 private:
  template <class Transfer>
  boost::asio::awaitable<BasicTransferResult<Transfer>> FetchAs(dispatch::Endpoint peer,
                                                                RecordRequest request);
  boost::asio::any_io_executor executor_;
  FindRecords find_;
  std::size_t served_ = 0;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RECORD_TRANSFERS_HPP_
