#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "persimmonstair/net/target_client.hpp"
#include "response_text.hpp"

namespace persimmonstair::net {

base::Result<Credentials> ReadCredentials(const std::string& file) {
  const auto fail = [&](const std::string& rule) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "credentials file '" + file + "' " + rule);
  };
  std::ifstream in(file);
  if (!in) return fail("cannot be read");
  std::stringstream text;
  text << in.rdbuf();
  const auto json = nlohmann::json::parse(text.str(), nullptr, false);
  if (!json.is_object()) return fail("must contain a JSON object");
  Credentials out;
  for (const auto& [name, value] : json.items()) {
    if (!value.is_string() || value.get_ref<const std::string&>().empty() ||
        !IsForwardableHeader("authorization", value.get_ref<const std::string&>())) {
      return fail("must map '" + name + "' to a non-empty string that is a valid header value");
    }
    out[name] = value.get<std::string>();
  }
  return out;
}

}  // namespace persimmonstair::net
