#ifndef PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "budget_manager.hpp"
#include "event_splitter.hpp"
#include "gateway_context.hpp"
#include "persimmonstair/base/error.hpp"
#include "persimmonstair/dispatch/target_registry.hpp"
#include "persimmonstair/gateway/platform_codec.hpp"

namespace persimmonstair::gateway {

class CallerConnection;

/// @brief Handles one caller's request from its arrival to the end of its response: admission,
/// attempts at targets, and the response.
///
/// The verdict for the caller is "not run" until the first byte may have been sent to a target, and
/// "may have run" afterwards. It is "not run" again only if every target that the request was sent
/// to stated that it did not run the request.
class Exchange {
 public:
  Exchange(GatewayContext& context, CallerConnection& caller, HttpRequest request,
           base::TimePoint arrived_at);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  boost::asio::awaitable<void> Run();

 private:
  /// How an attempt ended, seen from the request.
  enum class Outcome {
    /// The response is complete, or the rest of it can't be delivered.
    kFinished,
    /// The target did not run the request.
    kNotRun,
    /// The request may have run, and nothing of a response was sent to the caller.
    kLost,
    /// The stream broke off after a part of it was sent to the caller.
    kBroken,
    /// The target responded with an error; another target may succeed.
    kFailed,
  };

  // Admission, in exchange.cpp.
  std::optional<base::Error> Admit();
  /// Returns an error if a planned stop may cut the request off.
  std::optional<base::Error> CheckStop() const;
  std::optional<base::Error> FindWorkspace();
  /// Returns an error if the request begins a program and the service's load leaves no room for it.
  std::optional<base::Error> CheckProgram();
  /// The priority of the workspace or, if it has none, of the route.
  std::uint32_t Priority() const;
  boost::asio::awaitable<std::optional<base::Error>> ChargeQuota();
  std::optional<base::Error> CheckStore() const;
  /// Returns an error if the request crashed the targets that ran it.
  std::optional<base::Error> CheckCrashes() const;
  boost::asio::awaitable<std::optional<base::Error>> LoadHistory();
  void PrepareCriteria();
  /// True if the request is for a stream that may be continued after it broke off.
  bool IsResumable() const;
  /// Fixes the software version at which a new stream begins, or checks that a take-up says which
  /// attempt began its stream.
  std::optional<base::Error> FixVersion();
  /// Reserves tokens and records the version of a new stream, or finds that of a resumed one.
  boost::asio::awaitable<std::optional<base::Error>> ReserveTokens();
  ReservationRequest MakeReservation() const;
  /// Prepares the copy of a kept turn's stream. If the turn takes a stream up, loads the events
  /// that the caller has received before, which are a part of the turn.
  boost::asio::awaitable<std::optional<base::Error>> PrepareCopy();

  // Choice of a target, in exchange_choice.cpp.
  /// Returns a target that the request may be sent to now, and has taken a token of its rate if it
  /// names a limit. Otherwise answers the caller and returns nothing.
  boost::asio::awaitable<std::optional<dispatch::TargetEntry>> ChooseTarget();
  /// Returns the best target. After some refused tokens, targets without a limit come first.
  std::optional<dispatch::TargetEntry> FindTarget(int refused_tokens);
  // Each check returns the error that ends the request, if any: it is too late for a target; the
  // target's rate allows the request not in time; no target will take it.
  std::optional<base::Error> CheckTime() const;
  std::optional<base::Error> CheckRateLimit(const dispatch::TargetEntry& target) const;
  std::optional<base::Error> CheckOtherTargets() const;
  /// Takes a token of the target's rate; false if it is refused.
  boost::asio::awaitable<bool> TakeToken(dispatch::TargetEntry target, int refused_tokens);
  /// Time for which the request may still wait for capacity at a target.
  base::Duration QueueTimeLeft() const;
  /// True if the request begins a program and the targets' limits leave too little for it.
  bool DefersProgram(const dispatch::TargetEntry& target) const;
  /// Time for which the request may still wait for a token of a target's rate.
  base::Duration TokenTimeLeft() const;
  /// True if too little time is left for another attempt.
  bool IsLate() const;
  /// True if there is a target that has not run the request and might.
  bool HasOtherTarget() const;
  /// True if each target of the service was missed, directly and through other instances.
  bool NoTargetIsReachable() const;
  /// Error for a request that no target takes.
  base::Error NoCapacity() const;

