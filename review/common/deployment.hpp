#ifndef PERSIMMONSTAIR_REVIEW_COMMON_DEPLOYMENT_HPP_
#define PERSIMMONSTAIR_REVIEW_COMMON_DEPLOYMENT_HPP_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>

#include "record.hpp"
#include "store.hpp"

extern char** environ;

namespace review {

/// @brief A process of persimmonstair-entry, started with the command of the deploy file.
class Entry {
 public:
  Entry(const std::string& name, const std::string& zone, std::uint16_t store_port,
        const std::string& folder)
      : port_(FreePort()), ready_(FreePort()) {
    const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const nlohmann::json settings{{"instance", name},
                                  {"data_centre", zone},
                                  {"listen", at(port_)},
                                  {"readiness_listen", at(ready_)},
                                  {"metrics_listen", at(FreePort())},
                                  {"peer_listen", at(FreePort())},
                                  {"store", at(store_port)},
                                  {"parts_of_stream", 8},
                                  {"store_writes_per_s", 800},
                                  {"store_read_mb_per_s", 80}};
    file_ = folder + "/" + name + ".json";
    log_ = folder + "/" + name + ".log";
    pids_ = folder + "/pids";
    std::ofstream(file_) << settings.dump(2) << '\n';
    Start();
  }
  ~Entry() { Kill(); }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  std::uint16_t Port() const { return port_; }
  void Signal(int number) const { kill(pid_, number); }

  /// Kills the process and waits for its end.
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  /// Starts the process, again after Kill() with the same settings.
  void Start() {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    std::string program = "target/bin/persimmonstair-entry";
    std::string option = "--config";
    std::string path = file_;
    char* arguments[] = {program.data(), option.data(), path.data(), nullptr};
    const int ec = posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0) throw std::runtime_error("can't start " + program);
    std::ofstream(pids_, std::ios::app) << pid_ << '\n';
  }

  /// Memory that the process holds, in MB; 0 if it has ended.
  int MemoryMb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::atoi(line.c_str() + 6) / 1000;
    }
    return 0;
  }

  bool Ready() const {
    Connection connection = Connection::To(ready_);
    if (!connection.IsOpen()) return false;
    connection.Send("GET /persimmonstair/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
    return connection.Read(1000).Status() == 200;
  }

  /// Waits until the process is ready; throws if it isn't in time.
  void AwaitReady(int limit_ms = 15'000) const {
    for (int n = 0; n < limit_ms / 50; ++n) {
      if (Ready()) return;
      SleepMs(50);
    }
    throw std::runtime_error("an entry process is not ready");
  }

 private:
  std::uint16_t port_;
  std::uint16_t ready_;
  std::string file_;
  std::string log_;
  std::string pids_;
  pid_t pid_ = -1;
};

/// @brief A worker: a server that registers itself in the store.
class Worker {
 public:
  /// Serves a request that the worker has accepted; returns false to end the connection.
  using Run = std::function<bool(Worker&, const Message&, Connection&)>;

  Worker(Store& store, std::string id, std::string service, std::string zone, Run run)
      : store_(store),
        id_(std::move(id)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        run_(std::move(run)),
        born_(UnixMs()),
        server_([this](const Message& m, Connection& c) { return Handle(m, c); }),
        heartbeat_([this] { Beat(); }) {}
  ~Worker() {
    stopping_ = true;
    heartbeat_.join();
  }

  std::string Id() const {
    const std::lock_guard lock(mutex_);
    return id_;
  }

  void Crash() { server_.Crash(); }
  bool Runs() const { return server_.Runs(); }

  /// Starts again after a crash as a new incarnation, under the same id or another.
  void Restart(const std::string& id) {
    {
      const std::lock_guard lock(mutex_);
      if (id != id_) store_.Put("keyed.servers", id_, {});
      id_ = id;
      born_ = UnixMs();
      seq_ = 0;
    }
    server_.Restart();
    Register();
  }

  /// Headers of all responses of the worker to a request.
  static std::string Headers(const Message& request) {
    return "X-Request-Id: " + request.Header("x-request-id") +
           "\r\nX-Server-Stamp: 3e1b.07.5a2\r\nX-Instance-Load: 1,0,8\r\n";
  }

 private:
  bool Handle(const Message& request, Connection& connection) {
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != Id()) {
      return connection.Send(Response(421, Headers(request) + "X-Not-Run: 1\r\n", {}));
    }
    return run_(*this, request, connection);
  }

