#include "persimmonstair/fleet/packed_record.hpp"

#include <xxhash.h>
#include <zstd.h>

#include <string>
#include <string_view>

namespace persimmonstair::fleet {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;

/// The fastest level. It halves the time of the usual one, for values of about the same size.
constexpr int kCompressionLevel = 1;

std::uint64_t Checksum(std::string_view value) { return XXH64(value.data(), value.size(), 0); }

std::string Compress(std::string_view value) {
  std::string data(ZSTD_compressBound(value.size()), '\0');
  data.resize(
      ZSTD_compress(data.data(), data.size(), value.data(), value.size(), kCompressionLevel));
  data.shrink_to_fit();
  return data;
}

}  // namespace

schema::PackedRecord Pack(const schema::FeedRecord& record) {
  if (record.deleted) return {record.key, true, 0, 0, {}};
  return {record.key, false, record.value.size(), Checksum(record.value), Compress(record.value)};
}

Result<schema::FeedRecord> Unpack(const schema::PackedRecord& record) {
  if (record.deleted) return schema::FeedRecord{record.key, true, {}};
  if (record.size > kMaxUnpackedBytes) {
    return Fail(ErrorCode::kIncompleteAnswer, "a packed record is too long");
  }
  std::string value(record.size, '\0');
  const std::size_t size =
      ZSTD_decompress(value.data(), value.size(), record.data.data(), record.data.size());
  const bool whole = ZSTD_isError(size) == 0 && size == record.size;
  if (!whole || Checksum(value) != record.checksum) {
    return Fail(ErrorCode::kIncompleteAnswer, "a packed record is damaged");
  }
  return schema::FeedRecord{record.key, false, std::move(value)};
}

}  // namespace persimmonstair::fleet
