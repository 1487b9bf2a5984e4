#include "peer_sender.hpp"

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// No more frames are added to a write once it exceeds this size, which bounds the memory for the
// encoded copies.
constexpr std::size_t kBatchBytes = 1U << 20U;

}  // namespace

PeerSender::PeerSender(std::shared_ptr<PeerTransportState> shared_state, schema::PeerSettings peer)
    : shared_state_(std::move(shared_state)),
      peer_(std::move(peer)),
      socket_(shared_state_->context),
      send_watch_(socket_, shared_state_->options.tcp_user_timeout),
      deadline_(shared_state_->context),
      retry_timer_(shared_state_->context),
      backoff_(shared_state_->options.backoff_min) {}

void PeerSender::Start() {
  deadline_.Bind(weak_from_this(), [this] { Disconnect(); });
  Connect();
}

void PeerSender::Connect() {
  if (state_ == State::kStopped) return;
  state_ = State::kConnecting;
  ++generation_;
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer_.address, ec);
  if (ec || shared_state_->down_links.contains(peer_.instance)) return Disconnect();
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(peer_.tcp_port));
  socket_ = tcp::socket(shared_state_->context);
  socket_.open(endpoint.protocol(), ec);
  if (ec) return Disconnect();
  socket_.set_option(tcp::no_delay(true), ec);
  socket_.set_option(asio::socket_base::keep_alive(true), ec);
  send_watch_.OnOpen();
  deadline_.Set(shared_state_->options.connect_timeout);
  socket_.async_connect(endpoint, [self = shared_from_this(),
                                   generation = generation_](boost::system::error_code failure) {
    if (generation == self->generation_) self->OnConnected(failure);
  });
}

void PeerSender::OnConnected(boost::system::error_code ec) {
  if (ec || state_ != State::kConnecting) return Disconnect();
  state_ = State::kReadingNonce;
  asio::async_read(socket_, asio::buffer(connection_nonce_),
                   [self = shared_from_this(), generation = generation_](
                       boost::system::error_code failure, std::size_t /*size*/) {
                     if (generation == self->generation_) self->OnNonceRead(failure);
                   });
}

void PeerSender::OnNonceRead(boost::system::error_code ec) {
  if (ec || state_ != State::kReadingNonce) return Disconnect();
  deadline_.Clear();
  state_ = State::kOpen;
  backoff_ = shared_state_->options.backoff_min;
  sequence_ = 0;
  // A frame with an empty payload authenticates this instance before there is a message to send.
  queue_.push_front({});
  WatchForClose();
  Flush();
}

// The receiver sends nothing after the nonce. Any byte or the end of the stream means that the
// connection cannot be used any more.
void PeerSender::WatchForClose() {
  socket_.async_read_some(asio::buffer(unexpected_byte_),
                          [self = shared_from_this(), generation = generation_](
                              boost::system::error_code /*ec*/, std::size_t /*size*/) {
                            if (generation == self->generation_) self->Disconnect();
                          });
}

void PeerSender::Send(std::string payload) {
  const bool has_space = queued_bytes_ + payload.size() <= shared_state_->options.max_unsent_bytes;
  const bool usable = state_ != State::kBackoff && state_ != State::kStopped;
  if (!usable || !has_space) return ReportSendFailed(payload, false);
  queued_bytes_ += payload.size();
  queue_.push_back(std::move(payload));
  Flush();
}

void PeerSender::Flush() {
  if (state_ != State::kOpen || !write_batch_.empty() || queue_.empty()) return;
  std::size_t bytes = 0;
  for (const auto& payload : queue_) {
    if (bytes > kBatchBytes) break;
    FrameHeader header = shared_state_->MakeHeader(peer_.instance, ++sequence_);
    header.connection_nonce.assign(connection_nonce_.begin(), connection_nonce_.end());
    const std::string frame = SealFrame(header, payload, shared_state_->options.fleet_key);
    write_batch_.push_back(EncodeLength(frame.size()) + frame);
    bytes += write_batch_.back().size();
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(write_batch_.size());
  for (const auto& part : write_batch_) buffers.emplace_back(asio::buffer(part));
  send_watch_.OnWrite();
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), generation = generation_](
                        boost::system::error_code ec, std::size_t size) {
                      if (generation == self->generation_) self->OnWritten(ec, size);
                    });
}

void PeerSender::OnWritten(boost::system::error_code ec, std::size_t size) {
  shared_state_->sent_bytes += size;
  if (ec) {
    FailUnsent(size);
    return Disconnect();
  }
  for (std::size_t n = 0; n < write_batch_.size(); ++n) {
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
  }
  write_batch_.clear();
  Flush();
}

// Removes the batch of a failed write from the queue and reports the messages that the kernel did
// not accept completely. `written` is the number of bytes that it accepted.
void PeerSender::FailUnsent(std::size_t written) {
  for (const auto& frame : write_batch_) {
    const std::string payload = std::move(queue_.front());
    queue_.pop_front();
    if (written >= frame.size()) {
      written -= frame.size();
      continue;
    }
    ReportSendFailed(payload, written > 0);
    written = 0;
  }
  write_batch_.clear();
}

void PeerSender::Disconnect() {
  if (state_ == State::kBackoff || state_ == State::kStopped) return;
  state_ = State::kBackoff;
  ++generation_;
  deadline_.Stop();
  boost::system::error_code ec;
  socket_.close(ec);
  // It is unknown how many bytes of an unfinished write left the process, so its messages are
  // reported as possibly sent.
  const std::size_t in_flight = write_batch_.size();
  write_batch_.clear();
  std::deque<std::string> unsent;
  unsent.swap(queue_);
  queued_bytes_ = 0;
  for (std::size_t n = 0; n < unsent.size(); ++n) ReportSendFailed(unsent[n], n < in_flight);
  retry_timer_.expires_after(backoff_);
  backoff_ = std::min(backoff_ * 2, shared_state_->options.backoff_max);
  retry_timer_.async_wait([self = shared_from_this()](boost::system::error_code failure) {
    if (!failure && self->state_ == State::kBackoff) self->Connect();
  });
}

void PeerSender::Stop() {
  state_ = State::kStopped;
  ++generation_;
  deadline_.Stop();
  retry_timer_.cancel();
  boost::system::error_code ec;
  socket_.close(ec);
}

void PeerSender::ReportSendFailed(const std::string& payload, bool sent) {
  if (payload.empty()) return;
  auto message = schema::DecodePeer(payload);
  if (message) shared_state_->handlers.on_send_failed(peer_.instance, std::move(*message), sent);
}

}  // namespace persimmonstair::net
