#include "persimmonstair/service_clients/directory_clients.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "log_format.hpp"

namespace persimmonstair::service_clients {
namespace {

/// Shortest pause after a 429, also for one without a usable Retry-After.
constexpr std::chrono::seconds kMinRetry{1};
/// Longest pause that is believed.
constexpr std::chrono::seconds kMaxRetry{3600};

HttpRequest Get(std::string path, const ClientSettings& settings) {
  HttpRequest out;
  out.target = std::move(path);
  out.headers["User-Agent"] = settings.user_agent;
  return out;
}

base::Duration RetryAfter(const HttpResponse& answer) {
  const auto it = answer.headers.find("retry-after");
  if (it == answer.headers.end()) return kMinRetry;
  std::int64_t seconds = 0;
  const std::string& text = it->second;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::clamp(std::chrono::seconds(seconds), kMinRetry, kMaxRetry);
}

base::Result<std::string> ReadWeight(base::Result<HttpResponse> answer) {
  if (!answer) return tl::make_unexpected(answer.error());
  if (answer->status == 200) return std::move(answer->body);
  const std::string what = "weight store: status " + std::to_string(answer->status);
  if (answer->status == 429) {
    return base::Fail(base::ErrorCode::kRateLimited, what, base::Verdict::kNotRun,
                      RetryAfter(*answer));
  }
  const auto code =
      answer->status == 404 ? base::ErrorCode::kNotFound : base::ErrorCode::kTargetFailed;
  return base::Fail(code, what, base::Verdict::kMayHaveRun);
}

}  // namespace

HttpInstanceList::HttpInstanceList(boost::asio::io_context& io, Endpoint endpoint,
                                   ClientSettings settings)
    : http_(io, std::move(endpoint), settings.limits), settings_(std::move(settings)) {}

void HttpInstanceList::Read(ListCallback done) {
  http_.Send(Get("/v1/instances", settings_), settings_.timeout,
             [done = std::move(done)](const base::Result<HttpResponse>& answer) {
               done(ReadListAnswer(answer));
             });
}

HttpWeightStore::HttpWeightStore(boost::asio::io_context& io, Endpoint endpoint,
                                 ClientSettings settings)
    : http_(io, std::move(endpoint), settings.limits), settings_(std::move(settings)) {}

void HttpWeightStore::Fetch(base::ModelId model, std::string version, WeightCallback done) {
  const std::string path =
      "/v1/weights/" + PercentEncode(model.value) + "/" + PercentEncode(version);
  http_.Send(Get(path, settings_), settings_.timeout,
             [done = std::move(done)](base::Result<HttpResponse> answer) {
               done(ReadWeight(std::move(answer)));
             });
}

static_assert(InstanceListClient<HttpInstanceList>);
static_assert(WeightStoreClient<HttpWeightStore>);

}  // namespace persimmonstair::service_clients
