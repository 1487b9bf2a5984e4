#include "persimmonstair/service_clients/directory_clients.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include "log_format.hpp"

namespace persimmonstair::service_clients {
namespace {

/// Lower bound for Retry-After; also used if status 429 comes without a valid one.
constexpr std::chrono::seconds kMinRetryDelay{1};
/// Upper bound for Retry-After, against erroneous values.
constexpr std::chrono::seconds kMaxRetryDelay{3600};

HttpRequest MakeGetRequest(std::string path, const ClientSettings& settings) {
  HttpRequest out;
  out.target = std::move(path);
  out.headers["User-Agent"] = settings.user_agent;
  return out;
}

base::Duration ParseRetryAfter(const HttpResponse& response) {
  const auto it = response.headers.find("retry-after");
  if (it == response.headers.end()) return kMinRetryDelay;
  std::int64_t seconds = 0;
  const std::string& text = it->second;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::clamp(std::chrono::seconds(seconds), kMinRetryDelay, kMaxRetryDelay);
}

base::Result<std::string> ParseWeightResponse(base::Result<HttpResponse> response) {
  if (!response) return tl::make_unexpected(response.error());
  if (response->status == 200) return std::move(response->body);
  const std::string what = "the weight store returned status " + std::to_string(response->status);
  if (response->status == 429) {
    return base::Fail(base::ErrorCode::kRateLimited, what, base::Verdict::kNotRun,
                      ParseRetryAfter(*response));
  }
  const auto code =
      response->status == 404 ? base::ErrorCode::kNotFound : base::ErrorCode::kTargetFailed;
  return base::Fail(code, what, base::Verdict::kMayHaveRun);
}

}  // namespace

HttpInstanceListClient::HttpInstanceListClient(boost::asio::io_context& io, Endpoint endpoint,
                                               ClientSettings settings)
    : http_(io, std::move(endpoint), settings.limits), settings_(std::move(settings)) {}

void HttpInstanceListClient::Read(ListCallback done) {
  http_.Send(MakeGetRequest("/v1/instances", settings_), settings_.timeout,
             [done = std::move(done)](const base::Result<HttpResponse>& response) {
               done(ParseInstanceListResponse(response));
             });
}

HttpWeightStoreClient::HttpWeightStoreClient(boost::asio::io_context& io, Endpoint endpoint,
                                             ClientSettings settings)
    : http_(io, std::move(endpoint), settings.limits), settings_(std::move(settings)) {}

void HttpWeightStoreClient::Fetch(base::ModelId model, std::string version, WeightCallback done) {
  const std::string path =
      "/v1/weights/" + PercentEncode(model.value) + "/" + PercentEncode(version);
  http_.Send(MakeGetRequest(path, settings_), settings_.timeout,
             [done = std::move(done)](base::Result<HttpResponse> response) {
               done(ParseWeightResponse(std::move(response)));
             });
}

static_assert(InstanceListClient<HttpInstanceListClient>);
static_assert(WeightStoreClient<HttpWeightStoreClient>);

}  // namespace persimmonstair::service_clients
