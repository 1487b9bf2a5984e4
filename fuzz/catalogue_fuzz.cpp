// Fuzzes the parser of catalogue documents. Check() must report violations exactly for the
// documents that ParseDocument() refuses.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "persimmonstair/catalogue/document.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace catalogue = persimmonstair::catalogue;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const bool valid = catalogue::Check(text).empty();
  if (catalogue::ParseDocument(text).has_value() != valid) std::abort();
  return 0;
}
