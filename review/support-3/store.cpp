#include "store.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = std::size_t{1} << 20U;

std::string Reply(int status, const std::string& body) {
  return HttpText("HTTP/1.1 " + std::to_string(status) + " X",
                  {{"Content-Type", "application/json"}}, body);
}

std::string Big(std::uint64_t value, int bytes) {
  std::string out;
  for (int n = bytes - 1; n >= 0; --n) out += static_cast<char>((value >> (8U * n)) & 0xffU);
  return out;
}

std::uint32_t LengthOf(std::string_view bytes) {
  std::uint32_t out = 0;
  for (int n = 0; n < 4; ++n) out = (out << 8U) | static_cast<unsigned char>(bytes[n]);
  return out;
}

void AppendBase64(std::string& out, const std::string& text) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  for (std::size_t n = 0; n < text.size(); n += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits <<= 8U;
      if (n + k < text.size()) bits |= static_cast<unsigned char>(text[n + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k > text.size() ? '=' : kDigits[(bits >> (18U - 6U * k)) & 63U];
    }
  }
}

bool IsOfTheOperator(const std::string& topic) {
  return topic == "keyed.op" || topic == "keyed.servers";
}

}  // namespace

Store::Store(const std::string& ip)
    : listener_(std::make_unique<Listener>(ip, 0, [this](Connection& one) { Serve(one); })) {}

void Store::Add(Part& part, Entry entry) {
  const auto known = part.newest.find(entry.key);
  if (known != part.newest.end()) stored_bytes_ -= part.log[known->second].value->size();
  stored_bytes_ += entry.value->size();
  if (entry.value->empty()) {
    part.newest.erase(entry.key);
  } else {
    part.newest[entry.key] = part.log.size();
  }
  part.log.push_back(std::move(entry));
}

Store::Part& Store::PartOf(const PartId& id) {
  auto& part = parts_[id];
  if (!part) part = std::make_unique<Part>();
  return *part;
}

void Store::Put(const std::string& topic, const std::string& key, const std::string& value) {
  {
    const std::lock_guard lock(mutex_);
    Add(PartOf({topic, 0}), {key, std::make_shared<const std::string>(value)});
  }
  changed_.notify_all();
}

void Store::SetDown(bool down) {
  down_ = down;
  changed_.notify_all();
}

std::map<std::string, std::size_t> Store::Keys(const std::string& topic, int part) const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::size_t> out;
  const auto it = parts_.find({topic, part});
  if (it == parts_.end()) return out;
  for (const auto& [key, at] : it->second->newest) out[key] = it->second->log[at].value->size();
  return out;
}

std::size_t Store::Bytes(const std::string& topic, int part) const {
  std::size_t sum = 0;
  for (const auto& [key, size] : Keys(topic, part)) sum += size;
  return sum;
}

void Store::Serve(Connection& connection) {
  for (;;) {
    const Message request = connection.Read(std::chrono::seconds(600));
    if (!request.whole) return;
    const std::string answer = down_ ? std::string() : Answer(request);
    if (down_) return connection.Reset();
    if (!connection.Send(answer)) return;
  }
}

std::string Store::Answer(const Message& request) {
  const PartId id{request.Query("topic").value_or(""),
                  std::atoi(request.Query("part").value_or("0").c_str())};
  const std::string path = request.Path();
  if (path == "/persimmonstair/log-append") return Append(request, id);
  if (path == "/persimmonstair/log-read") return ReadLog(request, id);
  if (path == "/persimmonstair/log-newest") return Newest(request, id);
  return Reply(404, "{}");
}

