#include "caller_connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "clock.hpp"
#include "exchange.hpp"
#include "persimmonstair/diagnostics/log.hpp"
#include "socket_options.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Maximum time to write a part of a response to a caller, if the deadline of its request doesn't
/// leave more.
constexpr std::chrono::seconds kWriteTimeout{10};
/// An idle connection is kept open this much longer than the idle timeout that callers know, so
/// that no request arrives while the connection is being closed.
constexpr std::chrono::seconds kIdleCloseDelay{1};

/// Time in which a client whose request was refused may read the answer while it still sends.
constexpr std::chrono::seconds kDiscardTimeout{2};
/// Bytes beyond the largest head that may be read ahead: parts of the body or of the next request.
constexpr std::size_t kReadAheadBytes = 4096;
constexpr std::size_t kFirstReadBytes = 1024;
constexpr std::size_t kBodyReadBytes = 16'384;
/// Copies of a head: of the parser, the request and the request to the target.
constexpr std::size_t kHeadCopies = 3;
/// Time for which a request waits for room, with its socket unread.
constexpr milliseconds kRoomWait{300};
constexpr milliseconds kRoomPollInterval{10};
/// Each of them may fill the receive buffer of its socket meanwhile.
constexpr std::uint32_t kMaxWaitingForRoom = 32;
constexpr unsigned kNoRoomStatus = 503;

std::string_view ReasonPhrase(unsigned status) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  return {reason.data(), reason.size()};
}

std::string ErrorBody(const base::Error& error) {
  return fmt::format(R"({{"error":{{"code":"{}","verdict":"{}"}}}})", base::ToString(error.code),
                     base::ToString(error.verdict));
}

}  // namespace

CallerConnection::CallerConnection(GatewayContext& context, asio::ip::tcp::socket socket)
    : context_(context),
      socket_(std::move(socket)),
      send_watch_(socket_, kUserTimeout),
      timer_(socket_.get_executor()),
      place_(context.caller_connections, Now(), [this](Eviction reason) { return Evict(reason); }),
      request_bytes_(context.request_memory) {
  SetTcpOptions(socket_, send_watch_);
}

void CallerConnection::StartTimer(base::Duration time) {
  timed_out_ = false;
  timer_.expires_after(time);
  timer_.async_wait([self = shared_from_this(), generation = ++timer_generation_](error_code ec) {
    // A handler that was queued before the timer was stopped must not cancel a later operation.
    if (ec || generation != self->timer_generation_) return;
    self->timed_out_ = true;
    error_code ignored;  // The socket may be closed already.
    self->socket_.cancel(ignored);
  });
}

void CallerConnection::StopTimer() {
  ++timer_generation_;
  timer_.cancel();
}

asio::awaitable<void> CallerConnection::Run() {
  const auto self = shared_from_this();
  while (keep_alive_ && !disconnected_) {
    if (!co_await WaitForRequest()) break;
    idle_ = false;
    ++context_.open_requests;
    const bool served = co_await ServeRequest();
    --context_.open_requests;
    idle_ = true;
    if (served) place_.Set(ConnectionPhase::kIdle, Now());
    if (!served || context_.stopping) break;
  }
  error_code ignored;  // The peer may have closed the connection already.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  send_watch_.BeforeClose(LongestWrite());
  socket_.close(ignored);
}

milliseconds CallerConnection::LongestWrite() const {
  const base::Duration until_deadline = deadline_ - Now();
  return std::max<milliseconds>(kWriteTimeout,
                                std::chrono::duration_cast<milliseconds>(until_deadline));
}

asio::awaitable<bool> CallerConnection::ServeRequest() {
  auto request = co_await ReadRequest();
  if (!request) {
    // What the request held is free before its answer is written.
    request_bytes_.Release(request_bytes_.Held() - buffer_bytes_);
    co_await RejectRequest(request.error());
    co_return false;
  }
  place_.Set(ConnectionPhase::kServing, Now());
  WatchCaller();
  {
    Exchange exchange(context_, *this, std::move(*request), arrived_at_);
    co_await exchange.Run();
  }
  on_disconnect_ = nullptr;
  StopWatching();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
    buffer_bytes_ = buffer_.capacity();
  }
  request_bytes_.Release(request_bytes_.Held() - std::min(buffer_bytes_, request_bytes_.Held()));
  co_return true;
}

