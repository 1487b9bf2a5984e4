#include "json_scan.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using base::Fail;

// SAX handler that keeps the wanted fields and counts the nesting depth. The names in lower case
// are those of the nlohmann::json_sax interface.
class BodyScanner : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return OnOtherValue(); }
  bool boolean(bool value) override {
    if (AtField("stream")) {
      fields.stream = value;
      return true;
    }
    return OnOtherValue();
  }
  bool number_integer(std::int64_t /*value*/) override { return OnOtherValue(); }
  bool number_unsigned(std::uint64_t /*value*/) override { return OnOtherValue(); }
  bool number_float(double /*value*/, const std::string& /*text*/) override {
    return OnOtherValue();
  }
  bool string(std::string& value) override {
    if (AtField("model")) {
      fields.model = value;
      return true;
    }
    return OnOtherValue();
  }
  bool binary(nlohmann::json::binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return OnOtherValue() && EnterContainer(); }
  bool end_object() override { return LeaveContainer(); }
  bool start_array(std::size_t /*size*/) override {
    if (depth_ == 0) error = "the body is not a JSON object";
    return error.empty() && OnOtherValue() && EnterContainer();
  }
  bool end_array() override { return LeaveContainer(); }
  bool key(std::string& name) override {
    if (depth_ == 1) key_ = name;
    return true;
  }
  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::json::exception& /*exception*/) override {
    error = "the body is not valid JSON at byte " + std::to_string(position);
    return false;
  }

  BodyFields fields;
  std::string error;

 private:
  // True if the next value belongs to the top-level field `name`.
  bool AtField(std::string_view name) const { return depth_ == 1 && key_ == name; }

  // Called for each value that is not stored. Sets an error if it belongs to `model` or `stream`,
  // whose type is then wrong, or if it is a second value at the top level.
  bool OnOtherValue() {
    if (depth_ == 1 && (key_ == "model" || key_ == "stream")) {
      error = "field '" + key_ + "' has the wrong type";
    }
    if (depth_ == 0 && root_seen_) error = "the body is not a JSON object";
    return error.empty();
  }

  bool EnterContainer() {
    root_seen_ = true;
    if (++depth_ > kMaxJsonDepth) {
      error = "the body nests deeper than " + std::to_string(kMaxJsonDepth) + " levels";
    }
    return error.empty();
  }

  bool LeaveContainer() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool root_seen_ = false;
  // Last key at the top level.
  std::string key_;
};

}  // namespace

base::Result<BodyFields> ScanJsonBody(std::string_view body) {
  BodyScanner scanner;
  const bool parsed = nlohmann::json::sax_parse(body, &scanner);
  if (!parsed || !scanner.error.empty()) {
    return Fail(ErrorCode::kInvalidRequest,
                scanner.error.empty() ? "the body is not a JSON object" : scanner.error);
  }
  const auto first = body.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos || body[first] != '{') {
    return Fail(ErrorCode::kInvalidRequest, "the body is not a JSON object");
  }
  return std::move(scanner.fields);
}

}  // namespace persimmonstair::net
