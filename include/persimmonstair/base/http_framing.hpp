#ifndef PERSIMMONSTAIR_BASE_HTTP_FRAMING_HPP_
#define PERSIMMONSTAIR_BASE_HTTP_FRAMING_HPP_

#include <string_view>

namespace persimmonstair::base {

/// @brief True if the value of a Transfer-Encoding header is "chunked" alone, in any case.
///
/// A request with another one has a body whose end is unknown (RFC 9112, 6.1), or one that is coded
/// in a way that targets aren't told. Its bytes must not be taken for the next request.
bool IsChunkedOnly(std::string_view transfer_encoding);

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_HTTP_FRAMING_HPP_
