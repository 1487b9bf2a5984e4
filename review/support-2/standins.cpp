#include "standins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const std::uint16_t port = PortOf(fd);
  close(fd);
  return port;
}

std::string Base64(const std::string& bytes) {
  static const char* const kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::string JsonString(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= 0x80U) {
      // A byte that is no text is escaped as a lone surrogate.
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\udc%02x", byte);
      out += escape.data();
      continue;
    }
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + "\"";
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    } else {
      out += text[n];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::stringstream parts(target.substr(mark + 1));
  for (std::string part; std::getline(parts, part, '&');) {
    const auto equals = part.find('=');
    query[part.substr(0, equals)] = Unescape(part.substr(equals + 1));
  }
  return query;
}

std::uint64_t Number(const std::map<std::string, std::string>& query, const std::string& name,
                     std::uint64_t fallback) {
  const auto it = query.find(name);
  return it == query.end() ? fallback : std::stoull(it->second);
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string out;
  for (int n = bytes - 1; n >= 0; --n) out += static_cast<char>(value >> (8 * n) & 255U);
  return out;
}

std::string Reply(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Moves the first `size` bytes of the buffer to `out`; false if the connection ends before.
bool Take(Socket& socket, std::string& buffer, std::size_t size, std::string& out, int timeout_ms) {
  while (buffer.size() < size) {
    if (!socket.Receive(buffer, timeout_ms)) return false;
  }
  out += buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

std::optional<std::string> TakeLine(Socket& socket, std::string& buffer, int timeout_ms) {
  for (;;) {
    const auto end = buffer.find("\r\n");
    if (end != std::string::npos) {
      std::string line = buffer.substr(0, end);
      buffer.erase(0, end + 2);
      return line;
    }
    if (!socket.Receive(buffer, timeout_ms)) return std::nullopt;
  }
}

bool ReadChunks(Socket& socket, std::string& buffer, Message& message, int timeout_ms) {
  for (;;) {
    const auto line = TakeLine(socket, buffer, timeout_ms);
    if (!line) return false;
    const std::size_t size = std::stoul(*line, nullptr, 16);
    if (!Take(socket, buffer, size, message.body, timeout_ms)) return false;
    if (!TakeLine(socket, buffer, timeout_ms)) return false;
    if (size == 0) return true;
  }
}

}  // namespace

void SleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds{ms}); }

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

double Elapsed() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record::Line(const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", Elapsed());
  const std::lock_guard lock(mutex_);
  out_ << time.data() << text << std::endl;
}

Socket::~Socket() { close(fd_); }

