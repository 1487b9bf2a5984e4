#include "budget_records.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "persimmonstair/schema/codec.hpp"
#include "store_access/record_key.hpp"

namespace persimmonstair::gateway {
namespace {

using store_access::JoinParts;

/// Bits of the hash of workspace and program in a key, so that key and longest name of a turn fit
/// into 255 bytes.
constexpr std::uint64_t kProgramHashMask = (std::uint64_t{1} << 40U) - 1;

// Returns a hash of 128 bits of the parts, as text.
std::string HashOf(std::initializer_list<std::string_view> parts) {
  const std::string name = JoinParts(parts);
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return std::to_string(hash.high64) + std::to_string(hash.low64);
}

}  // namespace

std::string KeyOf(const schema::TokenReservation& reservation) {
  const std::string name = JoinParts({reservation.workspace.value, reservation.program.value});
  const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
  return fmt::format("{}#{:010x}", reservation.turn.value, hash & kProgramHashMask);
}

KeyedRecord Encode(const schema::TokenReservation& reservation) {
  return {KeyOf(reservation), schema::EncodeState(reservation)};
}

std::string KeyOf(const schema::StreamBegin& begin) {
  return "began/" + HashOf({begin.workspace.value, begin.program.value, begin.attempt.value,
                            begin.version.value});
}

std::string KeyOf(const schema::StreamTakeUp& take_up) {
  return "taken-up/" + HashOf({take_up.workspace.value, take_up.program.value, take_up.stream.value,
                               take_up.attempt.value});
}

KeyedRecord Encode(const schema::StreamBegin& begin) {
  return {KeyOf(begin), schema::EncodeState(begin)};
}

KeyedRecord Encode(const schema::StreamTakeUp& take_up) {
  return {KeyOf(take_up), schema::EncodeState(take_up)};
}

store_access::RecordExpiry::Entry ExpiryOf(const schema::TokenReservation& reservation,
                                           store_access::RecordWriter writer) {
  return {JoinParts({reservation.workspace.value, reservation.program.value}), writer,
          reservation.expires_ms};
}

store_access::RecordExpiry::Entry ExpiryOf(const schema::StreamBegin& begin,
                                           store_access::RecordWriter writer) {
  return {KeyOf(begin), writer, begin.expires_ms};
}

store_access::RecordExpiry::Entry ExpiryOf(const schema::StreamTakeUp& take_up,
                                           store_access::RecordWriter writer) {
  return {KeyOf(take_up), writer, take_up.expires_ms};
}

}  // namespace persimmonstair::gateway
