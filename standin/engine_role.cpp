#include "standin/engine_role.hpp"

#include <algorithm>
#include <utility>

namespace persimmonstair::standin {
namespace {

/// Tokens decoded per wait. Short waits let a cancelled request end early.
constexpr std::int64_t kTokensPerDecodeWait = 8;

}  // namespace

EngineRole::EngineRole(EngineSettings settings, ProcessControl process)
    : requests(settings.recorded_requests),
      settings_(std::move(settings)),
      process_(std::move(process)),
      models_(settings_.models.begin(), settings_.models.end()),
      cache_(settings_.memory_tokens),
      load_(Load{}) {}

Task EngineRole::Handle(Exchange& exchange) {
  const std::string method = exchange.method();
  const std::string& path = exchange.path();
  if (path == "/v1/chat/completions" && method == "POST") {
    co_await HandleChat(exchange);
  } else if (path == "/v1/load" && method == "GET") {
    co_await HandleLoad(exchange);
  } else if (path == "/v1/programs" && method == "GET") {
    co_await HandleHeldPrograms(exchange);
  } else if (path.starts_with("/v1/programs/")) {
    co_await HandleProgram(exchange);
  } else if (path == "/v1/orders" && method == "POST") {
    co_await HandleOrder(exchange);
  } else if (path == "/v1/stats") {
    co_await HandleStats(exchange);
  } else {
    co_await exchange.RespondError(404, "not_found", "unknown path", "not_run");
  }
}

void EngineRole::OnFaultsChanged() {
  PublishLoad();
  if (faults.die_ms == 0) return;
  process_.crash(std::chrono::milliseconds(std::exchange(faults.die_ms, 0)));
}

void EngineRole::OnCrash() {
  ++crash_count_;
  running_ = 0;
  waiting_ = 0;
  cache_.Clear();
  prefill_free_at_ = {};
  PublishLoad();
}

bool EngineRole::Serves(const std::string& model) const {
  return models_.empty() || models_.contains(model);
}

std::chrono::microseconds EngineRole::Scaled(double seconds) const {
  if (settings_.speed <= 0) return {};
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds / settings_.speed * 1e6));
}

void EngineRole::PublishLoad() {
  load_.Set(Load{running_, waiting_, cache_.used_tokens(), faults.leaving});
}

Task EngineRole::HandleChat(Exchange& exchange) {
  co_await ApplyChatFaults(exchange);
  if (exchange.responded() || !exchange.usable()) co_return;
  const auto chat = ParseChat(exchange.request().body());
  if (!chat) {
    co_await exchange.RespondError(400, "invalid_request", chat.error().message, "not_run");
    co_return;
  }
  if (!Serves(chat->model)) {
    co_await exchange.RespondError(404, "model_not_found", "model is not served: " + chat->model,
                                   "not_run");
    co_return;
  }
  const std::uint64_t crash_count = crash_count_;
  ++running_;
  PublishLoad();
  co_await RunCompletion(exchange, *chat);
  if (crash_count != crash_count_) co_return;
  --running_;
  PublishLoad();
}

Task EngineRole::ApplyChatFaults(Exchange& exchange) {
  if (faults.leaving) {
    co_await exchange.RespondError(503, "leaving", "the engine is leaving", "not_run");
    co_return;
  }
  if (ConsumeFault(faults.refuse)) {
    co_await exchange.RespondError(503, "unavailable", "refused", "not_run");
    co_return;
  }
  const std::string& marker = faults.crash_marker;
  if (!marker.empty() && exchange.request().body().find(marker) != std::string::npos) {
    exchange.Abort();
    if (faults.restart_ms > 0) process_.crash(std::chrono::milliseconds(faults.restart_ms));
    co_return;
  }
  if (ConsumeFault(faults.hang_first_byte)) {
    co_await exchange.Hang();
  }
}

