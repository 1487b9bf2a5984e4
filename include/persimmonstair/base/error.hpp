#ifndef PERSIMMONSTAIR_BASE_ERROR_HPP_
#define PERSIMMONSTAIR_BASE_ERROR_HPP_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/base/verdict.hpp"

namespace persimmonstair::base {

/// @brief Reasons of a refusal or failure. Callers receive the name as `code` of a JSON error, so
/// names must not change.
enum class ErrorCode {
  kInvalidRequest,    // 400
  kUnauthorized,      // 401: no key, unknown key or withdrawn key
  kForbidden,         // 403: the key does not permit this request
  kNotFound,          // 404
  kConflict,          // 409: version, turn order or ownership conflict
  kKeyReused,         // 422: idempotency key repeated with another body
  kPayloadTooLarge,   // 413
  kRateLimited,       // 429
  kBudgetExhausted,   // 402
  kPoisonRequest,     // 422: the request crashed two targets
  kOverloaded,        // 503: a queue is full or the deadline cannot be met
  kNoTarget,          // 503
  kLogUnavailable,    // 503: the request needs the log, which cannot be read or appended to now
  kOwnerUnavailable,  // 503: the program's owner cannot be reached
  kStopping,          // 503: the instance is in a planned stop
  kOutcomeUnknown,    // 409: an earlier request with this key may have run
  kTargetFailed,      // 502
  kIncompleteAnswer,  // 502
  kTimeout,           // 504
  kInternal,          // 500
};

/// @brief Name of a code in JSON errors, for example "rate_limited".
std::string_view ToString(ErrorCode code);

/// @brief HTTP status of answers with a code.
int HttpStatus(ErrorCode code);

/// @brief A refusal or failure of a request.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  Verdict verdict = Verdict::kNotRun;
  /// Time after which a retry may succeed; zero if a retry would not help.
  Duration retry_after{0};
};

template <class T>
using Result = tl::expected<T, Error>;

/// @brief Makes a failed Result.
///
///     return Fail(ErrorCode::kNotFound, "unknown route 'quote'");
inline tl::unexpected<Error> Fail(ErrorCode code, std::string message,
                                  Verdict verdict = Verdict::kNotRun, Duration retry_after = {}) {
  return tl::make_unexpected(Error{code, std::move(message), verdict, retry_after});
}

}  // namespace persimmonstair::base

#endif  // PERSIMMONSTAIR_BASE_ERROR_HPP_
