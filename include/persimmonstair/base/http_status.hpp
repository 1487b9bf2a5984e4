#ifndef PERSIMMONSTAIR_BASE_HTTP_STATUS_HPP_
#define PERSIMMONSTAIR_BASE_HTTP_STATUS_HPP_

namespace persimmonstair::base {

/// @brief What a status in a response means to a client (RFC 9110, section 15).
enum class StatusKind {
  /// An interim response (1xx), which the final one follows.
  kInterim,
  /// A final response (200 to 599).
  kFinal,
  /// No status of HTTP, or 101: this project's clients never ask for another protocol. What bears
  /// it
  /// is no response.
  kInvalid,
};

inline constexpr unsigned kSwitchingProtocols = 101;

/// @brief Returns the kind of a status that was read as three digits.
constexpr StatusKind KindOfStatus(unsigned status) {
  if (status < 100 || status > 599 || status == kSwitchingProtocols) return StatusKind::kInvalid;
  return status < 200 ? StatusKind::kInterim : StatusKind::kFinal;
}

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_HTTP_STATUS_HPP_
