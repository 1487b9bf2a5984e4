#ifndef PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_

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

/// @brief Splits a byte stream into complete events. If a stream breaks off inside an event, the
/// partial event isn't forwarded, and the stream can be resumed after the last complete one.
///
///     EventSplitter splitter;
///     for (StreamEvent& event : splitter.Feed(bytes)) Forward(event.bytes);
class EventSplitter {
 public:
  /// Adds received bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes after the last complete event.
  const std::string& Rest() const { return rest_; }

 private:
  std::string rest_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