asio::awaitable<bool> CallerConnection::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  const auto& configuration = context_.configuration.Current();
  const CallerLimits limits = configuration ? configuration->Limits() : CallerLimits{};
  StartTimer(limits.idle_timeout + kIdleCloseDelay);
  const auto [ec] = co_await socket_.async_wait(asio::ip::tcp::socket::wait_read, kTuple);
  StopTimer();
  if (ec) co_return false;
  const PeerState state = PeekPeer(socket_);
  LogLoss(state);
  co_return state == PeerState::kDataAvailable;
}

// Bytes of the last response may not have reached the caller.
void CallerConnection::LogLoss(PeerState state) {
  if (state != PeerState::kReset && state != PeerState::kTimedOut) return;
  const auto left_out = context_.loss_log.Take(Now());
  if (!left_out) return;
  diagnostics::Log(diagnostics::Level::kInfo, "caller_connection_lost",
                   {{"by", state == PeerState::kReset ? "reset" : "timeout"},
                    {"last_request_ms", base::ToMillis(Now() - arrived_at_)},
                    {"left_out", *left_out}});
}

asio::awaitable<CallerConnection::ReadResult> CallerConnection::ReadRequest() {
  const auto& configuration = context_.configuration.Current();
  const CallerLimits limits = configuration ? configuration->Limits() : CallerLimits{};
  RequestParser parser(limits);
  buffer_.max_size(limits.max_header_bytes + kReadAheadBytes);
  place_.Set(ConnectionPhase::kReadingHead, Now());
  // A response to a request that can't be read ends the connection.
  keep_alive_ = false;
  head_request_ = false;
  arrived_at_ = Now();
  const base::TimePoint head_deadline = arrived_at_ + limits.header_timeout;
  StartTimer(limits.header_timeout);
  auto failure = co_await Parse(parser);
  while (!failure && !parser.HasHead()) {
    // Reads that end at once leave the timer no operation to cancel.
    if (Now() >= head_deadline) timed_out_ = true;
    failure = co_await ReadSome(true);
    if (!failure) {
      failure = co_await Parse(parser);
    }
  }
  StopTimer();
  arrived_at_ = Now();
  deadline_ = arrived_at_;
  head_request_ = parser.IsHead();
  // The head is held by the parser, and then by the request with its metadata.
  if (!failure && !co_await TakeRoom(kHeadCopies * parser.HeadBytes())) failure = NoRoom();
  if (!failure) {
    failure = co_await ReadBody(parser, limits);
  }
  if (failure) co_return tl::make_unexpected(std::move(*failure));
  keep_alive_ = parser.KeepAlive();
  co_return parser.Take();
}

asio::awaitable<std::optional<CallerConnection::ReadFailure>> CallerConnection::ReadBody(
    RequestParser& parser, const CallerLimits& limits) {
  std::optional<ReadFailure> failure;
  const base::TimePoint deadline = arrived_at_ + limits.idle_timeout;
  const bool waits = parser.GetState() == RequestParser::State::kNeedMore;
  if (waits && buffer_.size() == 0 && parser.ExpectsContinue()) {
    if (!co_await Write("HTTP/1.1 100 Continue\r\n\r\n")) co_return ReadFailure{0, "closed"};
  }
  while (!failure && parser.GetState() == RequestParser::State::kNeedMore) {
    const base::Duration left = deadline - Now();
    StartTimer(std::max<base::Duration>(left, std::chrono::milliseconds{1}));
    if (left <= base::Duration{0}) timed_out_ = true;
    failure = co_await ReadSome(false);
    StopTimer();
    if (!failure) {
      failure = co_await Parse(parser);
    }
  }
  co_return failure;
}

asio::awaitable<std::optional<CallerConnection::ReadFailure>> CallerConnection::Parse(
    RequestParser& parser) {
  for (;;) {
    const auto data = buffer_.cdata();
    buffer_.consume(parser.Put({static_cast<const char*>(data.data()), data.size()}));
    if (parser.GetState() == RequestParser::State::kFailed) co_return FailureOf(parser.Error());
    if (parser.GetState() != RequestParser::State::kNeedRoom) co_return std::nullopt;
    if (!co_await TakeRoom(parser.BodyRoom())) co_return NoRoom();
    const std::size_t before = parser.BodyCapacity();
    parser.GiveRoom();
    request_bytes_.Release(before);
  }
}

