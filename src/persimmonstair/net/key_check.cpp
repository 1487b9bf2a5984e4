#include <openssl/evp.h>

#include <charconv>
#include <cstdint>
#include <string>

#include "persimmonstair/net/caller_request.hpp"

namespace persimmonstair::net {
namespace {

// Returns the value of the `digits` hexadecimal characters at offset `at`, or -1 if there are fewer
// or other characters.
int ParseHex(std::string_view text, std::size_t at, std::size_t digits) {
  if (at + digits > text.size()) return -1;
  int value = 0;
  const char* begin = text.data() + at;
  const auto [end, ec] = std::from_chars(begin, begin + digits, value, 16);
  return ec == std::errc{} && end == begin + digits && *begin != '-' ? value : -1;
}

// Decodes percent escapes and `+` as in a URL query; malformed escapes are kept as they are.
std::string PercentDecoded(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t n = 0; n < text.size(); ++n) {
    const int value = text[n] == '%' ? ParseHex(text, n + 1, 2) : -1;
    if (value < 0) {
      out += text[n] == '+' ? ' ' : text[n];
    } else {
      out += static_cast<char>(value);
      n += 2;
    }
  }
  return out;
}

// Returns the character that a backslash followed by `c` stands for in JSON.
char UnescapeChar(char c) {
  switch (c) {
    case 'b':
      return '\b';
    case 'f':
      return '\f';
    case 'n':
      return '\n';
    case 'r':
      return '\r';
    case 't':
      return '\t';
    default:
      return c;
  }
}

// Appends the code unit of a JSON escape such as u0041. Keys are compared as bytes, as they come
// from a header value, so code units above 0x7f are encoded as UTF-8 with two or three bytes.
void AppendUtf8(std::string& out, int code) {
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xc0 | (code >> 6));
    out += static_cast<char>(0x80 | (code & 0x3f));
  } else {
    out += static_cast<char>(0xe0 | (code >> 12));
    out += static_cast<char>(0x80 | ((code >> 6) & 0x3f));
    out += static_cast<char>(0x80 | (code & 0x3f));
  }
}

// Replaces JSON escapes in any text, whether or not it is valid JSON.
std::string JsonUnescaped(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '\\' || n + 1 == text.size()) {
      out += text[n];
      continue;
    }
    ++n;
    const int code = text[n] == 'u' ? ParseHex(text, n + 1, 4) : -1;
    if (code < 0) {
      out += UnescapeChar(text[n]);
    } else {
      AppendUtf8(out, code);
      n += 4;
    }
  }
  return out;
}

}  // namespace

scheduler::KeyDigest DigestKey(std::string_view key) {
  scheduler::KeyDigest digest{};
  unsigned int size = digest.size();
  EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return digest;
}

bool ContainsKey(std::string_view text, std::string_view key) {
  if (key.empty()) return false;
  if (text.find(key) != std::string_view::npos) return true;
  const bool has_percent = text.find('%') != std::string_view::npos;
  const bool has_escapes = text.find('\\') != std::string_view::npos;
  if (has_percent && PercentDecoded(text).find(key) != std::string::npos) return true;
  if (!has_escapes) return false;
  const std::string unescaped = JsonUnescaped(text);
  return unescaped.find(key) != std::string::npos ||
         (has_percent && PercentDecoded(unescaped).find(key) != std::string::npos);
}

}  // namespace persimmonstair::net
