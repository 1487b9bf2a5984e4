#ifndef PERSIMMONSTAIR_NET_STREAM_ASSEMBLER_HPP_
#define PERSIMMONSTAIR_NET_STREAM_ASSEMBLER_HPP_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "persimmonstair/base/error.hpp"

namespace persimmonstair::net {

/// @brief Token counts that an engine reports for a chat completion.
struct Usage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};

/// @brief Reads the `usage` member of a chat completion object. Missing counts are zero.
Usage ReadUsage(const nlohmann::json& completion);

/// @brief Splits a streamed chat completion into server-sent events and assembles the chat
/// completion object from the chunks of its choice with index 0. Other choices are passed on but
/// not assembled.
///
///     StreamAssembler assembler{16 << 20};
///     if (auto part = assembler.Add(bytes)) Relay(*part); else Fail(part.error());
///     if (assembler.Ended()) Done(assembler.Completion());
class StreamAssembler {
 public:
  /// Streams of more than `max_bytes` bytes are an error.
  explicit StreamAssembler(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Returns the events that these bytes complete and that may be relayed to the caller, without
  /// `data: [DONE]` and anything after it. Fails with kIncompleteAnswer if the stream is too long
  /// or an event is not a completion chunk or has an `error` member. After the end marker, returns
  /// an empty text.
  base::Result<std::string> Add(std::string_view bytes);

  /// True once the end marker `data: [DONE]` was read.
  bool Ended() const { return ended_; }
  /// True if anything but line breaks and blanks followed the end marker. The connection must then
  /// not be reused.
  bool HasTrailingData() const { return trailing_; }
  /// The last token counts that the stream contained.
  const Usage& TokenUsage() const { return usage_; }
  /// The chat completion object as JSON text, assembled from the chunks so far.
  std::string Completion() const;

 private:
  base::Result<void> AddEvent(std::string_view event);
  base::Result<void> AddChunk(std::string_view data);
  void AddChoice(const nlohmann::json& choice);
  void AddToolCalls(const nlohmann::json& calls);

  std::size_t max_bytes_;
  std::size_t total_bytes_ = 0;
  /// Start of an event that is not complete yet.
  std::string pending_;
  bool ended_ = false;
  bool trailing_ = false;
  std::string id_;
  std::string model_;
  std::int64_t created_ = 0;
  std::string content_;
  std::string finish_reason_;
  std::map<std::int64_t, nlohmann::json> tool_calls_;
  nlohmann::json usage_json_;
  Usage usage_;
};

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_NET_STREAM_ASSEMBLER_HPP_
