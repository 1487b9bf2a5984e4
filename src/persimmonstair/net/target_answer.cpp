#include "target_answer.hpp"

#include <boost/beast/http/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::net {
namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;

constexpr unsigned kUnavailable = 503;
constexpr std::string_view kEventStream = "text/event-stream";

bool IsEventStream(const boost::beast::string_view& type) {
  return iequals(type.substr(0, kEventStream.size()), {kEventStream.data(), kEventStream.size()});
}

// A target says that it is leaving by status 503 and "leaving": true, or "leaving" as its code.
bool SaysLeaving(unsigned status, const std::string& body) {
  if (status != kUnavailable || body.find("leaving") == std::string::npos) return false;
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

TargetAnswer::TargetAnswer(const TargetClientOptions& options, std::string correlation, bool head)
    : options_(options), correlation_(std::move(correlation)), head_(head) {
  Reset();
}

void TargetAnswer::Reset() {
  parser_.emplace();
  parser_->header_limit(options_.max_answer_header_bytes);
  parser_->body_limit(options_.max_answer_bytes);
  parser_->eager(true);
  parser_->skip(head_);
  header_seen_ = false;
}

TargetAnswer::State TargetAnswer::Add(boost::beast::flat_buffer& buffer) {
  while (buffer.size() > 0) {
    boost::system::error_code ec;
    const std::size_t used = parser_->put(buffer.data(), ec);
    buffer.consume(used);
    if (ec && ec != http::error::need_more) return State::kMalformed;
    if (parser_->is_header_done() && !header_seen_) {
      header_seen_ = true;
      const unsigned status = parser_->get().result_int();
      if (status == 101) return State::kMalformed;
      if (status / 100 == 1) {
        // Interim answers precede the final one.
        Reset();
        continue;
      }
      if (const State state = OnHeader(); state != State::kMore) return state;
    }
    if (const State state = OnBody(); state != State::kMore) return state;
    if (parser_->is_done()) return Finish();
    if (ec || used == 0) return State::kMore;
  }
  return State::kMore;
}

TargetAnswer::State TargetAnswer::OnHeader() {
  const auto& message = parser_->get();
  const auto echoed =
      message.find(boost::beast::string_view{kCorrelationHeader.data(), kCorrelationHeader.size()});
  if (echoed != message.end() && echoed->value() != correlation_) return State::kMalformed;
  const bool stream =
      IsEventStream(message[http::field::content_type]) && message.result_int() / 100 == 2;
  if (stream && !head_) assembler_.emplace(options_.max_answer_bytes);
  return State::kMore;
}

TargetAnswer::State TargetAnswer::OnBody() {
  if (!assembler_ || !header_seen_) return State::kMore;
  std::string& body = parser_->get().body();
  if (body.empty()) return State::kMore;
  auto events = assembler_->Add(body);
  body.clear();
  if (!events) return State::kMalformed;
  events_ += *events;
  return State::kMore;
}

TargetAnswer::State TargetAnswer::End() {
  if (!parser_->is_header_done()) return State::kTruncated;
  // Everything up to the end marker of a stream has arrived; only the chunk framing is cut off.
  if (assembler_) return assembler_->Ended() ? State::kDone : State::kTruncated;
  // Without a length, a complete body cannot be told from a truncated one.
  return parser_->need_eof() ? State::kMalformed : State::kTruncated;
}

TargetAnswer::State TargetAnswer::Finish() {
  if (assembler_ && !assembler_->Ended()) return State::kMalformed;
  reusable_ = parser_->keep_alive() && !(assembler_ && assembler_->Trailing());
  return State::kDone;
}

scheduler::TargetDone TargetAnswer::TakeDone() {
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
  done.leaving = SaysLeaving(done.status, done.body);
  return done;
}

}  // namespace persimmonstair::net
