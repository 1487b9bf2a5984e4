#include "persimmonstair/base/utf8.hpp"

#include <array>

namespace persimmonstair::base {
namespace {

constexpr unsigned char kDelete = 0x7f;

/// Sequences that begin with one of a range of bytes.
struct SequenceKind {
  unsigned char first_min;
  unsigned char first_max;
  std::size_t length;
  /// Range of the second byte, which excludes overlong forms, surrogates and large code points.
  unsigned char second_min;
  unsigned char second_max;
};

// Table 3-7 of the Unicode standard.
constexpr std::array<SequenceKind, 8> kSequences{{{0xc2, 0xdf, 2, 0x80, 0xbf},
                                                  {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                                  {0xe1, 0xec, 3, 0x80, 0xbf},
                                                  {0xed, 0xed, 3, 0x80, 0x9f},
                                                  {0xee, 0xef, 3, 0x80, 0xbf},
                                                  {0xf0, 0xf0, 4, 0x90, 0xbf},
                                                  {0xf1, 0xf3, 4, 0x80, 0xbf},
                                                  {0xf4, 0xf4, 4, 0x80, 0x8f}}};

unsigned char ByteAt(std::string_view text, std::size_t n) {
  return static_cast<unsigned char>(text[n]);
}

bool Matches(std::string_view text, const SequenceKind& kind) {
  if (ByteAt(text, 0) < kind.first_min || ByteAt(text, 0) > kind.first_max) return false;
  if (text.size() < kind.length) return false;
  if (ByteAt(text, 1) < kind.second_min || ByteAt(text, 1) > kind.second_max) return false;
  for (std::size_t n = 2; n < kind.length; ++n) {
    if (ByteAt(text, n) < 0x80 || ByteAt(text, n) > 0xbf) return false;
  }
  return true;
}

}  // namespace

std::size_t Utf8SequenceLength(std::string_view text) {
  if (text.empty()) return 0;
  if (ByteAt(text, 0) < 0x80) return 1;
  for (const auto& kind : kSequences) {
    if (Matches(text, kind)) return kind.length;
  }
  return 0;
}

bool IsPlainText(std::string_view text) {
  while (!text.empty()) {
    const std::size_t length = Utf8SequenceLength(text);
    const bool control = length == 1 && (ByteAt(text, 0) < ' ' || ByteAt(text, 0) == kDelete);
    if (length == 0 || control || text.starts_with(kReplacementCharacter)) return false;
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace persimmonstair::base
