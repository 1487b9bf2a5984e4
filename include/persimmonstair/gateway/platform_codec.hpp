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

/// @brief Metadata of a caller's request, decoded from its headers and path.
struct RequestMetadata {
  /// Request id that the caller chose; the target echoes it in its response.
  std::string request_id;
  /// Host header without the port.
  std::string host;
  /// Path without the query.
  std::string path;
  /// API key of the caller; empty if there is none.
  std::string key;
  /// Time that the caller waits for the response; empty if the request doesn't state it.
  std::optional<base::Duration> deadline;
  /// Time until the program should end; empty if the request doesn't state it.
  std::optional<base::Duration> finish_in;
  /// Program that the request belongs to; empty if there is none.
  base::ProgramId program;
  /// Maximum number of tokens that all turns of the program may generate together; empty if the
  /// request states no valid number.
  std::optional<std::uint64_t> token_budget;
  /// Maximum number of tokens that this turn may generate; zero if the request doesn't state it.
  std::uint64_t max_tokens = 0;
  /// Turn that this one continues; empty for the first turn of a conversation.
  base::TurnId previous_turn;
  /// Id of the last event that the caller has of a stream which this request takes up; empty for a
  /// new stream.
  std::string last_event;
  /// Request of this caller that brought the first event of that stream; empty if not stated.
  base::TurnId resumed_attempt;
  /// Parts of the prompt in order; empty if the request doesn't state them.
  std::vector<dispatch::PromptPart> prompt;
  /// Affinity key: id of the object that the request concerns; empty if there is none.
  std::string affinity;
};

/// @brief What an instance adds to or replaces in a request that it forwards to a target.
struct ForwardingContext {
  base::TargetId target;
  base::WorkspaceId workspace;
  base::Duration time_left{0};
  /// Id of the last event received from an interrupted stream; the target resumes after it.
  std::string last_event;
};

/// @brief Head of a target's response and the metadata decoded from it.
struct ResponseMetadata {
  HttpHead head;
  /// Id of the answered request; empty if the target didn't state it.
  std::string request_id;
  /// The response carries a target's signature. Only its presence is checked.
  bool has_signature = false;
  /// The target states that it did not run the request.
  bool not_run = false;
  /// The request reached another target than the expected one, which no longer uses the address.
  bool misdirected = false;
  /// The target that sent the response is about to stop and takes no further requests.
  bool leaving = false;
  /// The body has a content encoding, which was not requested.
  bool encoded = false;
  /// Load that the target reports; empty if the response has no valid load.
  std::optional<dispatch::ReportedLoad> load;
  /// Requests per second that the target takes from all instances together; empty if it names no
  /// limit.
  std::optional<double> rate_limit_per_s;
  /// The target names a rate limit that isn't a finite, non-negative number.
  bool rate_limit_unreadable = false;
  /// Time for which the target stays cold; empty if it doesn't say.
  std::optional<base::Duration> cold_left;
};

/// @brief A target's answer to a health check.
struct HealthReport {
  /// Target that answered; empty if it does not say.
  base::TargetId target;
  /// It is healthy and takes requests.
  bool serving = false;
  /// Time for which it stays cold; empty if it doesn't say.
  std::optional<base::Duration> cold_left;
};

/// @brief Encodes and decodes the names and formats of one platform, which its callers, targets and
/// operator use. Implementations only translate; they contain no policy.
class PlatformCodec {
 public:
  virtual ~PlatformCodec() = default;

  virtual RequestMetadata DecodeRequest(const HttpRequest& request) const = 0;
  /// Encodes the head of a request to a target; the body is the caller's and is sent from where it
  /// is.
  virtual HttpRequest EncodeTargetRequest(const HttpRequest& request,
                                          const RequestMetadata& metadata,
                                          const ForwardingContext& forwarding) const = 0;
  virtual ResponseMetadata DecodeResponse(HttpHead head) const = 0;
  /// Encodes a health check of a target of the service, which must name a path for it.
  virtual HttpRequest EncodeHealthCheck(const Service& service,
                                        const dispatch::TargetEntry& target) const = 0;
  virtual HealthReport DecodeHealthReport(const HttpHead& head) const = 0;

  /// Decodes the operator's configuration document.
  virtual base::Result<Configuration> DecodeConfiguration(std::string_view bytes) const = 0;
  /// Decodes a target's entry in the target stream.
  virtual base::Result<dispatch::TargetEntry> DecodeTarget(const std::string& id,
                                                           std::string_view bytes) const = 0;
  /// Returns the data centre that the operator evacuates by a record with this key in the
  /// configuration stream, until the record is deleted; nothing if the key is another one.
  virtual std::optional<base::DataCentreId> DecodeEvacuation(std::string_view key) const = 0;
  /// Key of the operator's configuration record in the configuration stream.
  virtual std::string_view ConfigurationKey() const = 0;
  /// Stream that the operator writes.
  virtual const base::StreamName& ConfigurationStream() const = 0;
  /// Stream that the targets write.
  virtual const base::StreamName& TargetStream() const = 0;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_GATEWAY_PLATFORM_CODEC_HPP_
