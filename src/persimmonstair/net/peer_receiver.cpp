#include "peer_receiver.hpp"

#include <openssl/rand.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

// Time limit for the first frame, which authenticates the sender, and the largest size of that
// frame.
constexpr std::chrono::seconds kAuthenticationTimeout{5};
constexpr std::size_t kMaxFirstFrameBytes = 4U << 10U;
// Frames are read in chunks, so that a peer that only states a large length allocates little
// memory.
constexpr std::size_t kReadChunkBytes = 256U << 10U;

}  // namespace

PeerReceiver::PeerReceiver(std::shared_ptr<PeerTransportState> shared_state,
                           asio::ip::tcp::socket socket, std::shared_ptr<int> unauthenticated_slot)
    : shared_state_(std::move(shared_state)),
      socket_(std::move(socket)),
      unauthenticated_slot_(std::move(unauthenticated_slot)),
      deadline_(shared_state_->context),
      connection_nonce_(kConnectionNonceBytes, '\0') {}

void PeerReceiver::Start() {
  deadline_.Bind(weak_from_this(), [this] { Close(); });
  deadline_.Set(kAuthenticationTimeout);
  boost::system::error_code ec;
  socket_.set_option(asio::socket_base::keep_alive(true), ec);
  auto* bytes = reinterpret_cast<unsigned char*>(connection_nonce_.data());
  if (RAND_bytes(bytes, static_cast<int>(connection_nonce_.size())) != 1) return Close();
  asio::async_write(
      socket_, asio::buffer(connection_nonce_),
      [self = shared_from_this()](boost::system::error_code failure, std::size_t /*size*/) {
        if (failure) return self->Close();
        self->ReadLength();
      });
}

void PeerReceiver::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_),
                   [self = shared_from_this()](boost::system::error_code ec, std::size_t /*n*/) {
                     if (ec) return self->Close();
                     self->frame_.clear();
                     self->ReadFrame();
                   });
}

void PeerReceiver::ReadFrame() {
  const std::size_t length = DecodeLength({length_.data(), length_.size()});
  if (length > (from_.empty() ? kMaxFirstFrameBytes : kMaxFrameBytes)) {
    ++shared_state_->oversized;
    return Close();
  }
  const std::size_t bytes_read = frame_.size();
  if (bytes_read == length) return OnFrame();
  const std::size_t chunk_size = std::min(length - bytes_read, kReadChunkBytes);
  frame_.resize(bytes_read + chunk_size);
  asio::async_read(socket_, asio::buffer(frame_.data() + bytes_read, chunk_size),
                   [self = shared_from_this()](boost::system::error_code ec, std::size_t /*n*/) {
                     if (ec) return self->Close();
                     self->ReadFrame();
                   });
}

void PeerReceiver::OnFrame() {
  const auto frame = shared_state_->Open(frame_);
  if (!frame) return Close();
  const FrameHeader& header = frame->header;
  const bool same_peer =
      from_.empty() || (header.from == from_ && header.incarnation == incarnation_);
  if (header.connection_nonce != connection_nonce_ || header.sequence != sequence_ + 1 ||
      !same_peer) {
    ++shared_state_->replayed;
    return Close();
  }
  sequence_ = header.sequence;
  if (from_.empty()) {
    from_ = header.from;
    incarnation_ = header.incarnation;
    deadline_.Clear();
    unauthenticated_slot_.reset();
  }
  if (!frame->payload.empty()) shared_state_->Deliver(*frame);
  ReadLength();
}

void PeerReceiver::Close() {
  deadline_.Stop();
  boost::system::error_code ec;
  socket_.close(ec);
}

}  // namespace persimmonstair::net