asio::awaitable<std::optional<CallerConnection::ReadFailure>> CallerConnection::ReadSome(
    bool head) {
  const std::size_t free = buffer_.max_size() - std::min(buffer_.size(), buffer_.max_size());
  if (free == 0) co_return FailureOf(http::error::header_limit);
  const std::size_t wanted = head ? std::max(kFirstReadBytes, buffer_.size()) : kBodyReadBytes;
  const auto space = buffer_.prepare(std::min(free, wanted));
  if (buffer_.capacity() > buffer_bytes_) {
    if (!co_await TakeRoom(buffer_.capacity() - buffer_bytes_)) co_return NoRoom();
    buffer_bytes_ = buffer_.capacity();
  }
  if (timed_out_ || evicted_) co_return FailureOf(asio::error::operation_aborted);
  const auto [ec, n] = co_await socket_.async_read_some(space, kTuple);
  if (ec) co_return FailureOf(ec);
  buffer_.commit(n);
  place_.Set(head ? ConnectionPhase::kReadingHead : ConnectionPhase::kReading, Now());
  co_return std::nullopt;
}

asio::awaitable<bool> CallerConnection::TakeRoom(std::size_t bytes) {
  if (request_bytes_.Add(bytes)) co_return true;
  if (context_.waiting_for_room >= kMaxWaitingForRoom) co_return false;
  ++context_.waiting_for_room;
  place_.Set(ConnectionPhase::kServing, Now());
  const base::TimePoint deadline = Now() + kRoomWait;
  bool taken = false;
  while (!taken && Now() < deadline && !context_.stopping) {
    context_.caller_connections->EndStalled(Now(), Eviction::kMemory);
    co_await Sleep(kRoomPollInterval);
    taken = request_bytes_.Add(bytes);
  }
  --context_.waiting_for_room;
  place_.Set(ConnectionPhase::kReading, Now());
  co_return taken;
}

CallerConnection::ReadFailure CallerConnection::FailureOf(const error_code& ec) const {
  ReadFailure failure{0, ec.message()};
  const bool malformed = ec.category() == http::make_error_code(http::error::bad_method).category();
  if (ec == http::error::header_limit) {
    failure.status = 431;
  } else if (ec == http::error::body_limit) {
    failure.status = 413;
  } else if (malformed) {
    failure.status = 400;
  } else if (timed_out_) {
    failure = {408, "timeout", "timeout"};
  } else if (evicted_ == Eviction::kMemory) {
    failure = {408, "the request stopped arriving and others needed its memory", "stalled"};
  }
  return failure;
}

asio::awaitable<void> CallerConnection::RejectRequest(const ReadFailure& failure) {
  if (const auto left_out = context_.refusal_log.Take(Now())) {
    diagnostics::Log(
        diagnostics::Level::kInfo, "request_unreadable",
        {{"status", failure.status}, {"error", failure.message}, {"left_out", *left_out}});
  }
  if (failure.status == 0) co_return;
  context_.metrics.CountAnswer("", "unreadable", failure.status, Now() - arrived_at_);
  context_.metrics.CountClientRefusal(failure.reason);
  HttpHead head{failure.status, {}, {}};
  if (failure.status == kNoRoomStatus) head.headers.push_back({"Retry-After", "0.5"});
  co_await Respond(std::move(head), {});
  // What is left is worth less than any other connection.
  place_.Set(ConnectionPhase::kUnused, Now());
  co_await DiscardInput();
}

// Reads and discards input before closing: closing a socket with unread bytes resets the
// connection, and the caller could lose the response.
asio::awaitable<void> CallerConnection::DiscardInput() {
  error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  const base::TimePoint deadline = Now() + kDiscardTimeout;
  StartTimer(kDiscardTimeout);
  while (!ec && !timed_out_ && Now() < deadline) {
    const auto [read_ec, n] =
        co_await socket_.async_read_some(asio::buffer(context_.discarded), kTuple);
    ec = read_ec;
  }
  StopTimer();
}

asio::awaitable<bool> CallerConnection::Write(std::string_view head, std::string_view body,
                                              std::string_view end) {
  if (disconnected_) co_return false;
  const std::array<asio::const_buffer, 3> parts{asio::buffer(head), asio::buffer(body),
                                                asio::buffer(end)};
  StartTimer(LongestWrite());
  send_watch_.OnWrite();
  const auto [ec, n] = co_await asio::async_write(socket_, parts, kTuple);
  StopTimer();
  if (ec) MarkDisconnected();
  co_return !ec;
}