  // Attempts, in exchange_attempts.cpp.
  boost::asio::awaitable<void> Dispatch();
  boost::asio::awaitable<Outcome> Attempt(const dispatch::TargetEntry& target);
  boost::asio::awaitable<Outcome> SendTo(const dispatch::TargetEntry& target,
                                         std::unique_ptr<HttpConnection>& connection);
  /// Reads the response to this request and skips those to others. One without a request id
  /// belongs to this request only if it is the `only_request` that was sent on the connection. Sets
  /// `target_leaves_` if one of the heads says that the target leaves.
  boost::asio::awaitable<std::optional<ResponseMetadata>> ReadMatchingHead(
      HttpConnection& connection, bool only_request);
  boost::asio::awaitable<Outcome> RelayFullResponse(HttpConnection& connection,
                                                    ResponseMetadata response);
  boost::asio::awaitable<std::optional<std::string>> ReadFullBody(HttpConnection& connection);
  /// Applies what a response of the target says about the rate of requests that it takes.
  void ApplyRateStatement(const dispatch::TargetEntry& target, const ResponseMetadata& response);
  /// Records that the target said in a response that it leaves, and closes its idle connections.
  void OnTargetLeaving(const dispatch::TargetEntry& target);
  /// False, and the attempt's result is set, if since it was chosen the target has started again,
  /// perhaps with another version, has begun to leave, may have left, or is evacuated.
  bool MayStillSend(const dispatch::TargetEntry& target);
  bool IsEvacuated(const dispatch::TargetEntry& target) const;
  /// Opens a connection to the target or takes an idle one, and asks the target whether it takes
  /// requests if that is uncertain. Returns false, and the attempt's result is set, if there is no
  /// connection or it doesn't.
  boost::asio::awaitable<bool> Connect(dispatch::TargetEntry target,
                                       std::unique_ptr<HttpConnection>& connection);
  boost::asio::awaitable<bool> Acquire(dispatch::TargetEntry target,
                                       std::unique_ptr<HttpConnection>& connection);
  /// True if the target must be asked whether it takes requests.
  bool NeedsCheck(const dispatch::TargetEntry& target) const;
  /// Asks the target whether it takes requests; sets the attempt's result if it doesn't.
  boost::asio::awaitable<bool> CheckTarget(dispatch::TargetEntry target,
                                           HttpConnection& connection);
  /// Returns nothing if the report is not complete at `deadline`.
  boost::asio::awaitable<std::optional<HealthReport>> ReadHealthReport(HttpConnection& connection,
                                                                       base::TimePoint deadline);
  /// Counts an attempt that is sent now.
  void CountSend(const dispatch::TargetEntry& target);
  void RecordError(const boost::system::error_code& ec);
  /// Returns the times of the attempt that began at `begun_at` and ends now.
  dispatch::AttemptTimes TimesOf(base::TimePoint begun_at) const;
  /// Clears the request of the crashes that were charged to it, because a target answered it.
  void ReportAnswer();
  /// Has the target checked for a crash if it reset the connection of the last attempt.
  void ReportReset(const dispatch::TargetEntry& target);
  bool MayRetry() const;
  /// Idle connections that the request may use.
  IdleReuse MayReuse() const;
  /// Time left until the deadline, at least 1 ms, because timers need a positive duration.
  base::Duration RemainingTimeout() const;
  /// Maximum time to wait for the next part of a response.
  base::Duration ResponseTimeout() const;

  // Streams, in exchange_stream.cpp.
  boost::asio::awaitable<Outcome> RelayStream(HttpConnection& connection,
                                              ResponseMetadata response);
  boost::asio::awaitable<bool> ForwardEvents(ResponseMetadata& response, std::string_view bytes);
  /// Returns why the stream can't go on: it is too large or too late; empty if it can.
  std::string_view LimitReached() const;
  /// Adds the data of an event to what is stored with the turn.
  void KeepOutput(std::string_view data);
  boost::asio::awaitable<bool> BeginStream(ResponseMetadata& response);
  boost::asio::awaitable<bool> FinishStream();
  /// Returns the settled reservation of a turn whose events have all been passed on; nothing if it
  /// reserved none.
  std::optional<schema::TokenReservation> Settlement() const;

