#include "persimmonstair/base/error.hpp"

#include <array>

namespace persimmonstair::base {
namespace {

struct CodeInfo {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array kCodes = {
    CodeInfo{ErrorCode::kInvalidRequest, "invalid_request", 400},
    CodeInfo{ErrorCode::kUnauthorized, "unauthorized", 401},
    CodeInfo{ErrorCode::kForbidden, "forbidden", 403},
    CodeInfo{ErrorCode::kNotFound, "not_found", 404},
    CodeInfo{ErrorCode::kConflict, "conflict", 409},
    CodeInfo{ErrorCode::kKeyReused, "key_reused", 422},
    CodeInfo{ErrorCode::kPayloadTooLarge, "payload_too_large", 413},
    CodeInfo{ErrorCode::kRateLimited, "rate_limited", 429},
    CodeInfo{ErrorCode::kBudgetExhausted, "budget_exhausted", 402},
    CodeInfo{ErrorCode::kPoisonRequest, "poison_request", 422},
    CodeInfo{ErrorCode::kOverloaded, "overloaded", 503},
    CodeInfo{ErrorCode::kNoTarget, "no_target", 503},
    CodeInfo{ErrorCode::kLogUnavailable, "log_unavailable", 503},
    CodeInfo{ErrorCode::kOwnerUnavailable, "owner_unavailable", 503},
    CodeInfo{ErrorCode::kStopping, "stopping", 503},
    CodeInfo{ErrorCode::kOutcomeUnknown, "outcome_unknown", 409},
    CodeInfo{ErrorCode::kTargetFailed, "target_failed", 502},
    CodeInfo{ErrorCode::kIncompleteAnswer, "incomplete_answer", 502},
    CodeInfo{ErrorCode::kTimeout, "timeout", 504},
    CodeInfo{ErrorCode::kInternal, "internal", 500},
};

const CodeInfo& Find(ErrorCode code) {
  for (const CodeInfo& info : kCodes) {
    if (info.code == code) return info;
  }
  return kCodes.back();
}

}  // namespace

std::string_view ToString(ErrorCode code) { return Find(code).name; }

int HttpStatus(ErrorCode code) { return Find(code).http_status; }

}  // namespace persimmonstair::base
