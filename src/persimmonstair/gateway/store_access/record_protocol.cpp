#include "store_access/record_protocol.hpp"

#include <fmt/format.h>

#include <charconv>

namespace persimmonstair::gateway::store_access {
namespace {

constexpr std::string_view kPrefix = "/records/";
constexpr std::string_view kNewestPrefix = "/newest/";

// Returns the part of `text` up to the next slash, and removes both.
std::string_view TakeSegment(std::string_view& text) {
  const std::string_view segment = text.substr(0, text.find('/'));
  text.remove_prefix(std::min(text.size(), segment.size() + 1));
  return segment;
}

template <class T>
bool ParseNumber(std::string_view text, T& number) {
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  return ec == std::errc{} && rest == end;
}

}  // namespace

std::string SerializeRecordRequest(const RecordRequest& request) {
  if (request.newest) {
    return fmt::format("GET {}{}/{} HTTP/1.1\r\nHost: records\r\n\r\n", kNewestPrefix,
                       request.partition.stream.value, request.partition.part);
  }
  return fmt::format("GET {}{}/{}/{} HTTP/1.1\r\nHost: records\r\n\r\n", kPrefix,
                     request.partition.stream.value, request.partition.part, request.from.value);
}

std::optional<RecordRequest> ParseRecordPath(std::string_view path) {
  RecordRequest request;
  request.newest = path.starts_with(kNewestPrefix);
  if (!request.newest && !path.starts_with(kPrefix)) return std::nullopt;
  path.remove_prefix(request.newest ? kNewestPrefix.size() : kPrefix.size());
  request.partition.stream.value = TakeSegment(path);
  const bool has_part = ParseNumber(TakeSegment(path), request.partition.part);
  const bool has_offset = request.newest ? path.empty() : ParseNumber(path, request.from.value);
  if (request.partition.stream.value.empty() || !has_part || !has_offset) return std::nullopt;
  return request;
}

}  // namespace persimmonstair::gateway::store_access
