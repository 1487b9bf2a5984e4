#include "standin/list_and_weight_roles.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonstair::standin {
namespace {

bool ValidInstance(const Json& item) {
  return item.is_object() && item.contains("instance") && item["instance"].is_string() &&
         item.contains("data_centre") && item["data_centre"].is_string() &&
         item.contains("state") && (item["state"] == "live" || item["state"] == "leaving");
}

bool ValidList(const Json& list) {
  if (!list.is_object() || list.size() != 2 || !list.contains("instances") ||
      !list.contains("leaving_targets")) {
    return false;
  }
  const Json& instances = list["instances"];
  const Json& targets = list["leaving_targets"];
  return instances.is_array() && std::all_of(instances.begin(), instances.end(), ValidInstance) &&
         targets.is_array() &&
         std::all_of(targets.begin(), targets.end(), [](const Json& id) { return id.is_string(); });
}

/// Replaces the entry of `list` with the same "instance" as `item`, or appends `item`.
void PutInstance(Json& list, const Json& item) {
  for (Json& old : list) {
    if (old["instance"] == item["instance"]) {
      old = item;
      return;
    }
  }
  list.push_back(item);
}

}  // namespace

Json ListRole::EmptyList() {
  Json out;
  out["instances"] = Json::array();
  out["leaving_targets"] = Json::array();
  return out;
}

Task ListRole::Handle(Exchange& exchange) {
  if (exchange.method() != "GET") {
    co_await HandleChange(exchange);
  } else if (exchange.path() == "/v1/instances") {
    co_await exchange.RespondJson(200, list_.DelayedBy(std::chrono::milliseconds(faults.lag_ms)));
  } else {
    co_await exchange.RespondError(404, "not_found", "unknown path", "not_run");
  }
}

Task ListRole::HandleChange(Exchange& exchange) {
  const std::string id = exchange.PathBetween("/v1/instances/");
  const std::string target = exchange.PathBetween("/v1/leaving_targets/");
  Json list = list_.current();
  if (exchange.path() == "/v1/instances" && exchange.method() == "PUT") {
    list = Json::parse(exchange.request().body(), nullptr, false);
  } else if (!id.empty() && exchange.method() == "PUT") {
    Json item = Json::parse(exchange.request().body(), nullptr, false);
    if (item.is_object()) item["instance"] = id;
    PutInstance(list["instances"], item);
  } else if (!id.empty() && exchange.method() == "DELETE") {
    Json& all = list["instances"];
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&id](const Json& item) { return item["instance"] == id; }),
              all.end());
  } else if (!target.empty()) {
    Json& all = list["leaving_targets"];
    all.erase(std::remove(all.begin(), all.end(), Json(target)), all.end());
    if (exchange.method() == "PUT") all.push_back(target);
  } else {
    co_await exchange.RespondError(404, "not_found", "unknown path", "not_run");
    co_return;
  }
  if (!ValidList(list)) {
    co_await exchange.RespondError(400, "invalid_request", "the changed instance list is invalid",
                                   "not_run");
    co_return;
  }
  list_.Set(list);
  co_await exchange.RespondJson(200, list);
}

Task WeightRole::Handle(Exchange& exchange) {
  const std::string prefix = "/v1/weights/";
  if (exchange.method() != "GET" || !exchange.path().starts_with(prefix)) {
    co_await exchange.RespondError(404, "not_found", "unknown path", "not_run");
    co_return;
  }
  const auto now = Clock::now();
  const double passed_s = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  tokens_ = std::min(settings_.burst, tokens_ + passed_s * settings_.rate_per_s);
  if (tokens_ < 1) {
    const double wait_s = settings_.rate_per_s > 0 ? (1 - tokens_) / settings_.rate_per_s : 3600;
    std::map<std::string, std::string> headers;
    headers["Retry-After"] = std::to_string(static_cast<std::int64_t>(std::ceil(wait_s)));
    co_await exchange.Respond(429, R"({"error":{"code":"rate_limited","verdict":"not_run"}})",
                              std::move(headers));
    co_return;
  }
  tokens_ -= 1;
  // Every request for the same model and version returns the same bytes.
  std::string bytes = exchange.path().substr(prefix.size()) + ":";
  while (bytes.size() < settings_.weight_bytes) bytes += static_cast<char>('a' + bytes.size() % 26);
  co_await exchange.Respond(200, std::move(bytes), {}, "application/octet-stream");
}

}  // namespace persimmonstair::standin
