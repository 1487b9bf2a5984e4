// Fuzzes the decoder of messages between instances. Forged sizes must not cause large allocations,
// and a decoded message must be equal after it is encoded and decoded again.
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
