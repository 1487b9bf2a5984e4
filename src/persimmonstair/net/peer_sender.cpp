#include "peer_sender.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Messages written in one call; bounds the copy of their frames.
constexpr std::size_t kBatchBytes = 1U << 20U;

void SetOptions(tcp::socket& socket, std::chrono::milliseconds user_timeout) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  const auto value = static_cast<unsigned int>(user_timeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

}  // namespace

PeerSender::PeerSender(std::shared_ptr<PeerCore> core, schema::PeerSettings peer)
    : core_(std::move(core)),
      peer_(std::move(peer)),
      socket_(core_->context),
      deadline_(core_->context),
      retry_(core_->context),
      backoff_(core_->options.backoff_min) {}

void PeerSender::Start() {
  deadline_.Bind(weak_from_this(), [this] { Break(); });
  Connect();
}

void PeerSender::Connect() {
  if (state_ == State::kStopped) return;
  state_ = State::kConnecting;
  ++generation_;
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer_.address, ec);
  if (ec || core_->cut.contains(peer_.instance)) return Break();
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(peer_.tcp_port));
  socket_ = tcp::socket(core_->context);
  socket_.open(endpoint.protocol(), ec);
  if (ec) return Break();
  SetOptions(socket_, core_->options.user_timeout);
  deadline_.Set(core_->options.connect_timeout);
  socket_.async_connect(endpoint, [self = shared_from_this(),
                                   generation = generation_](boost::system::error_code failure) {
    if (generation == self->generation_) self->OnConnected(failure);
  });
}

void PeerSender::OnConnected(boost::system::error_code ec) {
  if (ec || state_ != State::kConnecting) return Break();
  state_ = State::kGreeting;
  asio::async_read(socket_, asio::buffer(binding_),
                   [self = shared_from_this(), generation = generation_](
                       boost::system::error_code failure, std::size_t /*size*/) {
                     if (generation == self->generation_) self->OnBinding(failure);
                   });
}

void PeerSender::OnBinding(boost::system::error_code ec) {
  if (ec || state_ != State::kGreeting) return Break();
  deadline_.Clear();
  state_ = State::kOpen;
  backoff_ = core_->options.backoff_min;
  sequence_ = 0;
  // An empty payload proves the sender's identity before there is anything to send.
  queue_.push_front({});
  Watch();
  Flush();
}

// The receiver sends nothing more; a byte or an end means that the connection is of no use.
void PeerSender::Watch() {
  socket_.async_read_some(asio::buffer(byte_),
                          [self = shared_from_this(), generation = generation_](
                              boost::system::error_code /*ec*/, std::size_t /*size*/) {
                            if (generation == self->generation_) self->Break();
                          });
}

void PeerSender::Send(std::string payload) {
  const bool room = queued_bytes_ + payload.size() <= core_->options.max_unsent_bytes;
  const bool usable = state_ != State::kBackoff && state_ != State::kStopped;
  if (!usable || !room) return Fail(payload, false);
  queued_bytes_ += payload.size();
  queue_.push_back(std::move(payload));
  Flush();
}

void PeerSender::Flush() {
  if (state_ != State::kOpen || !writing_.empty() || queue_.empty()) return;
  std::size_t bytes = 0;
  for (const auto& payload : queue_) {
    if (bytes > kBatchBytes) break;
    FrameHeader header = core_->Header(peer_.instance, ++sequence_);
    header.binding.assign(binding_.begin(), binding_.end());
    const std::string frame = SealFrame(header, payload, core_->options.fleet_key);
    writing_.push_back(EncodeLength(frame.size()) + frame);
    bytes += writing_.back().size();
  }
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(writing_.size());
  for (const auto& part : writing_) buffers.emplace_back(asio::buffer(part));
  asio::async_write(socket_, buffers,
                    [self = shared_from_this(), generation = generation_](
                        boost::system::error_code ec, std::size_t size) {
                      if (generation == self->generation_) self->OnWritten(ec, size);
                    });
}

void PeerSender::OnWritten(boost::system::error_code ec, std::size_t size) {
  core_->sent_bytes += size;
  if (ec) {
    FailUnsent(size);
    return Break();
  }
  for (std::size_t n = 0; n < writing_.size(); ++n) {
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
  }
  writing_.clear();
  Flush();
}

// Takes the messages that the kernel accepted out of the queue and fails the others.
void PeerSender::FailUnsent(std::size_t written) {
  for (const auto& frame : writing_) {
    const std::string payload = std::move(queue_.front());
    queue_.pop_front();
    if (written >= frame.size()) {
      written -= frame.size();
      continue;
    }
    Fail(payload, written > 0);
    written = 0;
  }
  writing_.clear();
}

void PeerSender::Break() {
  if (state_ == State::kBackoff || state_ == State::kStopped) return;
  state_ = State::kBackoff;
  ++generation_;
  deadline_.Stop();
  boost::system::error_code ec;
  socket_.close(ec);
  // How much of a write in flight left the process is not known.
  const std::size_t in_flight = writing_.size();
  writing_.clear();
  std::deque<std::string> unsent;
  unsent.swap(queue_);
  queued_bytes_ = 0;
  for (std::size_t n = 0; n < unsent.size(); ++n) Fail(unsent[n], n < in_flight);
  retry_.expires_after(backoff_);
  backoff_ = std::min(backoff_ * 2, core_->options.backoff_max);
  retry_.async_wait([self = shared_from_this()](boost::system::error_code failure) {
    if (!failure && self->state_ == State::kBackoff) self->Connect();
  });
}

void PeerSender::Stop() {
  state_ = State::kStopped;
  ++generation_;
  deadline_.Stop();
  retry_.cancel();
  boost::system::error_code ec;
  socket_.close(ec);
}

void PeerSender::Fail(const std::string& payload, bool sent) {
  if (payload.empty()) return;
  auto message = schema::DecodePeer(payload);
  if (message) core_->handlers.on_send_failed(peer_.instance, std::move(*message), sent);
}

}  // namespace persimmonstair::net
