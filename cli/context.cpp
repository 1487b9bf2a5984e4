#include "cli/context.hpp"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <utility>

#include "cli/cli.hpp"

namespace persimmonstair::cli {
namespace {

constexpr std::size_t kMaxFileBytes = 64U << 20U;

Failure ToFailure(const base::Error& error, const std::string& address) {
  // Reads get kUnknown as well: they change nothing, but the instance could not be reached.
  return {kUnknown, std::string(base::ToString(error.code)), address + ": " + error.message,
          std::string(base::ToString(error.verdict)), 0};
}

/// Converts a response that is not 2xx; code, message and verdict come from its error object.
Failure ToFailure(const service_clients::HttpResponse& response) {
  Failure out;
  out.code = "status_" + std::to_string(response.status);
  out.message = "status " + std::to_string(response.status);
  const Json json = Json::parse(response.body, nullptr, false);
  const Json error = json.is_object() ? json.value("error", Json::object()) : Json::object();
  if (error.is_object()) {
    if (const auto code = StringMember(error, "code"); !code.empty()) out.code = code;
    if (const auto text = StringMember(error, "message"); !text.empty()) out.message = text;
    out.verdict = StringMember(error, "verdict");
    const auto retry = error.find("retry_after_ms");
    if (retry != error.end() && retry->is_number_integer()) out.retry_after_ms = *retry;
  }
  const bool refused = out.verdict == "not_run" || (out.verdict.empty() && response.status < 500);
  out.exit_code = refused ? kRefused : kUnknown;
  return out;
}

}  // namespace

tl::unexpected<Failure> UsageError(std::string message) {
  return tl::make_unexpected(Failure{kUsage, "usage", std::move(message), "", 0});
}

tl::unexpected<Failure> Refused(std::string code, std::string message) {
  return tl::make_unexpected(Failure{kRefused, std::move(code), std::move(message), "", 0});
}

std::string StringMember(const Json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto it = object.find(name);
  return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t UnsignedMember(const Json& object, const char* name) {
  if (!object.is_object()) return 0;
  const auto it = object.find(name);
  return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

int ReportFailure(const Context& context, const Failure& failure) {
  if (context.json) {
    Json error;
    error["error"]["code"] = failure.code;
    error["error"]["message"] = failure.message;
    error["error"]["verdict"] = failure.verdict;
    error["error"]["retry_after_ms"] = failure.retry_after_ms;
    context.out << error.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
    return failure.exit_code;
  }
  context.err << "persimmonstair: " << failure.code << ": " << failure.message << "\n";
  if (failure.verdict == "may_have_run") {
    context.err << "The outcome is unknown: the request may have taken effect.\n";
  }
  if (failure.retry_after_ms > 0) {
    context.err << "Retry after " << failure.retry_after_ms << " ms.\n";
  }
  return failure.exit_code;
}

int PrintResult(const Context& context, const Json& json, const std::string& text) {
  if (context.json) {
    context.out << json.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
  } else {
    context.out << text;
  }
  return kOk;
}

Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary | std::ios::ate);
  if (!in) return UsageError("cannot read file '" + path + "'");
  const auto size = in.tellg();
  if (size < 0 || static_cast<std::uint64_t>(size) > kMaxFileBytes) {
    return UsageError("not a regular file of at most 64 MiB: '" + path + "'");
  }
  std::string out(static_cast<std::size_t>(size), '\0');
  in.seekg(0);
  if (!in.read(out.data(), size)) return UsageError("cannot read file '" + path + "'");
  return out;
}

Outcome<std::string> ReadKey(const Context& context, const char* variable) {
  std::string key;
  if (!context.key_file.empty()) {
    auto text = ReadFile(context.key_file);
    if (!text) return text;
    key = std::move(*text);
  } else if (const char* value = std::getenv(variable); value != nullptr) {  // NOLINT
    key = value;
  }
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) key.pop_back();
  if (key.empty()) {
    return UsageError(std::string("no key given: use --key-file or set ") + variable);
  }
  return key;
}

Outcome<Json> Call(const Context& context, const std::string& address, const std::string& key,
                   const std::string& method, const std::string& target, const std::string& body) {
  const auto endpoint = service_clients::ParseEndpoint(address);
  if (!endpoint) return UsageError(endpoint.error().message);
  service_clients::HttpRequest request;
  request.method = method;
  request.target = target;
  if (!key.empty()) request.headers["Authorization"] = "Bearer " + key;
  if (!body.empty()) request.headers["Content-Type"] = "application/json";
  request.body = body;
  const auto result = service_clients::SendAndWait(*endpoint, std::move(request),
                                                   std::chrono::milliseconds(context.timeout_ms));
  if (!result) return tl::make_unexpected(ToFailure(result.error(), address));
  if (result->status < 200 || result->status > 299) return tl::make_unexpected(ToFailure(*result));
  if (result->body.empty()) return Json::object();
  Json json = Json::parse(result->body, nullptr, false);
  if (json.is_discarded()) {
    return tl::make_unexpected(Failure{kUnknown, "incomplete_answer",
                                       address + ": the response is not valid JSON", "may_have_run",
                                       0});
  }
  return json;
}

Outcome<Json> CallEntryInstance(const Context& context, const std::string& method,
                                const std::string& target, const std::string& body) {
  if (context.address.empty()) {
    return UsageError("no entry instance given: use --address or set PERSIMMONSTAIR_ADDRESS");
  }
  const auto key = ReadKey(context, "PERSIMMONSTAIR_OPERATOR_KEY");
  if (!key) return tl::make_unexpected(key.error());
  return Call(context, context.address, *key, method, target, body);
}

}  // namespace persimmonstair::cli
