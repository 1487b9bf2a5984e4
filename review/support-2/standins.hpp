// Stand-ins for the scripts of the second review: the platform's store, workers, clients, and the
// processes of the system. They follow the users' pages; where a page is silent, they behave like a
// sound store, worker, client or platform. Everything runs on loopback addresses.
#ifndef PERSIMMONSTAIR_REVIEW_SUPPORT_2_STANDINS_HPP_
#define PERSIMMONSTAIR_REVIEW_SUPPORT_2_STANDINS_HPP_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

void SleepMs(int ms);
std::int64_t UnixMs();
/// Seconds since the start of this process.
double Elapsed();
bool Trouble();

/// @brief The file record.txt of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// @brief A TCP connection with blocking calls.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  /// Returns null if the connection is refused or takes over a second.
  static std::unique_ptr<Socket> Connect(std::uint16_t port, int receive_buffer = 0);

  bool Send(const std::string& bytes);
  /// Appends what arrives to `buffer`. False at the end, after an error or after `timeout_ms`.
  bool Receive(std::string& buffer, int timeout_ms);
  void Shutdown();
  /// True if the last Receive ended with a reset.
  bool WasReset() const { return reset_; }

 private:
  int fd_;
  bool reset_ = false;
};

/// @brief A request or a response.
struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// False if the connection ended before the end of the message.
  bool whole = false;

  std::string Header(const std::string& name) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
};

/// Reads a message; `buffer` holds what was read ahead. Nothing if not even the head came.
std::optional<Message> ReadMessage(Socket& socket, std::string& buffer, int timeout_ms);

/// @brief Accepts connections on a free loopback port, each served by a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Socket&)>;
  explicit Server(Handler handler);
  ~Server();
  std::uint16_t Port() const { return port_; }
  /// Closes the port and then all connections, as the end of a process does.
  void Crash();

 private:
  void Run();

  Handler handler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::weak_ptr<Socket>> open_;
  std::vector<std::thread> threads_;
  std::thread accept_;
};

/// @brief The platform's store: log-append, log-read and log-newest, with its limits.
class Store {
 public:
  static constexpr std::size_t kRecordBytes = 262'144;
  static constexpr std::size_t kCallBytes = 2'097'152;
  static constexpr std::size_t kPageBytes = 1'000'000;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kTotalBytes = 400'000'000;

  Store();
  ~Store();
  std::uint16_t Port() const { return server_->Port(); }
  /// Writes a record as the operator or a worker does; without a value, the key is dropped.
  void Put(const std::string& topic, const std::string& key, std::optional<std::string> value);
  /// Bytes of the newest records of all topics with this prefix.
  std::size_t Bytes(const std::string& topic_prefix);
  /// Number of appends that were refused because a record was too long.
  int Oversized() const { return oversized_; }
  /// Number of appends that were refused because the store was full.
  int Full() const { return full_; }

 private:
  struct Entry {
    std::string key;
    std::string value;
    bool dropped = false;
  };
  struct Part {
    std::vector<Entry> records;
    std::map<std::string, std::size_t> newest;
  };
  using PartId = std::pair<std::string, std::uint32_t>;

  void Serve(Socket& socket);
  std::string Answer(const Message& request);
  std::string Append(const PartId& id, const std::map<std::string, std::string>& query,
                     const std::string& body);
  std::string Read(const PartId& id, std::uint64_t from, std::size_t max_bytes, int wait_ms);
  std::string Newest(const PartId& id, const std::optional<std::string>& after);
  void Add(Part& part, Entry entry);

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::atomic<int> oversized_{0};
  std::atomic<int> full_{0};
  std::map<PartId, Part> parts_;
  /// Bytes of all records that were appended.
  std::size_t total_ = 0;
  std::unique_ptr<Server> server_;
};

/// @brief A worker that answers each request by a function. It registers itself in the store and
/// renews its entry.
class Worker {
 public:
  using Handler = std::function<void(const Message&, Socket&)>;
  Worker(Store& store, std::string id, std::string service, std::string zone, Handler handler);
  ~Worker();
  /// Ends as a process that is killed: its port and its connections are closed, and it renews its
  /// entry no more.
  void Crash();
  /// Returns the head of a signed answer to the request, without framing headers and last line.
  static std::string Head(const Message& request, const std::string& status = "200 OK");
  /// A whole signed answer.
  static std::string Reply(const Message& request, const std::string& body);

 private:
  Store& store_;
  std::string id_;
  std::string service_;
  std::string zone_;
  std::int64_t born_ = UnixMs();
  std::atomic<bool> stopping_{false};
  std::unique_ptr<Server> server_;
  std::thread renewal_;
};

/// @brief A process of the system on its machine, started as the deploy file says.
class Machine {
 public:
  Machine(std::string name, std::string zone, const Store& store, int memory_mb);
  ~Machine();
  void Start();
  void Signal(int signal);
  /// Sends SIGKILL and waits for the end.
  void Kill();
  /// True if the process has ended by itself since its start; waits for no end.
  bool HasEnded();
  bool IsReady() const;
  bool AwaitReady(int timeout_ms) const;
  /// Memory of its own, without the pages of program and libraries.
  std::size_t MemoryKb() const;
  std::size_t PeakMemoryKb() const;
  std::uint16_t Port() const { return caller_port_; }
  const std::string& Name() const { return name_; }
  pid_t Pid() const { return pid_; }

 private:
  std::size_t Status(const std::string& field) const;

  std::string name_;
  std::string zone_;
  std::string folder_;
  std::uint16_t caller_port_;
  std::uint16_t ready_port_;
  pid_t pid_ = -1;
};

/// Sends one request on a connection of its own and reads the answer; nothing without one.
std::optional<Message> Ask(std::uint16_t port, const std::string& request, int timeout_ms);

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_SUPPORT_2_STANDINS_HPP_