HttpHead CallerConnection::WithConnectionHeaders(HttpHead head) const {
  if (!keep_alive_ || context_.stopping) head.headers.push_back({"Connection", "close"});
  return head;
}

bool CallerConnection::HasBody(unsigned status) const {
  return !head_request_ && StatusHasBody(status);
}

asio::awaitable<bool> CallerConnection::Respond(HttpHead head, std::string body) {
  if (head.reason.empty()) head.reason = ReasonPhrase(head.status);
  const bool has_body = HasBody(head.status);
  if (has_body) head.headers.push_back({"Content-Length", std::to_string(body.size())});
  const std::string bytes = SerializeHead(WithConnectionHeaders(std::move(head)));
  std::string_view sent;
  if (has_body) sent = body;
  co_return co_await Write(bytes, sent);
}

asio::awaitable<bool> CallerConnection::RespondError(const base::Error& error) {
  HttpHead head{static_cast<unsigned>(base::HttpStatus(error.code)), {}, {}};
  head.headers.push_back({"Content-Type", "application/json"});
  if (error.retry_after > base::Duration{0}) {
    head.headers.push_back(
        {"Retry-After", fmt::format("{:.3f}", base::ToSeconds(error.retry_after))});
  }
  co_return co_await Respond(std::move(head), ErrorBody(error));
}

asio::awaitable<bool> CallerConnection::StartStream(HttpHead head) {
  bodiless_stream_ = !HasBody(head.status);
  if (!bodiless_stream_) head.headers.push_back({"Transfer-Encoding", "chunked"});
  const std::string bytes = SerializeHead(WithConnectionHeaders(std::move(head)));
  co_return co_await Write(bytes);
}

asio::awaitable<bool> CallerConnection::SendChunk(std::string_view data) {
  if (data.empty() || bodiless_stream_) co_return !disconnected_;
  const std::string line = SerializeChunkLine(data.size());
  co_return co_await Write(line, data, kChunkEnd);
}

asio::awaitable<bool> CallerConnection::EndStream() {
  if (bodiless_stream_) co_return !disconnected_;
  co_return co_await Write("0\r\n\r\n");
}

void CallerConnection::Abort() {
  keep_alive_ = false;
  MarkDisconnected();
  error_code ignored;  // The peer may have closed the connection already.
  socket_.close(ignored);
}

void CallerConnection::MarkDisconnected() {
  if (disconnected_) return;
  disconnected_ = true;
  if (const auto callback = std::exchange(on_disconnect_, nullptr)) callback();
}

void CallerConnection::WatchCaller() {
  watching_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     asio::bind_cancellation_slot(stop_watching_.slot(),
                                                  [self = shared_from_this()](error_code ec) {
                                                    if (ec || !self->watching_) return;
                                                    const PeerState state = PeekPeer(self->socket_);
                                                    // Bytes of the next request stay unread, so a
                                                    // close that follows them isn't detected.
                                                    if (state == PeerState::kDataAvailable) return;
                                                    if (state == PeerState::kIdle) {
                                                      self->WatchCaller();
                                                    } else {
                                                      self->MarkDisconnected();
                                                    }
                                                  }));
}

void CallerConnection::StopWatching() {
  watching_ = false;
  stop_watching_.emit(asio::cancellation_type::terminal);
}

void CallerConnection::EndRequest() {
  if (on_end_request_) on_end_request_();
}

bool CallerConnection::Evict(Eviction reason) {
  if (idle_ && PeekPeer(socket_) == PeerState::kDataAvailable) return false;
  evicted_ = reason;
  keep_alive_ = false;
  error_code ignored;  // The peer may have closed the connection already.
  if (reason == Eviction::kMemory) {
    socket_.cancel(ignored);
    return true;
  }
  context_.metrics.CountClientRefusal("too_many_connections");
  send_watch_.BeforeClose(LongestWrite());
  socket_.close(ignored);
  return true;
}

void CallerConnection::CloseIfIdle() {
  if (!idle_) return;
  keep_alive_ = false;
  error_code ignored;  // The peer may have closed the connection already.
  socket_.cancel(ignored);
}

}  // namespace persimmonstair::gateway
