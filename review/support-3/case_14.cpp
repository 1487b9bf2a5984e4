// Case 14: a request whose Transfer-Encoding doesn't end with chunked holds another one in its
// body.
#include <iostream>
#include <nlohmann/json.hpp>

#include "client.hpp"
#include "deployment.hpp"
#include "worker.hpp"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char* kHost = "ficu95.example";
constexpr const char* kKey = "3fexd9dnn2ctnfzs989a";

Json Route(const char* name, const char* prefix, const char* kind) {
  return {{"name", name},       {"host", kHost},   {"path_prefix", prefix}, {"kind", kind},
          {"timeout_ms", 3000}, {"slo_ms", 600},   {"priority", 2},         {"service", "wuno96b"},
          {"attempts", 1},      {"retain", false}, {"no_auth", false},      {"affinity", false}};
}

Json Configuration() {
  return {
      {"version", 3},
      {"routes", Json::array({Route("r-status", "/pule252/", "idempotent"),
                              Route("r-charge", "/puxa403/", "non_idempotent")})},
      {"services", Json::array({{{"name", "wuno96b"},
                                 {"health_path", "/healthz"},
                                 {"max_conns", 100},
                                 {"protocol", "h1"},
                                 {"tls", false}}})},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants",
       Json::array(
           {{{"name", "hule930"}, {"api_keys", {kKey}}, {"rate_per_s", 229}, {"burst", 229}}})}};
}

/// Requests that workers ran, with the size of their bodies.
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(mutex_);
    bytes_[run.request] = run.body_bytes;
  }
  bool Has(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return bytes_.contains(id);
  }
  std::size_t Bytes(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    const auto it = bytes_.find(id);
    return it == bytes_.end() ? 0 : it->second;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::size_t> bytes_;
};

/// What went wrong with one client's two requests.
struct Found {
  bool ran_inner = false;
  bool other_body = false;
  bool foreign_answer = false;
};

/// A client sends a lookup with a body on a kept connection, which nobody sent as a request of its
/// own, and then a lookup.
Found Send(Record& record, const Address& front, const Runs& runs, const std::string& coding) {
  Found found;
  const auto connection = Connection::Open(front, milliseconds(1000));
  if (!connection) return found;
  const std::string inner = "inner" + NewRequestId();
  const std::string body =
      TextOf({"POST", "/puxa403/2f", kHost, kKey, {}, "charge the deposit"}, inner);
  const std::string outer = NewRequestId();
  std::string text = "POST /pule252/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
                     "\r\nX-Request-Id: " + outer +
                     "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + kKey +
                     "\r\nTransfer-Encoding: " + coding + "\r\n\r\n";
  if (coding == "chunked") {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    text += size + body + "\r\n0\r\n\r\n";
  } else {
    text += body;
  }
  if (!connection->Send(text)) return found;
  const Message answer = connection->Read(milliseconds(4000));
  record.Line("request " + outer + ", Transfer-Encoding: " + coding + ", body of " +
              std::to_string(body.size()) + " bytes: " + Describe(answer) + ", for X-Request-Id " +
              answer.Header("x-request-id"));
  const std::string next = NewRequestId();
  const Message second = Call(*connection, {"GET", "/pule252/2f", kHost, kKey, {}, ""}, next);
  record.Line("request " + next + " on the same connection: " + Describe(second) +
              ", for X-Request-Id " + second.Header("x-request-id"));
  std::this_thread::sleep_for(milliseconds(200));
  found.ran_inner = runs.Has(inner);
  found.other_body = runs.Has(outer) && runs.Bytes(outer) != body.size();
  found.foreign_answer = second.Status() == 200 && second.Header("x-request-id") != next;
  if (runs.Has(outer)) {
    record.Line("a worker ran " + outer + " with a body of " + std::to_string(runs.Bytes(outer)) +
                " bytes");
  }
  if (found.ran_inner) record.Line("a worker ran " + inner + ", which was in that body");
  return found;
}

int Play(const std::string& path) {
  Record record(path);
  Runs runs;
  Deployment deployment(record, {"krakow-a", "krakow-b"});
  Store& store = deployment.PlatformStore();
  store.Put("keyed.op", "config", Configuration().dump());
  const auto on_run = [&](const Run& run) { runs.Add(run); };
  Worker first(store, {"i-7f3a91c2", "wuno96b", "krakow-a"}, Deployment::WorkerIp(), 0, {}, on_run);
  Worker second(store, {"i-02d9e6b4", "wuno96b", "krakow-b"}, Deployment::WorkerIp(), 0, {},
                on_run);
  if (!deployment.StartAll()) return 2;
  // A tenant's tokens begin to collect with its first requests.
  for (std::size_t n = 0; n < deployment.Fronts(); ++n) {
    Call(deployment.Front(n).Front(), {"GET", "/pule252/2f", kHost, kKey, {}, ""}, NewRequestId());
  }
  std::this_thread::sleep_for(milliseconds(2000));
  const std::vector<std::string> codings = WithTrouble()
                                               ? std::vector<std::string>{"gzip", "identity"}
                                               : std::vector<std::string>{"chunked", "chunked"};
  int inner = 0;
  int bodies = 0;
  int answers = 0;
  for (const auto& coding : codings) {
    for (std::size_t n = 0; n < deployment.Fronts(); ++n) {
      const Found found = Send(record, deployment.Front(n).Front(), runs, coding);
      inner += found.ran_inner ? 1 : 0;
      bodies += found.other_body ? 1 : 0;
      answers += found.foreign_answer ? 1 : 0;
    }
  }
  record.Line("UNASKED: " + std::to_string(inner) +
              " requests ran that were smuggled inside another one; " + std::to_string(bodies) +
              " ran with their body changed");
  record.Line("MIXED: " + std::to_string(answers) +
              " requests got an answer that belongs to another one");
  const bool broken = inner > 0 || bodies > 0;
  record.Line(broken ? "the rule is broken" : "the rule holds");
  return broken ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  try {
    return Play(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
