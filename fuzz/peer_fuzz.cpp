// Messages between instances: hostile sizes must not allocate, and a decoded message must encode to
// the same bytes.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "persimmonstair/schema/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace schema = persimmonstair::schema;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto message = schema::DecodePeer(bytes);
  if (!message) return 0;
  const auto again = schema::DecodePeer(schema::EncodePeer(*message));
  if (!again || !(*again == *message)) std::abort();
  return 0;
}
