#include <algorithm>
#include <utility>

#include "caller_connection.hpp"
#include "clock.hpp"
#include "exchange.hpp"

namespace persimmonstair::gateway {
namespace {

using base::ErrorCode;
using base::Verdict;
using boost::asio::awaitable;
using std::chrono::milliseconds;

/// Time without events after which a resumable stream is continued at another target, in multiples
/// of the route's gap target, and its minimum.
constexpr int kStreamTimeoutGaps = 4;
constexpr milliseconds kMinStreamTimeout{600};
/// Turns are stored for this multiple of their retention, so that the records of short
/// conversations needn't be rewritten when a later turn extends their retention.
constexpr int kRetentionFactor = 2;
constexpr milliseconds kRetentionMargin{10'000};
/// Largest size of the data of a kept turn's events.
constexpr std::size_t kMaxTurnBytes = std::size_t{2} << 20U;

}  // namespace

awaitable<Exchange::Outcome> Exchange::RelayStream(HttpConnection& connection,
                                                   ResponseMetadata response) {
  splitter_ = {};
  for (;;) {
    base::Duration pause = ResponseTimeout();
    if (stream_started_ && MayRetry()) {
      pause = std::min(pause, std::max<base::Duration>(kStreamTimeoutGaps * route_->gap_objective,
                                                       kMinStreamTimeout));
    }
    const BodyPiece piece = co_await connection.ReadBody(pause);
    if (caller_.Disconnected()) co_return Outcome::kFinished;
    if (!piece.data.empty() && !co_await ForwardEvents(response, piece.data)) {
      co_return Outcome::kFinished;
    }
    if (tokens_exhausted_) {
      attempt_result_ = dispatch::AttemptResult::kAnswered;
      attempt_error_ = "the turn used up what lost turns leave of the program's budget";
      co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
    }
    if (piece.error) {
      RecordError(piece.error);
      co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
    }
    if (piece.end) break;
    const std::string_view limit = LimitReached();
    if (!limit.empty()) {
      attempt_error_ = limit;
      co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
    }
  }
  if (splitter_.InsideEvent()) {
    attempt_error_ = "the stream ended inside an event";
    co_return stream_started_ ? Outcome::kBroken : Outcome::kLost;
  }
  attempt_result_ = dispatch::AttemptResult::kAnswered;
  if (!stream_started_ && !co_await BeginStream(response)) co_return Outcome::kFinished;
  co_await caller_.SendChunk(splitter_.Rest());
  co_await FinishStream();
  co_return Outcome::kFinished;
}

std::string_view Exchange::LimitReached() const {
  if (splitter_.TooLarge()) return "an event is too large";
  if (output_.size() > kMaxTurnBytes) return "the turn is too large";
  if (stream_full_) return "the memory for events of streams is full";
  if (output_full_) return "responses of targets fill the memory for them";
  if (TimeLeft() <= base::Duration{0}) return "timeout";
  return {};
}

awaitable<bool> Exchange::ForwardEvents(ResponseMetadata& response, std::string_view bytes) {
  std::string out;
  for (StreamEvent& event : splitter_.Feed(bytes)) {
    // A target that resumes a stream may repeat events from before the requested position.
    const bool repeated = !last_event_.empty() && !event.id.empty() &&
                          EventNumber(event.id) <= EventNumber(last_event_);
    if (repeated) continue;
    const std::uint64_t tokens = event.has_data && service_ ? service_->tokens_per_event : 0;
    tokens_exhausted_ = tokens_left_ && tokens_ + tokens > *tokens_left_;
    if (tokens_exhausted_) break;
    if (!event.id.empty()) last_event_ = event.id;
    if (event.has_data) {
      tokens_ += tokens;
      if (route_->keeps_turns) KeepOutput(event.data);
    }
    if (copied_stream_ && !output_full_) {
      copied_stream_->ends.push_back({EventNumber(event.id), output_.size()});
    }
    out += event.bytes;
  }
  const std::size_t held = out.size() + splitter_.Rest().size();
  stream_bytes_.Clear();
  // Small events end no stream: they are within what connections cost in any case.
  stream_full_ = !stream_bytes_.Add(held) && held > RequestMemory::kLargeBytes;
  if (out.empty()) co_return true;
  if (!stream_started_ && !co_await BeginStream(response)) co_return false;
  if (copied_stream_ && !output_full_) {
    co_await context_.stream_copier.Copy(*copied_stream_, output_);
  }
  const bool sent = co_await caller_.SendChunk(out);
  stream_bytes_.Release(out.size());
  co_return sent;
}

void Exchange::KeepOutput(std::string_view data) {
  output_full_ = output_full_ || !held_bytes_.Add(data.size() + 1);
  if (output_full_) return;
  output_ += data;
  output_ += '\n';
}

awaitable<bool> Exchange::BeginStream(ResponseMetadata& response) {
  stream_started_ = true;
  began_at_ = last_version_;
  status_ = response.head.status;
  first_event_at_ = Now();
  context_.target_registry.OnFirstEvent(last_target_, criteria_.request);
  co_return co_await caller_.StartStream(response.head);
}

std::optional<schema::TokenReservation> Exchange::Settlement() const {
  if (!reservation_) return std::nullopt;
  schema::TokenReservation settlement = *reservation_;
  settlement.tokens = tokens_;
  settlement.settled = true;
  return settlement;
}

awaitable<bool> Exchange::FinishStream() {
  if (caller_.Disconnected()) co_return false;
  if (route_->keeps_turns) {
    const base::Duration keep = kRetentionFactor * route_->retention + kRetentionMargin;
    schema::KeptTurn record{{metadata_.request_id}, workspace_,
                            std::move(ancestors_),  std::move(request_.body),
                            std::move(output_),     UnixMillis() + base::ToMillis(keep)};
    const auto kept = co_await context_.turns.Save(std::move(record), ExpiresAt(),
                                                   base::ToMillis(route_->retention),
                                                   history_expires_ms_, Settlement());
    if (!kept) {
      base::Error error{
          ErrorCode::kLogUnavailable, "the turn could not be stored", Verdict::kMayHaveRun, {}};
      co_await Fail(std::move(error));
      co_return false;
    }
  }
  co_return co_await caller_.EndStream();
}

}  // namespace persimmonstair::gateway
