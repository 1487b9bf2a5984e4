// Log records come from other software versions: reading must never crash, and what was read must
// survive another round.
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