std::unique_ptr<Socket> Socket::Connect(std::uint16_t port, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Socket>(fd);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const timeval second{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return nullptr;
  const timeval patience{10, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  return connection;
}

bool Socket::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Socket::Receive(std::string& buffer, int timeout_ms) {
  pollfd wait{fd_, POLLIN, 0};
  if (poll(&wait, 1, timeout_ms) <= 0) return false;
  std::array<char, 65'536> piece{};
  const ssize_t n = recv(fd_, piece.data(), piece.size(), 0);
  reset_ = n < 0;
  if (n <= 0) return false;
  buffer.append(piece.data(), static_cast<std::size_t>(n));
  return true;
}

void Socket::Shutdown() { shutdown(fd_, SHUT_RDWR); }

std::string Message::Header(const std::string& name) const {
  for (const auto& [one, value] : headers) {
    if (strcasecmp(one.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

int Message::Status() const {
  const auto blank = first_line.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(first_line.c_str() + blank);
}

std::string Message::Method() const { return first_line.substr(0, first_line.find(' ')); }

std::string Message::Target() const {
  const auto begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

std::optional<Message> ReadMessage(Socket& socket, std::string& buffer, int timeout_ms) {
  Message message;
  const auto first = TakeLine(socket, buffer, timeout_ms);
  if (!first) return std::nullopt;
  message.first_line = *first;
  for (;;) {
    const auto line = TakeLine(socket, buffer, timeout_ms);
    if (!line) return std::nullopt;
    if (line->empty()) break;
    const auto colon = line->find(':');
    const auto begin = line->find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line->substr(0, colon),
                                 begin == std::string::npos ? "" : line->substr(begin));
  }
  if (message.Header("Transfer-Encoding") == "chunked") {
    message.whole = ReadChunks(socket, buffer, message, timeout_ms);
  } else {
    const std::string length = message.Header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    message.whole = Take(socket, buffer, size, message.body, timeout_ms);
  }
  return message;
}

Server::Server(Handler handler) : handler_(std::move(handler)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(0);
  bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  listen(fd_, 1024);
  port_ = PortOf(fd_);
  accept_ = std::thread([this] { Run(); });
}

Server::~Server() {
  Crash();
  accept_.join();
  close(fd_);
  for (auto& thread : threads_) thread.join();
}

void Server::Crash() {
  stopping_ = true;
  // The port is closed by this; the descriptor stays until the thread that accepts has ended.
  shutdown(fd_, SHUT_RDWR);
  const std::lock_guard lock(mutex_);
  for (const auto& one : open_) {
    if (const auto socket = one.lock()) socket->Shutdown();
  }
}

void Server::Run() {
  while (!stopping_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      SleepMs(1);
      continue;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    auto socket = std::make_shared<Socket>(fd);
    const std::lock_guard lock(mutex_);
    std::erase_if(open_, [](const auto& one) { return one.expired(); });
    open_.push_back(socket);
    threads_.emplace_back([this, socket = std::move(socket)]() mutable {
      const std::shared_ptr<Socket> own = std::move(socket);
      handler_(*own);
    });
  }
}

Store::Store() {
  server_ = std::make_unique<Server>([this](Socket& socket) { Serve(socket); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

void Store::Put(const std::string& topic, const std::string& key,
                std::optional<std::string> value) {
  {
    const std::lock_guard lock(mutex_);
    Add(parts_[{topic, 0}], {key, value.value_or(""), !value.has_value()});
  }
  changed_.notify_all();
}

std::size_t Store::Bytes(const std::string& topic_prefix) {
  const std::lock_guard lock(mutex_);
  std::size_t bytes = 0;
  for (const auto& [id, part] : parts_) {
    if (!id.first.starts_with(topic_prefix)) continue;
    for (const auto& [key, at] : part.newest) bytes += key.size() + part.records[at].value.size();
  }
  return bytes;
}

void Store::Add(Part& part, Entry entry) {
  if (entry.dropped) {
    part.newest.erase(entry.key);
  } else {
    part.newest[entry.key] = part.records.size();
  }
  part.records.push_back(std::move(entry));
}

void Store::Serve(Socket& socket) {
  std::string buffer;
  for (;;) {
    const auto request = ReadMessage(socket, buffer, 120'000);
    if (!request || !request->whole) return;
    if (!socket.Send(Answer(*request))) return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = Query(target);
  const auto topic = query.find("topic");
  if (topic == query.end()) return Reply("400 Bad Request", "{}");
  const PartId id{topic->second, static_cast<std::uint32_t>(Number(query, "part", 0))};
  if (path == "/persimmonstair/log-append") return Append(id, query, request.body);
  if (path == "/persimmonstair/log-read") {
    return Read(id, Number(query, "from", 0), Number(query, "max_kb", 1024) * 1024,
                static_cast<int>(Number(query, "wait_ms", 0)));
  }
  if (path == "/persimmonstair/log-newest") {
    const auto after = query.find("after");
    return Newest(id, after == query.end() ? std::nullopt : std::optional(after->second));
  }
  return Reply("404 Not Found", "{}");
}

std::string Store::Append(const PartId& id, const std::map<std::string, std::string>& query,
                          const std::string& body) {
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  for (std::size_t at = 0; at + 4 <= body.size();) {
    std::size_t size = 0;
    for (std::size_t n = 0; n < 4; ++n)
      size = size << 8U | static_cast<unsigned char>(body[at + n]);
    at += 4;
    bytes += size;
    if (size > kRecordBytes) {
      ++oversized_;
      return Reply("400 Bad Request", "{}");
    }
    const std::size_t key = static_cast<unsigned char>(body.at(at));
    entries.push_back(
        {body.substr(at + 1, key), body.substr(at + 1 + key, size - 1 - key), size == 1 + key});
    at += size;
  }
  if (bytes > kCallBytes) return Reply("400 Bad Request", "{}");
  SleepMs(4);
  std::uint64_t offset = 0;
  std::uint64_t end = 0;
  {
    const std::lock_guard lock(mutex_);
    Part& part = parts_[id];
    offset = part.records.size();
    const auto as_of = query.find("as_of");
    if (as_of != query.end() && std::stoull(as_of->second) != offset) {
      return Reply("412 Precondition Failed", "{\"end\":" + std::to_string(offset) + "}");
    }
    if (total_ >= kTotalBytes) {
      ++full_;
      return Reply("507 Insufficient Storage", "{}");
    }
    total_ += bytes;
    for (auto& one : entries) Add(part, std::move(one));
    end = part.records.size();
  }
  changed_.notify_all();
  return Reply("200 OK",
               "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(end) + "}");
}

std::string Store::Read(const PartId& id, std::uint64_t from, std::size_t max_bytes, int wait_ms) {
  std::unique_lock lock(mutex_);
  Part& part = parts_[id];
  changed_.wait_for(lock, std::chrono::milliseconds{wait_ms},
                    [&] { return stopping_ || part.records.size() > from; });
  std::string body = BigEndian(part.records.size(), 8) + BigEndian(0, 8);
  for (std::uint64_t n = from; n < part.records.size() && body.size() < max_bytes; ++n) {
    const Entry& one = part.records[n];
    const std::string& value = one.value;
    body += BigEndian(1 + one.key.size() + value.size(), 4) + BigEndian(one.key.size(), 1);
    body += one.key;
    body += value;
  }
  return Reply("200 OK", body);
}

std::string Store::Newest(const PartId& id, const std::optional<std::string>& after) {
  const std::lock_guard lock(mutex_);
  Part& part = parts_[id];
  auto it = after ? part.newest.upper_bound(*after) : part.newest.begin();
  std::string items;
  std::size_t bytes = 0;
  for (std::size_t n = 0; it != part.newest.end() && n < kPageItems; ++it, ++n) {
    const Entry& one = part.records[it->second];
    if (n > 0 && bytes + one.value.size() > kPageBytes) break;
    bytes += one.value.size();
    if (n > 0) items += ",";
    items += "{\"key\":" + JsonString(one.key) + ",\"value\":\"" + Base64(one.value) +
             "\",\"offset\":" + std::to_string(it->second) + "}";
  }
  const bool more = it != part.newest.end();
  return Reply("200 OK", "{\"items\":[" + items + "],\"has_more\":" + (more ? "true" : "false") +
                             ",\"end\":" + std::to_string(part.records.size()) + "}");
}

Worker::Worker(Store& store, std::string id, std::string service, std::string zone, Handler handler)
    : store_(store), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)) {
  server_ = std::make_unique<Server>([this, handler = std::move(handler)](Socket& socket) {
    std::string buffer;
    for (;;) {
      const auto request = ReadMessage(socket, buffer, 60'000);
      if (!request || !request->whole) return;
      if (request->Target() == "/healthz") {
        socket.Send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (request->Header("X-Expect-Instance") != id_) {
        socket.Send(
            "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + request->Header("X-Request-Id") +
            "\r\nX-Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      handler(*request, socket);
    }
  });
  renewal_ = std::thread([this] {
    for (int seq = 1; !stopping_; ++seq) {
      store_.Put(
          "keyed.servers", id_,
          "{\"service\":\"" + service_ + "\",\"addr\":\"127.0.0.1:" +
              std::to_string(server_->Port()) + "\",\"zone\":\"" + zone_ +
              "\",\"version\":\"1.0.0\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0," +
              "\"seq\":" + std::to_string(seq) + ",\"born\":" + std::to_string(born_) + "}");
      for (int n = 0; n < 12 && !stopping_; ++n) SleepMs(100);
    }
  });
}

void Worker::Crash() {
  stopping_ = true;
  server_->Crash();
}

Worker::~Worker() {
  stopping_ = true;
  renewal_.join();
  server_.reset();
}

std::string Worker::Head(const Message& request, const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.Header("X-Request-Id") +
         "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

std::string Worker::Reply(const Message& request, const std::string& body) {
  return Head(request) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Machine::Machine(std::string name, std::string zone, const Store& store, int memory_mb)
    : name_(std::move(name)), zone_(std::move(zone)) {
  folder_ =
      (std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid()))).string();
  std::filesystem::create_directories(folder_);
  caller_port_ = FreePort();
  ready_port_ = FreePort();
  const std::string metrics = std::to_string(FreePort());
  const std::string peer = std::to_string(FreePort());
  std::ofstream settings(folder_ + "/" + name_ + ".json");
  settings << "{\"instance\":\"" << name_ << "\",\"data_centre\":\"" << zone_
           << "\",\"listen\":\"127.0.0.1:" << caller_port_
           << "\",\"readiness_listen\":\"127.0.0.1:" << ready_port_
           << "\",\"metrics_listen\":\"127.0.0.1:" << metrics
           << "\",\"peer_listen\":\"127.0.0.1:" << peer
           << "\",\"store\":\"127.0.0.1:" << store.Port()
           << "\",\"parts_of_stream\":8,\"store_writes_per_s\":800,"
           << "\"target_leave_ms\":2000,\"memory_mb\":" << memory_mb << ",\"max_fds\":8200}\n";
}

Machine::~Machine() {
  if (pid_ > 0) Kill();
  std::error_code ignored;  // Another machine may have removed the folder.
  std::filesystem::remove_all(folder_, ignored);
}

void Machine::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + name_ + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = "target/bin/persimmonstair-entry";
  std::string option = "--config";
  std::string file = folder_ + "/" + name_ + ".json";
  std::array<char*, 4> arguments{program.data(), option.data(), file.data(), nullptr};
  if (posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
  // For run_case.sh, which ends what a stopped case leaves.
  std::ofstream(folder_ + "/pids", std::ios::app) << pid_ << std::endl;
}

void Machine::Signal(int signal) { kill(pid_, signal); }

void Machine::Kill() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool Machine::HasEnded() {
  if (pid_ < 0) return true;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return false;
  pid_ = -1;
  return true;
}

bool Machine::IsReady() const {
  const auto answer =
      Ask(ready_port_, "GET /persimmonstair/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1000);
  return answer && answer->Status() == 200;
}

bool Machine::AwaitReady(int timeout_ms) const {
  const auto until = Clock::now() + std::chrono::milliseconds{timeout_ms};
  while (!IsReady()) {
    if (Clock::now() > until) return false;
    SleepMs(50);
  }
  return true;
}

std::size_t Machine::MemoryKb() const { return Status("RssAnon:"); }
std::size_t Machine::PeakMemoryKb() const { return Status("VmHWM:"); }

std::size_t Machine::Status(const std::string& field) const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) return std::stoul(line.substr(field.size()));
  }
  return 0;
}

std::optional<Message> Ask(std::uint16_t port, const std::string& request, int timeout_ms) {
  const auto socket = Socket::Connect(port);
  if (!socket || !socket->Send(request)) return std::nullopt;
  std::string buffer;
  return ReadMessage(*socket, buffer, timeout_ms);
}

}  // namespace review
