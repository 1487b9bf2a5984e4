#include "store_access/record_transfers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "clock.hpp"
#include "persimmonstair/fleet/long_read_plan.hpp"
#include "persimmonstair/gateway/http_connection.hpp"
#include "persimmonstair/schema/entry_peer_codec.hpp"

namespace persimmonstair::gateway::store_access {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{100};
/// Time for an instance to begin its answer, and longest silence within it.
constexpr milliseconds kAnswerTimeout{400};
/// Time for the whole of an answer.
constexpr milliseconds kBodyTimeout{2000};
/// Time in which a receiver must take each piece of an answer.
constexpr milliseconds kWriteTimeout{1000};
constexpr std::size_t kPieceBytes = std::size_t{64} << 10U;
/// Longest answer that is read, in bytes.
constexpr std::size_t kMaxAnswerBytes = std::size_t{17} << 20U;

awaitable<bool> Write(boost::beast::tcp_stream& stream, std::string_view bytes) {
  while (!bytes.empty()) {
    const std::string_view piece = bytes.substr(0, kPieceBytes);
    stream.expires_after(kWriteTimeout);
    const auto [ec, n] = co_await asio::async_write(stream, asio::buffer(piece),
                                                    asio::as_tuple(asio::use_awaitable));
    if (ec) co_return false;
    bytes.remove_prefix(piece.size());
  }
  co_return true;
}

std::string Head(unsigned status, std::size_t length) {
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", status,
                     status == kRecordsFollow ? "Records" : "No records", length);
}

TransferEnd EndOf(unsigned status) {
  if (status == kRecordsFollow) return TransferEnd::kDone;
  if (status == kRecordsNotHeld) return TransferEnd::kNotHeld;
  if (status == kRecordsBusy) return TransferEnd::kBusy;
  return TransferEnd::kUnsupported;
}

bool IsClosed(const boost::system::error_code& ec) {
  return ec == boost::beast::http::error::end_of_stream || ec == asio::error::eof ||
         ec == asio::error::connection_reset;
}

// Returns the body; nothing if it is cut off, too long or too slow.
awaitable<std::optional<std::string>> ReadWholeBody(HttpConnection& connection) {
  const base::TimePoint deadline = Now() + kBodyTimeout;
  std::string body;
  while (Now() < deadline && body.size() <= kMaxAnswerBytes) {
    BodyPiece piece = co_await connection.ReadBody(kAnswerTimeout);
    if (piece.error) co_return std::nullopt;
    body += piece.data;
    if (piece.end) co_return body;
  }
  co_return std::nullopt;
}

template <class Transfer>
std::optional<Transfer> DecodeTransfer(std::string_view bytes) {
  auto message = schema::DecodeEntryPeer(bytes);
  auto* transfer = message ? std::get_if<Transfer>(&*message) : nullptr;
  if (transfer == nullptr || transfer->records.empty()) return std::nullopt;
  return std::move(*transfer);
}

}  // namespace

const char* ToString(TransferEnd end) {
  switch (end) {
    case TransferEnd::kDone:
      return "done";
    case TransferEnd::kNotHeld:
      return "not_held";
    case TransferEnd::kBusy:
      return "busy";
    case TransferEnd::kUnsupported:
      return "unsupported";
    case TransferEnd::kFailed:
      break;
  }
  return "failed";
}

awaitable<void> RecordTransfers::Serve(boost::beast::tcp_stream& stream, RecordRequest request) {
  if (served_ >= fleet::kMaxTransfersServed) {
    co_await Write(stream, Head(kRecordsBusy, 0));
    co_return;
  }
  auto transfer = find_ ? find_(request) : std::nullopt;
  if (!transfer) {
    co_await Write(stream, Head(kRecordsNotHeld, 0));
    co_return;
  }
  ++served_;
  const std::string body = schema::EncodeEntryPeer(*transfer);
  const std::string head = Head(kRecordsFollow, body.size());
  if (co_await Write(stream, head)) co_await Write(stream, body);
  --served_;
}

awaitable<TransferResult> RecordTransfers::Fetch(dispatch::Endpoint peer, RecordRequest request) {
  return FetchAs<schema::RecordTransfer>(std::move(peer), std::move(request));
}

awaitable<SnapshotResult> RecordTransfers::FetchNewest(dispatch::Endpoint peer,
                                                       Partition partition) {
  return FetchAs<schema::SnapshotTransfer>(std::move(peer), {std::move(partition), {}, true});
}

template <class Transfer>
awaitable<BasicTransferResult<Transfer>> RecordTransfers::FetchAs(dispatch::Endpoint peer,
                                                                  RecordRequest request) {
  BasicTransferResult<Transfer> result;
  HttpConnection connection(executor_);
  if (co_await connection.Connect(peer, kConnectTimeout)) co_return result;
  const auto written = co_await connection.Write(SerializeRecordRequest(request), kAnswerTimeout);
  if (written.error) co_return result;
  const auto head = co_await connection.ReadHead(kAnswerTimeout);
  if (!head) {
    if (IsClosed(head.error())) result.end = TransferEnd::kUnsupported;
    co_return result;
  }
  result.end = EndOf(head->status);
  if (result.end != TransferEnd::kDone) co_return result;
  const auto body = co_await ReadWholeBody(connection);
  auto transfer = body ? DecodeTransfer<Transfer>(*body) : std::nullopt;
  result.end = transfer ? TransferEnd::kDone : TransferEnd::kFailed;
  if (transfer) result.transfer = std::move(*transfer);
  co_return result;
}

}  // namespace persimmonstair::gateway::store_access
