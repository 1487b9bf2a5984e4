#include "json_scan.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using base::Fail;

// Receives the parser's events; the names are those that nlohmann::json requires.
class TurnScanner : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return Other(); }
  bool boolean(bool value) override {
    if (AtField("stream")) {
      fields.stream = value;
      return true;
    }
    return Other();
  }
  bool number_integer(std::int64_t /*value*/) override { return Other(); }
  bool number_unsigned(std::uint64_t /*value*/) override { return Other(); }
  bool number_float(double /*value*/, const std::string& /*text*/) override { return Other(); }
  bool string(std::string& value) override {
    if (AtField("model")) {
      fields.model = value;
      return true;
    }
    return Other();
  }
  bool binary(nlohmann::json::binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override { return Other() && Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*size*/) override {
    if (depth_ == 0) error = "the body is not a JSON object";
    return error.empty() && Other() && Enter();
  }
  bool end_array() override { return Leave(); }
  bool key(std::string& name) override {
    if (depth_ == 1) key_ = name;
    return true;
  }
  bool parse_error(std::size_t position, const std::string& /*token*/,
                   const nlohmann::json::exception& /*exception*/) override {
    error = "the body is not valid JSON at byte " + std::to_string(position);
    return false;
  }

  TurnFields fields;
  std::string error;

 private:
  bool AtField(std::string_view name) const { return depth_ == 1 && key_ == name; }

  // A value that is not of the type a known field has.
  bool Other() {
    if (depth_ == 1 && (key_ == "model" || key_ == "stream")) {
      error = "field '" + key_ + "' has the wrong type";
    }
    if (depth_ == 0 && entered_) error = "the body is not a JSON object";
    return error.empty();
  }

  bool Enter() {
    entered_ = true;
    if (++depth_ > kMaxJsonDepth) {
      error = "the body nests deeper than " + std::to_string(kMaxJsonDepth) + " levels";
    }
    return error.empty();
  }

  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
  bool entered_ = false;
  std::string key_;
};

}  // namespace

base::Result<TurnFields> ScanTurn(std::string_view body) {
  TurnScanner scanner;
  const bool whole = nlohmann::json::sax_parse(body, &scanner);
  if (!whole || !scanner.error.empty()) {
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
