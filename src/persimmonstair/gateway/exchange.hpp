#ifndef PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "event_splitter.hpp"
#include "gateway_context.hpp"
#include "persimmonstair/base/error.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"

namespace persimmonstair::gateway {

class CallerConnection;

/// @brief One caller's request from its arrival to the end of its answer.
///
/// Its verdict starts as "not run" and rises when the first byte may have left for a target; only
/// a target's own promise takes an attempt back.
class Exchange {
 public:
  Exchange(GatewayContext& context, CallerConnection& caller, HttpRequest request,
           base::TimePoint arrived_at);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  boost::asio::awaitable<void> Run();

 private:
  /// How one attempt ended.
  enum class Outcome {
    /// The caller has the whole answer, or all of it that it will get.
    kFinished,
    /// The target did not run the request.
    kNotRun,
    /// The request may have run, and the caller got nothing of an answer.
    kLost,
    /// The stream broke off after the caller got a part of it.
    kBroken,
    /// The target answered with a failure that another target may not have.
    kFailed,
  };

  // Admission, in exchange.cpp.
  std::optional<base::Error> Admit();
  std::optional<base::Error> FindWorkspace();
  boost::asio::awaitable<std::optional<base::Error>> ChargeQuota();
  std::optional<base::Error> CheckStore() const;
  boost::asio::awaitable<std::optional<base::Error>> LoadHistory();
  boost::asio::awaitable<std::optional<base::Error>> ReserveTokens();
  void PrepareCriteria();

  // Attempts, in exchange_attempts.cpp.
  boost::asio::awaitable<void> Dispatch();
  boost::asio::awaitable<std::optional<dispatch::TargetEntry>> ChooseTarget();
  boost::asio::awaitable<Outcome> Attempt(const dispatch::TargetEntry& target);
  boost::asio::awaitable<Outcome> SendTo(const dispatch::TargetEntry& target,
                                         std::unique_ptr<HttpConnection>& connection);
  boost::asio::awaitable<std::optional<ResponseMetadata>> ReadMatchingHead(
      HttpConnection& connection);
  boost::asio::awaitable<Outcome> RelayFullResponse(HttpConnection& connection,
                                                    ResponseMetadata response);
  boost::asio::awaitable<std::optional<std::string>> ReadFullBody(HttpConnection& connection);
  void RecordError(const boost::system::error_code& ec);
  bool MayRetry() const;
  /// The time left, for timers, which need some.
  base::Duration RemainingTimeout() const;
  /// Time to wait for the next part of an answer.
  base::Duration ResponseTimeout() const;

  // Streams, in exchange_stream.cpp.
  boost::asio::awaitable<Outcome> RelayStream(HttpConnection& connection,
                                              ResponseMetadata response);
  boost::asio::awaitable<bool> ForwardEvents(ResponseMetadata& response, std::string_view bytes);
  boost::asio::awaitable<bool> BeginStream(ResponseMetadata& response);
  boost::asio::awaitable<bool> FinishStream();

  base::Duration TimeLeft() const;
  boost::asio::awaitable<void> Fail(base::Error error);
  void LogResult();

  GatewayContext& context_;
  CallerConnection& caller_;
  HttpRequest request_;
  base::TimePoint arrived_at_;
  RequestMetadata metadata_;
  ConfigurationPtr configuration_;
  const Route* route_ = nullptr;
  const Service* service_ = nullptr;
  /// Whose rate the request is charged to; null on routes without keys.
  const Workspace* quota_workspace_ = nullptr;
  base::WorkspaceId workspace_;
  base::TimePoint expires_at_;
  std::uint64_t fingerprint_ = 0;

  std::optional<std::string> forwarded_body_;
  std::vector<base::TurnId> ancestors_;
  /// The most tokens that the turn may hand out; settled when it ends.
  std::optional<schema::TokenReservation> reservation_;

  dispatch::TargetCriteria criteria_;
  /// Targets that may have run the request.
  std::vector<base::TargetId> may_have_run_;
  HttpConnection* active_connection_ = nullptr;
  std::string attempt_error_;
  bool attempt_reset_ = false;
  std::optional<dispatch::ReportedLoad> reported_load_;
  dispatch::AttemptResult attempt_result_ = dispatch::AttemptResult::kBroken;
  std::uint32_t runs_ = 0;
  std::uint32_t sends_ = 0;
  base::TimePoint first_sent_at_;
  /// A target's failure, handed on if no other target does better.
  std::optional<std::pair<HttpHead, std::string>> pending_failure_;

  EventSplitter splitter_;
  bool stream_started_ = false;
  std::string last_event_;
  std::string output_;
  std::uint64_t tokens_ = 0;
  base::TimePoint first_event_at_;

  unsigned status_ = 0;
  std::string end_reason_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_
