#ifndef PERSIMMONSTAIR_REVIEW_COMMON_STORE_HPP_
#define PERSIMMONSTAIR_REVIEW_COMMON_STORE_HPP_

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "server.hpp"

namespace review {

/// @brief The platform's metadata store: appends, reads and newest records of `keyed.` topics. It
/// keeps all records for the time of a run, which is shorter than its `retain_s`.
class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1 << 20;
  static constexpr int kAppendMs = 4;

  Store() : server_([this](const Message& m, Connection& c) { return Handle(m, c); }) {}
  ~Store() {
    stopping_ = true;
    changed_.notify_all();
  }

  std::uint16_t Port() const { return server_.Port(); }

  /// Writes a record as the operator or a worker does; without a value, the key is dropped.
  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    {
      const std::lock_guard lock(mutex_);
      parts_[{topic, 0}].records.push_back({key, value});
    }
    changed_.notify_all();
  }

  /// Answers every call with 503 while set.
  std::atomic<bool> down{false};
  /// Answers no call that comes while set, also not later.
  std::atomic<bool> silent{false};

  /// Takes the partitions of the system's topics down that hold a record whose key begins with
  /// `key`: calls for them are answered with 503. Returns their number.
  std::size_t TakeDownPartsWith(const std::string& key) {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, part] : parts_) {
      if (id.first == "keyed.op" || id.first == "keyed.servers") continue;
      const bool holds = std::any_of(part.records.begin(), part.records.end(),
                                     [&](const auto& one) { return one.key.starts_with(key); });
      if (holds) down_parts_.insert(id);
    }
    return down_parts_.size();
  }

  /// Brings all partitions back.
  void BringPartsBack() {
    const std::lock_guard lock(mutex_);
    down_parts_.clear();
  }

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Part {
    std::vector<Entry> records;
    std::mutex appending;
  };
  using PartId = std::pair<std::string, std::uint32_t>;

  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
      if (text[n] != '%') {
        out += text[n];
        continue;
      }
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    }
    return out;
  }

  static std::optional<std::string> Query(const std::string& target, const std::string& name) {
    for (const char* before : {"?", "&"}) {
      const auto at = target.find(before + name + "=");
      if (at == std::string::npos) continue;
      const auto begin = at + name.size() + 2;
      return Decode(target.substr(begin, target.find('&', begin) - begin));
    }
    return std::nullopt;
  }

  static std::string Big(std::uint64_t value, int bytes) {
    std::string out;
    for (int n = bytes - 1; n >= 0; --n) out += static_cast<char>(value >> (8U * n) & 0xffU);
    return out;
  }

  static std::string Base64(const std::string& text) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
      std::uint32_t bits = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        bits = bits << 8U | (n + i < text.size() ? static_cast<unsigned char>(text[n + i]) : 0U);
      }
      for (std::size_t i = 0; i < 4; ++i) {
        out += n + i <= text.size() ? digits[bits >> (18 - 6 * i) & 63U] : '=';
      }
    }
    return out;
  }

  bool Handle(const Message& request, Connection& connection) {
    if (silent) return true;
    if (down) return connection.Send(Response(503, {}, {}));
    const std::string target = request.Target();
    const PartId id{Query(target, "topic").value_or(""),
                    static_cast<std::uint32_t>(std::stoul(Query(target, "part").value_or("0")))};
    {
      const std::lock_guard lock(mutex_);
      if (down_parts_.contains(id)) return connection.Send(Response(503, {}, {}));
    }
    const auto number = [&target](const char* name) {
      return std::stoull(Query(target, name).value_or("0"));
    };
    if (target.starts_with("/persimmonstair/log-append")) {
      const auto as_of = Query(target, "as_of");
      return connection.Send(Append(id, request.body, as_of));
    }
    if (target.starts_with("/persimmonstair/log-read")) {
      return connection.Send(ReadFrom(id, number("from"), number("wait_ms")));
    }
    if (target.starts_with("/persimmonstair/log-newest")) {
      return connection.Send(Newest(id, Query(target, "after")));
    }
    return connection.Send(Response(404, {}, {}));
  }

  std::string Append(const PartId& id, const std::string& body,
                     const std::optional<std::string>& as_of) {
    if (id.first == "keyed.op" || id.first == "keyed.servers") return Response(403, {}, {});
    std::vector<Entry> entries;
    std::size_t bytes = 0;
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t size = 0;
      for (int n = 0; n < 4; ++n) size = size << 8U | static_cast<unsigned char>(body[at + n]);
      const std::string content = body.substr(at + 4, size);
      if (size == 0 || content.size() != size) return Response(400, {}, {});
      if (size > kRecordBytes) return Response(413, {}, {});
      const std::size_t key = static_cast<unsigned char>(content[0]);
      entries.push_back({content.substr(1, key), content.substr(1 + key)});
      at += 4 + size;
      bytes += size;
    }
    if (bytes > kCallBytes) return Response(413, {}, {});
    Part* part = nullptr;
    {
      const std::lock_guard lock(mutex_);
      part = &parts_[id];
    }
    const std::lock_guard appending(part->appending);
    SleepMs(kAppendMs);
    nlohmann::json answer;
    {
      const std::lock_guard lock(mutex_);
      if (as_of && std::stoull(*as_of) != part->records.size()) {
        return Response(412, {}, nlohmann::json{{"end", part->records.size()}}.dump());
      }
      answer["offset"] = part->records.size();
      part->records.insert(part->records.end(), entries.begin(), entries.end());
      answer["end"] = part->records.size();
    }
    changed_.notify_all();
    return Response(200, "Content-Type: application/json\r\n", answer.dump());
  }

  std::string ReadFrom(const PartId& id, std::uint64_t from, std::uint64_t wait_ms) {
    std::unique_lock lock(mutex_);
    Part& part = parts_[id];
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms),
                      [&] { return stopping_ || part.records.size() > from; });
    std::string body = Big(part.records.size(), 8) + Big(0, 8);
    for (std::size_t n = from; n < part.records.size() && body.size() < kPageBytes; ++n) {
      const Entry& one = part.records[n];
      body += Big(1 + one.key.size() + one.value.size(), 4);
      body += static_cast<char>(one.key.size());
      body += one.key + one.value;
    }
    return Response(200, {}, body);
  }

  std::string Newest(const PartId& id, const std::optional<std::string>& after) {
    const std::lock_guard lock(mutex_);
    const Part& part = parts_[id];
    std::map<std::string, std::size_t> newest;
    for (std::size_t n = 0; n < part.records.size(); ++n) newest[part.records[n].key] = n;
    nlohmann::json page{
        {"items", nlohmann::json::array()}, {"has_more", false}, {"end", part.records.size()}};
    std::size_t bytes = 0;
    for (const auto& [key, n] : newest) {
      const std::string& value = part.records[n].value;
      if (value.empty() || (after && key <= *after)) continue;
      if (page["items"].size() == kPageItems || bytes > kPageBytes) {
        page["has_more"] = true;
        break;
      }
      bytes += value.size();
      page["items"].push_back({{"key", key}, {"value", Base64(value)}, {"offset", n}});
    }
    return Response(200, "Content-Type: application/json\r\n", page.dump());
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<bool> stopping_{false};
  std::map<PartId, Part> parts_;
  std::set<PartId> down_parts_;
  Server server_;
};

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_COMMON_STORE_HPP_
