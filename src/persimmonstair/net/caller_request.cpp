#include "persimmonstair/net/caller_request.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "json_scan.hpp"

namespace persimmonstair::net {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Result;
using scheduler::CallerRequest;
using scheduler::CallKind;

// Operators generate keys of at most 64 characters, so a longer value cannot be a key.
constexpr std::size_t kMaxKeyBytes = 512;
// Maximum length of program ids and routes.
constexpr std::size_t kMaxIdBytes = 128;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::int64_t kMaxDeadlineMs = 86'400'000;  // 24 h
constexpr std::array<std::string_view, 7> kMethods = {"GET",    "POST", "PUT",    "PATCH",
                                                      "DELETE", "HEAD", "OPTIONS"};

auto InvalidRequest(std::string message) {
  return Fail(ErrorCode::kInvalidRequest, std::move(message));
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// Returns the value of a header that may occur at most once; empty if it is missing.
Result<std::string> SingleHeader(const RawRequest& raw, std::string_view name) {
  std::string out;
  bool found = false;
  for (const auto& [key, value] : raw.headers) {
    if (!EqualsIgnoreCase(key, name)) continue;
    if (found) return InvalidRequest("header '" + std::string(name) + "' is repeated");
    found = true;
    out = Trim(value);
  }
  return out;
}

// Returns the bearer key of the Authorization header; empty if there is no such header.
Result<std::string> PresentedKey(const RawRequest& raw) {
  auto header = SingleHeader(raw, "authorization");
  if (!header || header->empty()) return header;
  if (!EqualsIgnoreCase(std::string_view{*header}.substr(0, kBearerPrefix.size()), kBearerPrefix)) {
    return Fail(ErrorCode::kUnauthorized, "the Authorization header has no bearer key");
  }
  std::string key(Trim(std::string_view{*header}.substr(kBearerPrefix.size())));
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return Fail(ErrorCode::kUnauthorized, "the bearer key is empty or too long");
  }
  return key;
}

// Rejects a request that contains the key outside the Authorization header, from where it could
// reach a target or a log.
Result<void> CheckKeyNotLeaked(const RawRequest& raw, const std::string& key) {
  const auto leaked = [](const char* where) {
    return InvalidRequest(std::string("the ") + where + " contains the presented key");
  };
  if (key.empty()) return {};
  const auto query = raw.target.find('?');
  if (ContainsKey(std::string_view{raw.target}.substr(0, query), key)) return leaked("path");
  if (ContainsKey(raw.target, key)) return leaked("query");
  for (const auto& [name, value] : raw.headers) {
    if (EqualsIgnoreCase(name, "authorization")) continue;
    if (ContainsKey(value, key) || ContainsKey(name, key)) return leaked("header");
  }
  if (ContainsKey(raw.body, key)) return leaked("body");
  return {};
}

// Checks a program id or a route; `what` names it in the error.
Result<std::string> ParseId(std::string_view text, const char* what) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           std::string_view("._:-").find(c) != std::string_view::npos;
  };
  if (text.empty() || text.size() > kMaxIdBytes ||
      !std::all_of(text.begin(), text.end(), allowed)) {
    return InvalidRequest(std::string(what) +
                          " must be 1 to 128 of the characters A-Z a-z 0-9 . _ : -");
  }
  return std::string(text);
}

// Returns the value of a header that must be a whole number from 1 to `max`; 0 if it is missing.
Result<std::int64_t> ParseNumberHeader(const RawRequest& raw, std::string_view name,
                                       std::int64_t max) {
  const auto text = SingleHeader(raw, name);
  if (!text) return tl::make_unexpected(text.error());
  if (text->empty()) return 0;
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (ec != std::errc{} || end != text->data() + text->size() || value < 1 || value > max) {
    return InvalidRequest("header '" + std::string(name) + "' must be a whole number from 1 to " +
                          std::to_string(max));
  }
  return value;
}

