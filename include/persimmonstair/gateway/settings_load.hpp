#ifndef PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_
#define PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_

#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/schema/entry_settings.hpp"

namespace persimmonstair::gateway {

/// @brief "10.1.0.11:8080"; kInvalidRequest for anything else.
base::Result<dispatch::Endpoint> ParseEndpoint(std::string_view text);

/// @brief Reads and checks a settings file. Unknown fields are an error, which names each field
/// and rule.
///
///     auto settings = LoadEntrySettings("/etc/persimmonstair/entry.json");
base::Result<schema::EntrySettings> LoadEntrySettings(const std::string& path);
base::Result<schema::EntrySettings> ParseEntrySettings(std::string_view text);

/// @brief The gateway's form of checked settings.
GatewaySettings ToGatewaySettings(const schema::EntrySettings& settings);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_