  void Register() {
    nlohmann::json entry;
    const std::lock_guard lock(mutex_);
    entry = {{"service", service_}, {"addr", "127.0.0.1:" + std::to_string(server_.Port())},
             {"zone", zone_},       {"version", "1.0"},
             {"slots", 8},          {"state", "ready"},
             {"cold_left_ms", 0},   {"seq", ++seq_},
             {"born", born_}};
    store_.Put("keyed.servers", id_, entry.dump());
  }

  void Beat() {
    // Waits a moment, as the server is made before.
    for (int n = 0; !stopping_; ++n) {
      if (n % 120 == 0 && server_.Runs()) Register();
      SleepMs(10);
    }
  }

  Store& store_;
  mutable std::mutex mutex_;
  std::string id_;
  std::string service_;
  std::string zone_;
  Run run_;
  std::int64_t born_;
  std::int64_t seq_ = 0;
  std::atomic<bool> stopping_{false};
  Server server_;
  std::thread heartbeat_;
};

/// @brief Returns a response with a stream of events, as a worker sends it.
inline std::string StreamOf(const Message& request, const std::vector<std::string>& data,
                            int first = 1) {
  std::string body;
  for (const auto& one : data) {
    body += "id: " + std::to_string(first++) + "\ndata: " + one + "\n\n";
  }
  return Response(200, Worker::Headers(request) + "Content-Type: text/event-stream\r\n", body);
}

inline const std::vector<std::string> kZones{"krakow-a", "krakow-b", "tarnow"};

/// @brief A route of the configuration, with the figures of the small deployments.
inline nlohmann::json Route(const std::string& name, const std::string& kind,
                            const std::string& service) {
  return {{"name", name},       {"host", "desk.example"}, {"path_prefix", "/" + name + "/"},
          {"kind", kind},       {"timeout_ms", 3000},     {"slo_ms", 200},
          {"priority", 0},      {"service", service},     {"attempts", 2},
          {"retain", false},    {"retain_s", 60.0},       {"no_auth", false},
          {"resumable", false}, {"gap_target_ms", 150},   {"affinity", true}};
}

inline nlohmann::json Configuration(const nlohmann::json& routes) {
  return {{"version", 7},
          {"routes", routes},
          {"services",
           {{{"name", "quote-agents"},
             {"health_path", "/healthz"},
             {"max_conns", 140},
             {"engine", {{"stride", 14}}}},
            {{"name", "desk-app"}, {"health_path", "/healthz"}, {"max_conns", 100}}}},
          {"limits",
           {{"max_header_bytes", 32768},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", nlohmann::json::array({{{"name", "north"},
                                              {"api_keys", nlohmann::json::array({"key-of-north"})},
                                              {"rate_per_s", 0},
                                              {"burst", 0}}})}};
}

/// @brief Returns a client's request with an id and the key of the tenant `north`.
inline std::string ClientRequest(const std::string& method, const std::string& path,
                                 const std::string& id, int deadline_ms, const std::string& headers,
                                 const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key-of-north\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @brief Sends a client's request on a new connection and returns the response.
inline Message Call(const Entry& entry, const std::string& request, int limit_ms) {
  Connection connection = Connection::To(entry.Port());
  if (!connection.IsOpen() || !connection.Send(request)) return {};
  return connection.Read(limit_ms);
}

/// @brief Returns a folder of its own for settings and logs: the value of REVIEW_FOLDER.
inline std::string Folder() {
  const char* folder = std::getenv("REVIEW_FOLDER");
  if (folder == nullptr) throw std::runtime_error("REVIEW_FOLDER is not set");
  return folder;
}

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_COMMON_DEPLOYMENT_HPP_
