#ifndef PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_

#include <string>
#include <string_view>
#include <vector>

namespace persimmonstair::gateway {

/// @brief One whole event of a text/event-stream.
struct StreamEvent {
  /// As received, with the empty line that ends it.
  std::string bytes;
  /// Lines of its data, joined by line feeds.
  std::string data;
  bool has_data = false;
  std::string id;
};

/// @brief Cuts a stream into whole events, so that a stream that breaks off in the middle of one
/// can go on with the next.
///
///     EventSplitter splitter;
///     for (StreamEvent& event : splitter.Feed(bytes)) Forward(event.bytes);
class EventSplitter {
 public:
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes after the last whole event.
  const std::string& Rest() const { return rest_; }

 private:
  std::string rest_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_EVENT_SPLITTER_HPP_
