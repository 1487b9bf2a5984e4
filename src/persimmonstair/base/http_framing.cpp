#include "persimmonstair/base/http_framing.hpp"

#include <algorithm>

namespace persimmonstair::base {
namespace {

constexpr std::string_view kBlanks = " \t";
constexpr std::string_view kChunked = "chunked";

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

bool IsChunkedOnly(std::string_view transfer_encoding) {
  const std::string_view value = Trim(transfer_encoding);
  return std::equal(value.begin(), value.end(), kChunked.begin(), kChunked.end(),
                    [](char a, char b) { return ToLower(a) == b; });
}

}  // namespace persimmonstair::base
