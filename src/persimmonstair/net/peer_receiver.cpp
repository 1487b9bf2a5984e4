#include "peer_receiver.hpp"

#include <openssl/rand.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

// Time for the first frame, which proves the sender's identity, and its largest size.
constexpr std::chrono::seconds kIdentityTime{5};
constexpr std::size_t kMaxFirstFrameBytes = 4U << 10U;
// A frame that grows in steps takes memory only as its bytes arrive.
constexpr std::size_t kFrameStepBytes = 256U << 10U;

}  // namespace

PeerReceiver::PeerReceiver(std::shared_ptr<PeerCore> core, asio::ip::tcp::socket socket,
                           std::shared_ptr<int> slot)
    : core_(std::move(core)),
      socket_(std::move(socket)),
      slot_(std::move(slot)),
      deadline_(core_->context),
      binding_(kBindingBytes, '\0') {}

void PeerReceiver::Start() {
  deadline_.Bind(weak_from_this(), [this] { Close(); });
  deadline_.Set(kIdentityTime);
  boost::system::error_code ec;
  socket_.set_option(asio::socket_base::keep_alive(true), ec);
  auto* bytes = reinterpret_cast<unsigned char*>(binding_.data());
  if (RAND_bytes(bytes, static_cast<int>(binding_.size())) != 1) return Close();
  asio::async_write(
      socket_, asio::buffer(binding_),
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
    ++core_->oversized;
    return Close();
  }
  const std::size_t have = frame_.size();
  if (have == length) return OnFrame();
  const std::size_t step = std::min(length - have, kFrameStepBytes);
  frame_.resize(have + step);
  asio::async_read(socket_, asio::buffer(frame_.data() + have, step),
                   [self = shared_from_this()](boost::system::error_code ec, std::size_t /*n*/) {
                     if (ec) return self->Close();
                     self->ReadFrame();
                   });
}

void PeerReceiver::OnFrame() {
  const auto frame = core_->Open(frame_);
  if (!frame) return Close();
  const FrameHeader& header = frame->header;
  const bool same = from_.empty() || (header.from == from_ && header.incarnation == incarnation_);
  if (header.binding != binding_ || header.sequence != sequence_ + 1 || !same) {
    ++core_->replayed;
    return Close();
  }
  sequence_ = header.sequence;
  if (from_.empty()) {
    from_ = header.from;
    incarnation_ = header.incarnation;
    deadline_.Clear();
    slot_.reset();
  }
  if (!frame->payload.empty()) core_->Deliver(*frame);
  ReadLength();
}

void PeerReceiver::Close() {
  deadline_.Stop();
  boost::system::error_code ec;
  socket_.close(ec);
}

}  // namespace persimmonstair::net
