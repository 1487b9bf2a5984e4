#include "turn_records.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

/// Bits of the workspace's hash in a key, so that key and longest request id fit into 255 bytes.
constexpr std::uint64_t kWorkspaceHashMask = (std::uint64_t{1} << 56U) - 1;
constexpr std::string_view kPartPrefix = "part/";
/// Bytes of a part's record that are not its data: the key and the other fields.
constexpr std::size_t kPartOverhead = 256;
/// Longest text that is joined. Entries of other writers may state any length.
constexpr std::uint64_t kMaxTextBytes = std::uint64_t{64} << 20U;

std::uint64_t ChecksumOf(std::string_view input, std::string_view output) {
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(XXH64_createState(),
                                                                         &XXH64_freeState);
  XXH64_reset(state.get(), 0);
  XXH64_update(state.get(), input.data(), input.size());
  XXH64_update(state.get(), output.data(), output.size());
  return XXH64_digest(state.get());
}

std::string PartKey(const schema::LongTurn& turn, std::size_t index) {
  return fmt::format("{}{:016x}/{}", PartPrefix(TurnKey(turn.workspace, turn.turn)), turn.checksum,
                     index);
}

// Returns `size` bytes of the text that the two strings make together, or what there is of them.
std::string TextAt(std::string_view input, std::string_view output, std::size_t offset,
                   std::size_t size) {
  std::string text;
  if (offset < input.size()) text = input.substr(offset, size);
  const std::size_t in_output = std::max(offset, input.size()) - input.size();
  if (text.size() < size) text += output.substr(in_output, size - text.size());
  return text;
}

}  // namespace

std::string TurnKey(const base::WorkspaceId& workspace, const base::TurnId& turn) {
  const std::uint64_t hash = XXH64(workspace.value.data(), workspace.value.size(), 0);
  return fmt::format("{}#{:014x}", turn.value, hash & kWorkspaceHashMask);
}

std::string PartPrefix(const std::string& turn_key) {
  const XXH128_hash_t hash = XXH3_128bits(turn_key.data(), turn_key.size());
  return fmt::format("{}{:016x}{:016x}/", kPartPrefix, hash.high64, hash.low64);
}

bool IsPartKey(std::string_view key) { return key.starts_with(kPartPrefix); }

std::string PrefixOfPart(const std::string& part_key) {
  return part_key.substr(0, part_key.find('/', kPartPrefix.size()) + 1);
}

bool BelongsTo(const KeyedRecord& record, const std::set<std::string>& turn_keys) {
  if (turn_keys.contains(record.key)) return true;
  if (IsPartKey(record.key)) {
    return std::any_of(turn_keys.begin(), turn_keys.end(), [&](const std::string& turn_key) {
      return record.key.starts_with(PartPrefix(turn_key));
    });
  }
  // The key of an older build.
  const std::string start = record.key + "#";
  const auto it = turn_keys.lower_bound(start);
  return it != turn_keys.end() && it->starts_with(start);
}

std::optional<KeyedRecord> EncodeWhole(const schema::KeptTurn& turn, std::size_t max_bytes) {
  if (turn.input.size() + turn.output.size() >= max_bytes) return std::nullopt;
  KeyedRecord record{TurnKey(turn.workspace, turn.turn), schema::EncodeState(turn)};
  if (SizeOf(record) > max_bytes) return std::nullopt;
  return record;
}

schema::LongTurn DivideTurn(const schema::KeptTurn& turn, std::size_t max_bytes) {
  return {turn.turn,
          turn.workspace,
          turn.ancestors,
          turn.input.size(),
          turn.output.size(),
          max_bytes - kPartOverhead,
          ChecksumOf(turn.input, turn.output),
          turn.expires_ms};
}

std::size_t CountParts(const schema::LongTurn& turn) {
  // Entries of other writers may state anything.
  if (turn.part_bytes == 0) return 0;
  const std::uint64_t size = turn.input_bytes + turn.output_bytes;
  return (size + turn.part_bytes - 1) / turn.part_bytes;
}

KeyedRecord EncodePart(const schema::KeptTurn& turn, const schema::LongTurn& divided,
                       std::size_t index) {
  const std::size_t offset = index * divided.part_bytes;
  const schema::TurnPart part{TextAt(turn.input, turn.output, offset, divided.part_bytes),
                              turn.expires_ms};
  return {PartKey(divided, index), schema::EncodeState(part)};
}

KeyedRecord EncodeLongTurn(const schema::LongTurn& turn) {
  return {TurnKey(turn.workspace, turn.turn), schema::EncodeState(turn)};
}

std::optional<std::int64_t> ExpiryOf(const schema::StateRecord& record) {
  if (const auto* kept = std::get_if<schema::KeptTurn>(&record)) return kept->expires_ms;
  if (const auto* turn = std::get_if<schema::LongTurn>(&record)) return turn->expires_ms;
  if (const auto* part = std::get_if<schema::TurnPart>(&record)) return part->expires_ms;
  const auto* settlement = std::get_if<schema::TokenReservation>(&record);
  return settlement == nullptr ? std::nullopt : std::optional(settlement->expires_ms);
}

std::optional<schema::KeptTurn> JoinTurn(const schema::LongTurn& turn, TurnParts& parts) {
  const bool plausible = turn.part_bytes > 0 && turn.part_bytes <= kMaxTextBytes &&
                         turn.input_bytes <= kMaxTextBytes && turn.output_bytes <= kMaxTextBytes;
  if (!plausible) return std::nullopt;
  std::vector<TurnParts::iterator> found;
  std::uint64_t size = 0;
  for (std::size_t n = 0; n < CountParts(turn); ++n) {
    const auto it = parts.find(PartKey(turn, n));
    if (it == parts.end()) return std::nullopt;
    size += it->second.data.size();
    found.push_back(it);
  }
  if (size != turn.input_bytes + turn.output_bytes) return std::nullopt;
  std::string text;
  text.reserve(size);
  for (const auto& it : found) {
    text += it->second.data;
    parts.erase(it);
  }
  if (ChecksumOf(text, {}) != turn.checksum) return std::nullopt;
  schema::KeptTurn joined{turn.turn, turn.workspace, turn.ancestors, {}, {}, turn.expires_ms};
  joined.output = text.substr(turn.input_bytes);
  text.resize(turn.input_bytes);
  joined.input = std::move(text);
  return joined;
}

}  // namespace persimmonstair::gateway
