#include "peer_transport_state.hpp"

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::net {

base::Result<Frame> PeerTransportState::Open(std::string_view bytes) {
  auto frame = OpenFrame(bytes, options.fleet_key);
  if (!frame) {
    ++(frame.error().code == base::ErrorCode::kUnauthorized ? forged : malformed);
    return frame;
  }
  const FrameHeader& header = frame->header;
  if (header.to != options.instance || header.from == options.instance) {
    ++replayed;
    return base::Fail(base::ErrorCode::kUnauthorized,
                      "frame is not addressed to this instance or names it as sender");
  }
  if (down_links.contains(header.from)) {
    return base::Fail(base::ErrorCode::kOwnerUnavailable,
                      "the link to the sender of the frame is down");
  }
  return frame;
}

void PeerTransportState::Deliver(const Frame& frame) {
  auto message = schema::DecodePeer(frame.payload);
  if (!message) {
    ++malformed;
    return;
  }
  ++received;
  handlers.on_message(frame.header.from, frame.header.incarnation, std::move(*message));
}

std::string EncodeLength(std::size_t length) {
  std::string out(kLengthBytes, '\0');
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    out[n] = static_cast<char>((length >> (8 * (kLengthBytes - 1 - n))) & 0xffU);
  }
  return out;
}

std::size_t DecodeLength(std::string_view bytes) {
  std::size_t out = 0;
  for (std::size_t n = 0; n < kLengthBytes; ++n) {
    out = (out << 8U) | static_cast<unsigned char>(bytes[n]);
  }
  return out;
}

}  // namespace persimmonstair::net
