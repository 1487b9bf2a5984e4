#include "event_splitter.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace persimmonstair::gateway {
namespace {

std::string_view FieldValue(std::string_view line, std::string_view name) {
  line.remove_prefix(name.size());
  if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
  return line;
}

StreamEvent ParseEvent(std::string bytes) {
  StreamEvent event;
  std::string_view left = bytes;
  while (!left.empty()) {
    const auto end = left.find('\n');
    std::string_view line = left.substr(0, end);
    left.remove_prefix(end == std::string_view::npos ? left.size() : end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.starts_with("id:")) event.id = FieldValue(line, "id:");
    if (!line.starts_with("data:")) continue;
    if (event.has_data) event.data += '\n';
    event.has_data = true;
    event.data += FieldValue(line, "data:");
  }
  event.bytes = std::move(bytes);
  return event;
}

// Longest end of an event, a line feed and an empty line.
constexpr std::size_t kMaxEndBytes = 3;

// Length of the first event including the empty line that ends it, which is searched for from
// `from` on; npos if the event isn't complete.
std::size_t EventLength(std::string_view text, std::size_t from) {
  for (auto at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view next = text.substr(at + 1);
    if (next.starts_with("\n")) return at + 2;
    if (next.starts_with("\r\n")) return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace

std::uint64_t EventNumber(const std::string& id) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return number;
}

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  rest_ += bytes;
  std::vector<StreamEvent> events;
  for (;;) {
    const auto length = EventLength(rest_, searched_);
    if (length == std::string_view::npos) {
      searched_ = rest_.size() - std::min(rest_.size(), kMaxEndBytes - 1);
      return events;
    }
    events.push_back(ParseEvent(rest_.substr(0, length)));
    rest_.erase(0, length);
    searched_ = 0;
  }
}

}  // namespace persimmonstair::gateway
