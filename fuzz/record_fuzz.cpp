// Fuzzes the decoder of log records, which may come from other software versions. Decoding must
// never crash, and a decoded record must keep its type when it is encoded and decoded again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "persimmonstair/schema/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace schema = persimmonstair::schema;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto record = schema::DecodeRecord(text);
  if (!record) return 0;
  const auto again = schema::DecodeRecord(schema::EncodeRecord(*record));
  if (!again || again->index() != record->index()) std::abort();
  return 0;
}
