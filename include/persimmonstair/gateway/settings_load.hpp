#ifndef PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_
#define PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/gateway/settings.hpp"
#include "persimmonstair/schema/entry_settings.hpp"

namespace persimmonstair::gateway {

/// @brief Parses an address and port such as "10.1.0.11:8080"; fails with kInvalidRequest.
base::Result<dispatch::Endpoint> ParseEndpoint(std::string_view text);

/// @brief Settings of the command line, which take precedence over those of the file.
struct EntryOverrides {
  std::optional<std::uint32_t> store_record_bytes;
  std::optional<std::uint32_t> store_call_bytes;
};

/// @brief Reads and validates a settings file. The error names each invalid field and the rule it
/// violates; an unknown field is an error too.
///
///     auto settings = LoadEntrySettings("/etc/persimmonstair/entry.json");
base::Result<schema::EntrySettings> LoadEntrySettings(const std::string& path,
                                                      const EntryOverrides& overrides = {});
base::Result<schema::EntrySettings> ParseEntrySettings(std::string_view text,
                                                       const EntryOverrides& overrides = {});

/// @brief Converts validated settings for the gateway.
GatewaySettings ToGatewaySettings(const schema::EntrySettings& settings);

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_SETTINGS_LOAD_HPP_
