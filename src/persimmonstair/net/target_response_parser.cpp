#include "target_response_parser.hpp"

#include <boost/beast/http/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "persimmonstair/base/http_status.hpp"

namespace persimmonstair::net {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr unsigned kServiceUnavailable = 503;
constexpr std::string_view kEventStream = "text/event-stream";

bool IsEventStream(const boost::beast::string_view& type) {
  return iequals(type.substr(0, kEventStream.size()), {kEventStream.data(), kEventStream.size()});
}

// A leaving target responds with status 503 and either "leaving": true or the error code "leaving".
bool ReportsLeaving(unsigned status, const std::string& body) {
  if (status != kServiceUnavailable || body.find("leaving") == std::string::npos) return false;
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return false;
  const auto flag = json.find("leaving");
  if (flag != json.end() && flag->is_boolean()) return flag->get<bool>();
  const auto error = json.find("error");
  if (error == json.end()) return false;
  if (error->is_string()) return error->get_ref<const std::string&>() == "leaving";
  if (!error->is_object()) return false;
  const auto code = error->find("code");
  return code != error->end() && code->is_string() &&
         code->get_ref<const std::string&>() == "leaving";
}

}  // namespace

TargetResponseParser::TargetResponseParser(const TargetClientOptions& options,
                                           std::string correlation_id, bool is_head_request)
    : options_(options),
      correlation_id_(std::move(correlation_id)),
      is_head_request_(is_head_request) {
  Reset();
}

void TargetResponseParser::Reset() {
  parser_.emplace();
  parser_->header_limit(options_.max_response_header_bytes);
  parser_->body_limit(options_.max_response_bytes);
  parser_->eager(true);
  parser_->skip(is_head_request_);
  header_seen_ = false;
}

TargetResponseParser::State TargetResponseParser::Add(boost::beast::flat_buffer& buffer) {
  while (buffer.size() > 0) {
    boost::system::error_code ec;
    const std::size_t consumed = parser_->put(buffer.data(), ec);
    buffer.consume(consumed);
    if (ec && ec != http::error::need_more) return State::kMalformed;
    if (parser_->is_header_done() && !header_seen_) {
      header_seen_ = true;
      const base::StatusKind kind = base::KindOfStatus(parser_->get().result_int());
      if (kind == base::StatusKind::kInvalid) return State::kMalformed;
      if (kind == base::StatusKind::kInterim) {
        // An interim response has no content; one that states a length is none.
        if (parser_->chunked() || parser_->content_length()) return State::kMalformed;
        Reset();
        continue;
      }
      if (const State state = OnHeader(); state != State::kNeedMore) return state;
    }
    if (const State state = OnBody(); state != State::kNeedMore) return state;
    if (parser_->is_done()) return Finish();
    if (ec || consumed == 0) return State::kNeedMore;
  }
  return State::kNeedMore;
}

TargetResponseParser::State TargetResponseParser::OnHeader() {
  const auto& message = parser_->get();
  const auto echoed =
      message.find(boost::beast::string_view{kCorrelationHeader.data(), kCorrelationHeader.size()});
  if (echoed != message.end() && echoed->value() != correlation_id_) return State::kMalformed;
  const bool stream =
      IsEventStream(message[http::field::content_type]) && message.result_int() / 100 == 2;
  if (stream && !is_head_request_) assembler_.emplace(options_.max_response_bytes);
  return State::kNeedMore;
}

TargetResponseParser::State TargetResponseParser::OnBody() {
  if (!assembler_ || !header_seen_) return State::kNeedMore;
  std::string& body = parser_->get().body();
  if (body.empty()) return State::kNeedMore;
  auto events = assembler_->Add(body);
  body.clear();
  if (!events) return State::kMalformed;
  events_ += *events;
  return State::kNeedMore;
}

TargetResponseParser::State TargetResponseParser::OnConnectionEnd() {
  if (!parser_->is_header_done()) return State::kTruncated;
  // A stream with its end marker is complete, even if the final chunk of the HTTP framing is
  // missing.
  if (assembler_) return assembler_->Ended() ? State::kDone : State::kTruncated;
  // A response without a stated length is rejected, because a complete body cannot be distinguished
  // from a truncated one.
  return parser_->need_eof() ? State::kMalformed : State::kTruncated;
}

TargetResponseParser::State TargetResponseParser::Finish() {
  if (assembler_ && !assembler_->Ended()) return State::kMalformed;
  reusable_ = parser_->keep_alive() && !(assembler_ && assembler_->HasTrailingData());
  return State::kDone;
}

scheduler::TargetDone TargetResponseParser::TakeDone() {
  scheduler::TargetDone done;
  done.status = parser_->get().result_int();
  Usage usage;
  if (assembler_) {
    usage = assembler_->TokenUsage();
    done.body = assembler_->Completion();
  } else {
    done.body = std::move(parser_->get().body());
    if (done.body.find("\"usage\"") != std::string::npos) {
      usage = ReadUsage(nlohmann::json::parse(done.body, nullptr, false));
    }
  }
  done.prompt_tokens = usage.prompt_tokens;
  done.cached_tokens = usage.cached_tokens;
  done.completion_tokens = usage.completion_tokens;
  done.leaving = ReportsLeaving(done.status, done.body);
  return done;
}

}  // namespace persimmonstair::net