Task EngineRole::RunCompletion(Exchange& exchange, const ChatRequest& chat) {
  const std::string program = exchange.Header("persimmonstair-program");
  const std::uint64_t crash_count = crash_count_;
  ChatUsage usage;
  usage.prompt_tokens = CountTokens(chat.prompt.size());
  usage.cached_tokens = program.empty() ? 0 : cache_.Lookup(program, chat.prompt);
  const std::int64_t limit = chat.max_tokens > 0 ? chat.max_tokens : settings_.completion_tokens;
  usage.completion_tokens = std::min(limit, settings_.completion_tokens);
  const std::string text = MakeCompletion(chat.prompt, usage.completion_tokens);
  co_await Prefill(exchange, usage.prompt_tokens - usage.cached_tokens);
  if (crash_count != crash_count_) co_return;
  prefilled_tokens_ += static_cast<std::uint64_t>(usage.prompt_tokens - usage.cached_tokens);
  cached_tokens_ += static_cast<std::uint64_t>(usage.cached_tokens);
  // The prompt stays cached even if the caller cancels during decoding.
  if (!program.empty()) cache_.Store(program, chat.prompt);
  if (chat.stream) {
    co_await Stream(exchange, chat, text, usage);
  } else {
    co_await Decode(exchange, usage.completion_tokens);
  }
  if (crash_count != crash_count_ || exchange.PeerGone()) co_return;
  if (!program.empty()) cache_.Store(program, chat.prompt + text);
  decoded_tokens_ += static_cast<std::uint64_t>(usage.completion_tokens);
  ++completed_;
  if (!chat.stream) {
    co_await exchange.RespondJson(200, CompletionJson(chat, text, usage));
  }
}

Task EngineRole::Prefill(Exchange& exchange, std::int64_t tokens) {
  const auto now = Clock::now();
  const auto begin = std::max(now, prefill_free_at_);
  const auto end = begin + Scaled(static_cast<double>(tokens) / settings_.prefill_tokens_per_s);
  prefill_free_at_ = end;
  const std::uint64_t crash_count = crash_count_;
  ++waiting_;
  PublishLoad();
  co_await exchange.Wait(std::chrono::duration_cast<std::chrono::microseconds>(end - now));
  if (crash_count == crash_count_) --waiting_;
}

Task EngineRole::Decode(Exchange& exchange, std::int64_t tokens) {
  while (tokens > 0 && !exchange.PeerGone()) {
    const std::int64_t step_tokens = std::min(tokens, kTokensPerDecodeWait);
    const double decode_slowdown =
        std::max(1.0, static_cast<double>(running_) / static_cast<double>(settings_.slots));
    co_await exchange.Wait(
        Scaled(static_cast<double>(step_tokens) * decode_slowdown / settings_.decode_tokens_per_s));
    tokens -= step_tokens;
  }
}

Task EngineRole::Stream(Exchange& exchange, const ChatRequest& chat, const std::string& text,
                        const ChatUsage& usage) {
  const bool silent = ConsumeFault(faults.silent_streams);
  const bool cut = !silent && ConsumeFault(faults.cut_streams);
  const std::uint32_t spoil_after = faults.silent_after_chunks;
  co_await exchange.BeginStream("text/event-stream");
  std::uint32_t chunks = 0;
  const auto step = static_cast<std::size_t>(settings_.tokens_per_chunk) * 4;
  for (std::size_t at = 0; at < text.size() && exchange.usable(); at += step) {
    if ((silent || cut) && chunks == spoil_after) {
      co_await InjectStreamFault(exchange, silent);
    }
    co_await Decode(exchange, settings_.tokens_per_chunk);
    co_await exchange.WriteChunk(DeltaEvent(chat, text.substr(at, step)));
    ++chunks;
  }
  if (silent || cut) {
    co_await InjectStreamFault(exchange, silent);
  }
  co_await exchange.WriteChunk(FinalEvent(chat, usage) + "data: [DONE]\n\n");
  co_await exchange.EndStream();
}

