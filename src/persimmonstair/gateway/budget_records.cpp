#include "budget_records.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>

#include "persimmonstair/schema/codec.hpp"
#include "store_access/record_key.hpp"

namespace persimmonstair::gateway {
namespace {

using store_access::JoinParts;

/// Bits of the hash of workspace and program in a key, so that key and longest name of a turn fit
/// into 255 bytes.
constexpr std::uint64_t kProgramHashMask = (std::uint64_t{1} << 40U) - 1;

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
  const std::string name = JoinParts(
      {begin.workspace.value, begin.program.value, begin.attempt.value, begin.version.value});
  const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return "began/" + std::to_string(hash.high64) + std::to_string(hash.low64);
}

KeyedRecord Encode(const schema::StreamBegin& begin) {
  return {KeyOf(begin), schema::EncodeState(begin)};
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

}  // namespace persimmonstair::gateway