Result<void> ReadProgramFields(const std::string& body, CallerRequest& request) {
  if (const auto scan = ScanJsonBody(body); !scan) return tl::make_unexpected(scan.error());
  const auto json = nlohmann::json::parse(body, nullptr, false);
  for (const auto& [name, value] : json.items()) {
    if (name == "model" && value.is_string()) {
      request.model.value = value.get<std::string>();
    } else if (name == "parent" && value.is_string()) {
      auto id = ParseId(value.get_ref<const std::string&>(), "field 'parent'");
      if (!id) return tl::make_unexpected(id.error());
      request.parent.value = *id;
    } else if (name == "budget_tokens" && value.is_number_unsigned() &&
               value.get<std::uint64_t>() >= 1 &&
               value.get<std::uint64_t>() <= std::numeric_limits<std::int64_t>::max()) {
      request.budget_tokens = value.get<std::int64_t>();
    } else {
      return InvalidRequest("field '" + name + "' is unknown or has a wrong value");
    }
  }
  if (request.model.empty()) return InvalidRequest("field 'model' is missing");
  return {};
}

Result<void> ReadTurnFields(const std::string& body, CallerRequest& request) {
  const auto fields = ScanJsonBody(body);
  if (!fields) return tl::make_unexpected(fields.error());
  request.model.value = fields->model;
  request.stream = fields->stream;
  return {};
}

// Kind of call and the ids in its path; an id that the path does not have is empty.
struct RouteMatch {
  CallKind kind = CallKind::kTurn;
  std::string_view program;
  std::string_view route;
};

// Removes the prefix from the path. Returns false if the path does not start with it.
bool ConsumePrefix(std::string_view& path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) return false;
  path.remove_prefix(prefix.size());
  return true;
}

// Matches the routes under /v1/programs/{id}; `path` is the part after "/v1/programs/".
Result<RouteMatch> MatchProgramPath(const std::string& verb, std::string_view path) {
  const auto slash = path.find('/');
  const std::string_view id = path.substr(0, slash);
  const std::string_view rest =
      slash == std::string_view::npos ? std::string_view{} : path.substr(slash);
  if (rest.empty() && verb == "GET") return RouteMatch{CallKind::kReadProgram, id, {}};
  if (rest.empty() && verb == "DELETE") return RouteMatch{CallKind::kEndProgram, id, {}};
  if (rest == "/pause" && verb == "POST") return RouteMatch{CallKind::kToolPause, id, {}};
  if (rest == "/chat/completions" && verb == "POST") return RouteMatch{CallKind::kTurn, id, {}};
  return Fail(ErrorCode::kNotFound, "no route for this method and path");
}

Result<RouteMatch> MatchPath(const std::string& verb, std::string_view path) {
  if (verb == "POST" && path == "/v1/programs") return RouteMatch{CallKind::kOpenProgram, {}, {}};
  if (verb == "POST" && path == "/v1/chat/completions") return RouteMatch{CallKind::kTurn, {}, {}};
  if (verb == "GET" && path == "/v1/catalogue") return RouteMatch{CallKind::kReadCatalogue, {}, {}};
  if (verb == "GET" && path == "/v1/catalogue/history") {
    return RouteMatch{CallKind::kReadHistory, {}, {}};
  }
  if (verb == "POST" && path == "/v1/catalogue/changes") {
    return RouteMatch{CallKind::kChangeCatalogue, {}, {}};
  }
  if (ConsumePrefix(path, "/v1/programs/")) return MatchProgramPath(verb, path);
  if (ConsumePrefix(path, "/v1/services/")) return RouteMatch{CallKind::kServiceCall, {}, path};
  return Fail(ErrorCode::kNotFound, "no route for this method and path");
}

// Validates the program id or route of the call. The turn route without an id in its path takes it
// from the header `persimmonstair-program`.
Result<void> ReadIds(const RawRequest& raw, const RouteMatch& match, CallerRequest& request) {
  std::string program(match.program);
  if (match.kind == CallKind::kTurn && program.empty()) {
    auto header = SingleHeader(raw, "persimmonstair-program");
    if (!header) return tl::make_unexpected(header.error());
    if (header->empty()) return InvalidRequest("header 'persimmonstair-program' is missing");
    program = *header;
  }
  const bool needs_program =
      match.kind == CallKind::kTurn || match.kind == CallKind::kReadProgram ||
      match.kind == CallKind::kEndProgram || match.kind == CallKind::kToolPause;
  if (needs_program) {
    auto id = ParseId(program, "the program id");
    if (!id) return tl::make_unexpected(id.error());
    request.program.value = *id;
  }
  if (match.kind == CallKind::kServiceCall) {
    auto id = ParseId(match.route, "the route");
    if (!id) return tl::make_unexpected(id.error());
    request.route.value = *id;
  }
  return {};
}