  /// Ends the attempt that is under way because the instance stops.
  void OnStop();
  /// The caller's deadline, or the end of a planned stop if that comes first.
  base::TimePoint ExpiresAt() const;
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
  /// Workspace whose rate the request is charged to; null if the request has no known key.
  const Workspace* quota_workspace_ = nullptr;
  base::WorkspaceId workspace_;
  base::TimePoint expires_at_;
  /// Hash of path, workspace and the body that targets receive, by which crash reports identify the
  /// request. Turns of different conversations that say the same are different requests.
  std::uint64_t fingerprint_ = 0;

  quota::ProgramStage stage_ = quota::ProgramStage::kUnderWay;
  /// Text of the earlier turns, which is sent to targets before the caller's body.
  std::string history_;
  /// Size of `history_` in the account of requests.
  RequestBytes history_bytes_;
  std::vector<base::TurnId> ancestors_;
  /// Earliest expiry of the turns before this one, in Unix milliseconds.
  std::int64_t history_expires_ms_ = 0;
  /// Reservation of the turn's maximum number of tokens; settled when the turn ends.
  std::optional<schema::TokenReservation> reservation_;
  /// Usage of the budget that refused the turn.
  std::optional<turns::TokenUsage> denied_usage_;

  dispatch::TargetCriteria criteria_;
  /// Targets that may have run the request.
  std::vector<base::TargetId> may_have_run_;
  HttpConnection* active_connection_ = nullptr;
  std::string attempt_error_;
  /// The instance has ended the request because it stops.
  bool stopped_ = false;
  /// A head that was read during the attempt says that the target leaves.
  bool target_leaves_ = false;
  /// The connection broke during the attempt: the answer is lost, or the target has crashed.
  bool attempt_reset_ = false;
  std::optional<dispatch::ReportedLoad> reported_load_;
  dispatch::AttemptResult attempt_result_ = dispatch::AttemptResult::kBroken;
  /// Attempts in which the request may have run.
  std::uint32_t runs_ = 0;
  /// Attempts in which the request was sent.
  std::uint32_t sends_ = 0;
  /// Attempts that were sent to a target after it had named a rate limit.
  std::uint32_t limited_sends_ = 0;
  /// Attempts on connections that another instance relayed.
  std::uint32_t relayed_sends_ = 0;
  /// Tokens of targets' rates that were refused.
  std::uint32_t refused_tokens_ = 0;
  /// Time at which the last token was asked for.
  base::TimePoint token_asked_at_;
  base::TimePoint first_sent_at_;
  base::TimePoint last_sent_at_;
  /// Target of the last attempt.
  base::TargetId last_target_;
  /// Software version of the target that sent the first event of the stream.
  base::SoftwareVersion began_at_;
  /// Software version of the target of the last attempt.
  base::SoftwareVersion last_version_;
  /// Error response of a target, forwarded to the caller if no other attempt follows.
  std::optional<std::pair<HttpHead, std::string>> pending_failure_;

  EventSplitter splitter_;
  /// What the stream holds of events that the caller has not taken, in the account of requests.
  RequestBytes stream_bytes_;
  bool stream_full_ = false;
  bool stream_started_ = false;
  /// Id of the last event that was forwarded to the caller.
  std::string last_event_;
  /// Data of the forwarded events; stored with the turn.
  std::string output_;
  /// Place of the request among the attempts that take up the stream of a kept turn.
  turns::TakeUpOrder take_up_order_;
  /// Set for a kept turn whose stream may be taken up at another instance.
  std::optional<CopiedStream> copied_stream_;
  /// An event's data had no room, so the turn can't be stored.
  bool output_full_ = false;
  /// Bytes of bodies and of `output_`, those of earlier attempts included.
  HeldBytes held_bytes_;
  /// Tokens in the forwarded events.
  std::uint64_t tokens_ = 0;
  /// Tokens that the turn may return, if its reservation was reduced.
  std::optional<std::uint64_t> tokens_left_;
  /// The turn was broken off because it would return more.
  bool tokens_exhausted_ = false;
  base::TimePoint first_event_at_;

  unsigned status_ = 0;
  std::string end_reason_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_EXCHANGE_HPP_
