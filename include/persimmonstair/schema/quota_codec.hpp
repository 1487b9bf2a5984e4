#ifndef PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_
#define PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/schema/quota.hpp"

namespace persimmonstair::schema {

/// @brief Returns the portable binary form of a quota message between entry instances, without
/// authentication.
std::string EncodeQuota(const QuotaMessage& message);

/// @brief Decodes the bytes of EncodeQuota(). Returns kInvalidRequest for malformed bytes, lengths
/// above the limits and trailing bytes.
base::Result<QuotaMessage> DecodeQuota(std::string_view bytes);

}  // namespace persimmonstair::schema

#endif  // PERSIMMONSTAIR_SCHEMA_QUOTA_CODEC_HPP_