Result<void> ReadHeaders(const RawRequest& raw, CallerRequest& request) {
  const auto turn =
      ParseNumberHeader(raw, "persimmonstair-turn", std::numeric_limits<std::uint32_t>::max());
  if (!turn) return tl::make_unexpected(turn.error());
  const auto deadline = ParseNumberHeader(raw, "persimmonstair-deadline-ms", kMaxDeadlineMs);
  if (!deadline) return tl::make_unexpected(deadline.error());
  auto idempotency = SingleHeader(raw, "idempotency-key");
  if (!idempotency) return tl::make_unexpected(idempotency.error());
  const auto printable = [](char c) { return c > ' ' && c < 0x7f; };
  if (idempotency->size() > kMaxIdempotencyKeyBytes ||
      !std::all_of(idempotency->begin(), idempotency->end(), printable)) {
    return InvalidRequest("header 'Idempotency-Key' must be at most 256 printable characters");
  }
  request.turn = static_cast<std::uint32_t>(*turn);
  request.deadline = std::chrono::milliseconds(*deadline);
  request.idempotency_key = std::move(*idempotency);
  return {};
}

// Parses or validates the body where the kind of call requires JSON; other bodies are not checked.
Result<void> ReadBody(const std::string& body, CallerRequest& request) {
  switch (request.kind) {
    case CallKind::kOpenProgram:
      return ReadProgramFields(body, request);
    case CallKind::kTurn:
      return ReadTurnFields(body, request);
    case CallKind::kToolPause:
    case CallKind::kChangeCatalogue: {
      if (body.empty() && request.kind == CallKind::kToolPause) return {};
      const auto scan = ScanJsonBody(body);
      if (!scan) return tl::make_unexpected(scan.error());
      return {};
    }
    default:
      return {};
  }
}

}  // namespace

Result<CallerRequest> ParseCallerRequest(RawRequest raw) {
  const auto key = PresentedKey(raw);
  if (!key) return tl::make_unexpected(key.error());
  if (auto check = CheckKeyNotLeaked(raw, *key); !check) return tl::make_unexpected(check.error());
  if (std::find(kMethods.begin(), kMethods.end(), raw.method) == kMethods.end()) {
    return InvalidRequest("the method is not supported");
  }
  const std::string_view path = std::string_view{raw.target}.substr(0, raw.target.find('?'));
  const auto match = MatchPath(raw.method, path);
  if (!match) return tl::make_unexpected(match.error());
  CallerRequest request;
  request.kind = match->kind;
  request.method = raw.method;
  if (!key->empty()) request.key = DigestKey(*key);
  if (auto ids = ReadIds(raw, *match, request); !ids) return tl::make_unexpected(ids.error());
  if (auto read = ReadHeaders(raw, request); !read) return tl::make_unexpected(read.error());
  if (auto body = ReadBody(raw.body, request); !body) return tl::make_unexpected(body.error());
  request.body = std::move(raw.body);
  return request;
}

std::string ErrorBody(const base::Error& error) {
  const nlohmann::json json = {{"error",
                                {{"code", base::ToString(error.code)},
                                 {"message", error.message},
                                 {"verdict", base::ToString(error.verdict)},
                                 {"retry_after_ms", base::ToMillis(error.retry_after)}}}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

scheduler::Reply ErrorReply(base::RequestId request, const base::Error& error) {
  scheduler::Reply reply;
  reply.request = request;
  reply.status = static_cast<std::uint32_t>(base::HttpStatus(error.code));
  reply.headers["content-type"] = "application/json";
  if (error.retry_after.count() > 0) {
    // Retry-After has whole seconds. Rounding down would allow a retry before the delay has passed.
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    reply.headers["retry-after"] = std::to_string(seconds.count());
  }
  reply.body = ErrorBody(error);
  return reply;
}

}  // namespace persimmonstair::net
