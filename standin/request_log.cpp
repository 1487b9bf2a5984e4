#include "standin/request_log.hpp"

#include <algorithm>

namespace persimmonstair::standin {
namespace {

/// Total size of the bodies kept in memory (64 MiB). The oldest requests are dropped first.
constexpr std::size_t kMaxBytes = 64U << 20U;

bool Contains(boost::beast::string_view where, const std::string& what) {
  return std::string_view(where.data(), where.size()).find(what) != std::string_view::npos;
}

bool Matches(const HttpRequest& request, const std::string& text) {
  if (text.empty() || Contains(request.target(), text) || Contains(request.body(), text)) {
    return true;
  }
  return std::any_of(request.begin(), request.end(), [&text](const auto& field) {
    return Contains(field.value(), text) || Contains(field.name_string(), text);
  });
}

Json RequestToJson(const HttpRequest& request) {
  Json headers = Json::object();
  for (const auto& field : request) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    headers[name] = std::string(field.value());
  }
  Json out;
  out["method"] = std::string(request.method_string());
  out["path"] = std::string(request.target());
  out["headers"] = std::move(headers);
  out["body"] = request.body();
  return out;
}

}  // namespace

void RequestLog::Add(const HttpRequest& request) {
  ++total_;
  if (capacity_ == 0) return;
  bytes_ += request.body().size();
  requests_.push_back(request);
  while (requests_.size() > capacity_ || (bytes_ > kMaxBytes && requests_.size() > 1)) {
    bytes_ -= requests_.front().body().size();
    requests_.pop_front();
  }
}

Json RequestLog::ToJson(const std::string& text) const {
  Json list = Json::array();
  for (const HttpRequest& request : requests_) {
    if (Matches(request, text)) list.push_back(RequestToJson(request));
  }
  Json out;
  out["total"] = total_;
  out["dropped"] = total_ - requests_.size();
  out["matched"] = list.size();
  out["requests"] = std::move(list);
  return out;
}

void RequestLog::Clear() {
  requests_.clear();
  total_ = 0;
  bytes_ = 0;
}

}  // namespace persimmonstair::standin
