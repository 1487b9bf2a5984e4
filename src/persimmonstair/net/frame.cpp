#include "persimmonstair/net/frame.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cstdlib>
#include <sstream>

#include "persimmonstair/schema/bounded.hpp"

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using base::Fail;

constexpr std::size_t kMacBytes = 32;
using Mac = std::array<unsigned char, kMacBytes>;

Mac ComputeMac(std::string_view body, std::string_view key) {
  Mac mac{};
  unsigned int size = mac.size();
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(body.data()), body.size(), mac.data(), &size);
  return mac;
}

template <class Archive>
void Serialize(Archive& archive, Frame& frame) {
  schema::Field(archive, frame.header.from);
  schema::Field(archive, frame.header.to);
  schema::Field(archive, frame.header.incarnation);
  schema::Field(archive, frame.header.sequence);
  schema::Field(archive, frame.header.sent_at_ms);
  schema::Field(archive, frame.header.connection_nonce);
  schema::Field(archive, frame.payload);
}

}  // namespace

std::string SealFrame(const FrameHeader& header, std::string_view payload,
                      std::string_view fleet_key) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    Frame frame{header, std::string(payload)};
    Serialize(archive, frame);
  }
  const std::string body = std::move(out).str();
  const Mac mac = ComputeMac(body, fleet_key);
  return std::string(mac.begin(), mac.end()) + body;
}

base::Result<Frame> OpenFrame(std::string_view bytes, std::string_view fleet_key) {
  if (bytes.size() < kMacBytes) return Fail(ErrorCode::kUnauthorized, "frame has no MAC");
  const std::string_view body = bytes.substr(kMacBytes);
  const Mac mac = ComputeMac(body, fleet_key);
  if (CRYPTO_memcmp(mac.data(), bytes.data(), kMacBytes) != 0) {
    return Fail(ErrorCode::kUnauthorized, "frame has a wrong MAC");
  }
  std::istringstream in{std::string(body)};
  Frame frame;
  try {
    cereal::PortableBinaryInputArchive archive(in);
    Serialize(archive, frame);
  } catch (const cereal::Exception& error) {
    return Fail(ErrorCode::kInvalidRequest,
                std::string("cannot decode the frame: ") + error.what());
  }
  if (in.peek() != std::istringstream::traits_type::eof()) {
    return Fail(ErrorCode::kInvalidRequest, "frame has trailing bytes");
  }
  return frame;
}

bool ReplayFilter::Accept(const FrameHeader& header, std::int64_t now_ms) {
  if (header.sequence == 0) return false;
  const auto it = senders_.find(header.from);
  if (it == senders_.end() && senders_.size() >= kMaxSenders) return false;
  if (it == senders_.end() || header.incarnation > it->second.incarnation) {
    if (std::abs(now_ms - header.sent_at_ms) > kMaxAgeMs) return false;
    senders_[header.from] = Sender{header.incarnation, 0, {}};
  }
  Sender& sender = senders_[header.from];
  if (header.incarnation < sender.incarnation) return false;
  if (header.sequence > sender.highest) {
    // Clear the bits of the sequence numbers that enter the window.
    const std::uint64_t steps = std::min(header.sequence - sender.highest, kWindow);
    for (std::uint64_t n = 1; n <= steps; ++n) {
      const std::uint64_t slot = (header.sequence - steps + n) % kWindow;
      sender.seen[slot / 64] &= ~(std::uint64_t{1} << (slot % 64));
    }
    sender.highest = header.sequence;
  } else if (sender.highest - header.sequence >= kWindow) {
    return false;
  }
  const std::uint64_t slot = header.sequence % kWindow;
  const std::uint64_t bit = std::uint64_t{1} << (slot % 64);
  if ((sender.seen[slot / 64] & bit) != 0) return false;
  sender.seen[slot / 64] |= bit;
  return true;
}

}  // namespace persimmonstair::net