std::string Store::Append(const Message& request, const PartId& id) {
  if (IsOfTheOperator(id.first)) return Reply(403, "{}");
  std::vector<Entry> entries;
  std::string_view left = request.body;
  bool fits = left.size() <= kCallBytes;
  while (!left.empty()) {
    if (left.size() < 5 || left.size() < 4 + std::size_t{LengthOf(left)}) return Reply(400, "{}");
    const std::size_t length = LengthOf(left);
    fits = fits && length <= kRecordBytes;
    const std::string_view content = left.substr(4, length);
    const std::size_t key = static_cast<unsigned char>(content[0]);
    if (content.size() < 1 + key) return Reply(400, "{}");
    entries.push_back({std::string(content.substr(1, key)),
                       std::make_shared<const std::string>(content.substr(1 + key))});
    left.remove_prefix(4 + length);
  }
  if (!fits) {
    ++too_long_;
    return Reply(413, "{}");
  }
  if (stored_bytes_ >= kStoredBytes) {
    ++full_;
    return Reply(507, "{}");
  }
  Part* part = nullptr;
  {
    const std::lock_guard lock(mutex_);
    part = &PartOf(id);
  }
  const std::lock_guard one_at_a_time(part->append);
  std::this_thread::sleep_for(kAppendTime);
  Json answer;
  {
    const std::lock_guard lock(mutex_);
    const auto as_of = request.Query("as_of");
    if (as_of && std::stoull(*as_of) != part->log.size()) {
      return Reply(412, Json{{"end", part->log.size()}}.dump());
    }
    answer["offset"] = part->log.size();
    for (auto& entry : entries) Add(*part, std::move(entry));
    answer["end"] = part->log.size();
  }
  changed_.notify_all();
  return Reply(200, answer.dump());
}

void Store::TakeReadTime(std::size_t bytes) {
  const std::chrono::duration<double> time{static_cast<double>(bytes) / kReadBytesPerS};
  Clock::time_point done;
  {
    const std::lock_guard lock(reading_);
    reads_done_ =
        std::max(reads_done_, Clock::now()) + std::chrono::duration_cast<Clock::duration>(time);
    done = reads_done_;
  }
  std::this_thread::sleep_until(done);
}

std::string Store::ReadLog(const Message& request, const PartId& id) {
  const std::uint64_t from = std::stoull(request.Query("from").value_or("0"));
  const std::size_t most = 1024 * std::stoull(request.Query("max_kb").value_or("1024"));
  const milliseconds wait{std::stoll(request.Query("wait_ms").value_or("0"))};
  std::string body;
  {
    std::unique_lock lock(mutex_);
    const Part& part = PartOf(id);
    changed_.wait_for(lock, wait, [&] { return down_ || part.log.size() > from; });
    body = Big(part.log.size(), 8) + Big(0, 8);
    for (std::size_t n = from; n < part.log.size(); ++n) {
      const Entry& entry = part.log[n];
      const std::size_t size = 1 + entry.key.size() + entry.value->size();
      if (n > from && body.size() + size > most) break;
      body += Big(size, 4);
      body += static_cast<char>(entry.key.size());
      body += entry.key + *entry.value;
    }
  }
  TakeReadTime(body.size());
  return Reply(200, body);
}

std::string Store::Newest(const Message& request, const PartId& id) {
  const std::string after = request.Query("after").value_or("");
  std::vector<std::pair<std::size_t, Entry>> page;
  std::size_t bytes = 0;
  std::size_t end = 0;
  bool more = false;
  {
    const std::lock_guard lock(mutex_);
    const Part& part = PartOf(id);
    end = part.log.size();
    auto it = after.empty() ? part.newest.begin() : part.newest.upper_bound(after);
    for (; it != part.newest.end(); ++it) {
      const Entry& entry = part.log[it->second];
      more = page.size() == kPageItems || (bytes > 0 && bytes + entry.value->size() > kPageBytes);
      if (more) break;
      bytes += entry.value->size();
      page.emplace_back(it->second, entry);
    }
  }
  TakeReadTime(bytes);
  std::string body = "{\"items\":[";
  body.reserve(bytes * 3 / 2 + 256 * page.size() + 256);
  for (const auto& [offset, entry] : page) {
    if (body.back() != '[') body += ',';
    body += "{\"key\":" + Json(entry.key).dump(-1, ' ', false, Json::error_handler_t::replace) +
            ",\"value\":\"";
    AppendBase64(body, *entry.value);
    body += "\",\"offset\":" + std::to_string(offset) + "}";
  }
  body += std::string("],\"has_more\":") + (more ? "true" : "false") +
          ",\"end\":" + std::to_string(end) + "}";
  return Reply(200, body);
}

}  // namespace review
