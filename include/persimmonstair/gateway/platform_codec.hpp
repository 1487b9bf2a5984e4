#ifndef PERSIMMONSTAIR_GATEWAY_PLATFORM_CODEC_HPP_
#define PERSIMMONSTAIR_GATEWAY_PLATFORM_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/configuration.hpp"
#include "persimmonstair/gateway/http.hpp"

namespace persimmonstair::gateway {

/// @brief What a caller's request says of itself beside method, path and body.
struct RequestMetadata {
  /// The caller's name for this attempt; the target echoes it.
  std::string request_id;
  std::string host;
  /// Without the query.
  std::string path;
  /// The key that the caller presents; empty if none.
  std::string key;
  /// How long the caller waits.
  std::optional<base::Duration> deadline;
  base::ProgramId program;
  /// Tokens that all turns of the program together may be handed.
  std::optional<std::uint64_t> token_budget;
  /// The most tokens that this turn may be handed.
  std::uint64_t max_tokens = 0;
  /// The turn that this one continues; empty for the first of a chain.
  base::TurnId previous_turn;
  std::vector<dispatch::PromptPart> prompt;
  /// Names the object that the request concerns; empty if none.
  std::string affinity;
};

/// @brief What the system adds to a request on its way to a target.
struct ForwardingContext {
  base::TargetId target;
  base::WorkspaceId workspace;
  base::Duration time_left{0};
  /// Replaces the caller's body if the system keeps what came before.
  std::optional<std::string> body;
  /// Goes on after this event of an interrupted stream.
  std::string last_event;
};

/// @brief What a target's answer says of itself.
struct ResponseMetadata {
  HttpHead head;
  /// The request that it answers; empty if the target didn't say.
  std::string request_id;
  /// It carries the target's signature.
  bool has_signature = false;
  /// The target promises that it did not run the request.
  bool not_run = false;
  /// Another target has the address now.
  bool misdirected = false;
  /// The body is encoded and so is not what the target was asked for.
  bool encoded = false;
  std::optional<dispatch::ReportedLoad> load;
};

/// @brief Names and formats that callers, targets and the operator use. Implementations translate
/// and decide nothing.
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  virtual RequestMetadata DecodeRequest(const HttpRequest& request) const = 0;
  virtual HttpRequest EncodeTargetRequest(const HttpRequest& request,
                                          const RequestMetadata& metadata,
                                          const ForwardingContext& dispatch) const = 0;
  virtual ResponseMetadata DecodeResponse(HttpHead head) const = 0;

  virtual base::Result<Configuration> DecodeConfiguration(std::string_view bytes) const = 0;
  virtual base::Result<dispatch::TargetEntry> DecodeTarget(const std::string& id,
                                                           std::string_view bytes) const = 0;
  /// Name of the operator's configuration record.
  virtual std::string_view ConfigurationKey() const = 0;
  /// Streams that the operator and the targets write.
  virtual const base::StreamName& ConfigurationStream() const = 0;
  virtual const base::StreamName& TargetStream() const = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_PLATFORM_CODEC_HPP_
