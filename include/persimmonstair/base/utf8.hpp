#ifndef PERSIMMONSTAIR_BASE_UTF8_HPP_
#define PERSIMMONSTAIR_BASE_UTF8_HPP_

#include <cstddef>
#include <string_view>

namespace persimmonstair::base {

/// Stands for bytes that are not UTF-8 (U+FFFD).
inline constexpr std::string_view kReplacementCharacter = "\xEF\xBF\xBD";

/// @brief Returns the length of the UTF-8 sequence at the start of `text` in bytes; 0 if there is
/// none.
std::size_t Utf8SequenceLength(std::string_view text);

/// @brief True if the text is UTF-8 without control characters and without the replacement
/// character, so that it can be a name in headers and documents.
bool IsPlainText(std::string_view text);

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_UTF8_HPP_
