#include "persimmonstair/schema/codec.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <streambuf>
#include <utility>

#include "persimmonstair/schema/entry_peer_codec.hpp"

namespace persimmonstair::schema {
namespace {

using base::ErrorCode;
using base::Fail;

template <class Variant, std::size_t... kIndex>
Variant MakeAlternative(std::size_t index, std::index_sequence<kIndex...> /*all*/) {
  Variant out;
  ((index == kIndex ? (out.template emplace<kIndex>(), 0) : 0), ...);
  return out;
}

template <class Variant>
Variant MakeAlternative(std::size_t index) {
  return MakeAlternative<Variant>(index, std::make_index_sequence<std::variant_size_v<Variant>>{});
}

// Stream buffer that reads from a byte range without copying it.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
};

// Encodes the index of a variant's alternative and the fields of its value.
template <class Variant>
std::string EncodeBinary(const Variant& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(static_cast<std::uint32_t>(message.index()));
    Variant copy = message;
    std::visit([&archive](auto& value) { serialize(archive, value); }, copy);
  }
  return std::move(out).str();
}

template <class Variant>
base::Result<Variant> DecodeBinary(std::string_view bytes, const std::string& what) {
  ViewBuffer buf(bytes);
  std::istream in(&buf);
  try {
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t index = 0;
    archive(index);
    if (index >= std::variant_size_v<Variant>) {
      return Fail(ErrorCode::kInvalidRequest, "unknown type of " + what);
    }
    Variant message = MakeAlternative<Variant>(index);
    std::visit([&archive](auto& value) { serialize(archive, value); }, message);
    if (in.peek() != std::istream::traits_type::eof()) {
      return Fail(ErrorCode::kInvalidRequest, "trailing bytes after a " + what);
    }
    return message;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidRequest, what + ": " + error.what());
  }
}

}  // namespace

std::string EncodeRecord(const Record& record) {
  nlohmann::json json;
  std::visit([&json](const auto& value) { json = value; }, record);
  json["type"] = kRecordTypes[record.index()];
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::Result<Record> DecodeRecord(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("type") || !json["type"].is_string()) {
    return Fail(ErrorCode::kInvalidRequest, "record is not a JSON object with a type");
  }
  const auto& type = json["type"].get_ref<const std::string&>();
  for (std::size_t n = 0; n < kRecordTypes.size(); ++n) {
    if (type != kRecordTypes[n]) continue;
    Record record = MakeAlternative<Record>(n);
    try {
      std::visit([&json](auto& value) { json.get_to(value); }, record);
    } catch (const nlohmann::json::exception& error) {
      return Fail(ErrorCode::kInvalidRequest, "record " + type + ": " + error.what());
    }
    return record;
  }
  return Fail(ErrorCode::kInvalidRequest, "unknown record type " + type);
}

std::string EncodePeer(const PeerMessage& message) { return EncodeBinary(message); }

base::Result<PeerMessage> DecodePeer(std::string_view bytes) {
  return DecodeBinary<PeerMessage>(bytes, "peer message");
}

std::string EncodeState(const StateRecord& record) { return EncodeBinary(record); }

base::Result<StateRecord> DecodeState(std::string_view bytes) {
  return DecodeBinary<StateRecord>(bytes, "state record");
}

std::string EncodeEntryPeer(const EntryPeerMessage& message) { return EncodeBinary(message); }

base::Result<EntryPeerMessage> DecodeEntryPeer(std::string_view bytes) {
  return DecodeBinary<EntryPeerMessage>(bytes, "message between entry instances");
}

}  // namespace persimmonstair::schema
