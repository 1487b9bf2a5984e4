#ifndef PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::gateway {

/// @brief One complete event of a text/event-stream.
struct StreamEvent {
  /// The event as received, including the empty line that ends it.
  std::string bytes;
  /// Values of the event's data fields, joined by line feeds.
  std::string data;
  bool has_data = false;
  std::string id;
};

/// @brief Returns the number that an event's id is; 0 if it isn't one.
std::uint64_t EventNumber(const std::string& id);

/// @brief Splits a byte stream into complete events. If a stream breaks off inside an event, the
/// partial event isn't forwarded, and the stream can be resumed after the last complete one.
///
///     EventSplitter splitter;
///     for (StreamEvent& event : splitter.Feed(bytes)) Forward(event.bytes);
class EventSplitter {
 public:
  /// Size limit of one event, in bytes.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

  /// Adds received bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes after the last complete event.
  const std::string& Rest() const { return rest_; }
  /// True if the last event is incomplete. Empty lines between events belong to none.
  bool InsideEvent() const { return rest_.find_first_not_of("\r\n") != std::string::npos; }
  /// True if the incomplete event exceeds kMaxEventBytes.
  bool TooLarge() const { return rest_.size() > kMaxEventBytes; }

 private:
  std::string rest_;
  /// Bytes at the start of `rest_` that contain no end of an event.
  std::size_t searched_ = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