Task EngineRole::InjectStreamFault(Exchange& exchange, bool silent) {
  if (silent) {
    co_await exchange.Hang();
  }
  exchange.Abort();
}

Task EngineRole::HandleLoad(Exchange& exchange) {
  const Load& load = load_.DelayedBy(std::chrono::milliseconds(faults.load_lag_ms));
  Json out;
  out["running"] = load.running;
  out["waiting"] = load.waiting;
  out["cache_used_tokens"] = load.used_tokens;
  out["cache_total_tokens"] = cache_.memory_tokens();
  out["leaving"] = load.leaving;
  co_await exchange.RespondJson(200, out);
}

Task EngineRole::HandleHeldPrograms(Exchange& exchange) {
  Json list = Json::array();
  for (const auto& [program, tokens] : cache_.HeldPrograms()) {
    Json item;
    item["program"] = program;
    item["tokens"] = tokens;
    list.push_back(std::move(item));
  }
  Json out;
  out["programs"] = std::move(list);
  co_await exchange.RespondJson(200, out);
}

Task EngineRole::HandleProgram(Exchange& exchange) {
  const std::string prefix = "/v1/programs/";
  const std::string program = exchange.PathBetween(prefix);
  const std::string exported = exchange.PathBetween(prefix, "/export");
  const std::string imported = exchange.PathBetween(prefix, "/import");
  const std::string method = exchange.method();
  Json out = Json::object();
  if (!program.empty() && method == "DELETE") {
    const auto released = cache_.Release(program);
    if (released) out["released_tokens"] = *released;
  } else if (!exported.empty() && method == "POST") {
    const auto text = cache_.Text(exported);
    if (text) out["kv"] = *text;
  } else if (!imported.empty() && method == "POST") {
    const Json body = Json::parse(exchange.request().body(), nullptr, false);
    if (!body.is_object() || !body.contains("kv") || !body["kv"].is_string()) {
      co_await exchange.RespondError(400, "invalid_request", "kv must be a string", "not_run");
      co_return;
    }
    cache_.Store(imported, body["kv"]);
    out["held"] = cache_.Text(imported).has_value();
  }
  PublishLoad();
  if (out.empty()) {
    co_await exchange.RespondError(404, "not_found", "program not held", "not_run");
    co_return;
  }
  co_await exchange.RespondJson(200, out);
}

Task EngineRole::HandleOrder(Exchange& exchange) {
  const Json order = Json::parse(exchange.request().body(), nullptr, false);
  if (!order.is_object() || !order.contains("fencing") || !order["fencing"].is_number_unsigned() ||
      !order.contains("order") || !order["order"].is_string()) {
    co_await exchange.RespondError(400, "invalid_request",
                                   "order must be a string and fencing an unsigned integer",
                                   "not_run");
    co_return;
  }
  const auto fencing = order["fencing"].get<std::uint64_t>();
  if (settings_.checks_fencing && fencing < highest_fencing_) {
    co_await exchange.RespondError(
        409, "conflict", "fencing number is lower than that of an earlier order", "not_run");
    co_return;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  const std::string kind = order["order"];
  const std::string model = order.contains("model") && order["model"].is_string()
                                ? order["model"].get<std::string>()
                                : std::string();
  if (kind == "load_model") models_.insert(model);
  if (kind == "unload_model") models_.erase(model);
  Json out;
  out["fencing"] = highest_fencing_;
  out["models"] = models_;
  co_await exchange.RespondJson(200, out);
}

Task EngineRole::HandleStats(Exchange& exchange) {
  Json out;
  out["completed"] = completed_;
  out["prefilled_tokens"] = prefilled_tokens_;
  out["cached_tokens"] = cached_tokens_;
  out["decoded_tokens"] = decoded_tokens_;
  out["highest_fencing"] = highest_fencing_;
  co_await exchange.RespondJson(200, out);
}

}  // namespace persimmonstair::standin
