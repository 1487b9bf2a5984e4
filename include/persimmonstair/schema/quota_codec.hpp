#ifndef PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_
#define PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/quota.hpp"

namespace persimmonstair::schema {

/// @brief Portable binary form of a message between entry instances, without authentication.
std::string EncodeQuota(const QuotaMessage& message);

/// @brief Reads what EncodeQuota() wrote. Hostile sizes and trailing bytes are kInvalidRequest.
base::Result<QuotaMessage> DecodeQuota(std::string_view bytes);

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_
