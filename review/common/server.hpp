#ifndef PERSIMMONSTAIR_REVIEW_COMMON_SERVER_HPP_
#define PERSIMMONSTAIR_REVIEW_COMMON_SERVER_HPP_

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "net.hpp"

namespace review {

/// @brief A server on a loopback port with a thread for each connection. It can crash, which ends
/// all connections and refuses new ones, and start again on the same port.
class Server {
 public:
  /// Handles a request; returns false to end the connection.
  using Handler = std::function<bool(const Message& request, Connection& connection)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    listener_ = BindFree();
    port_ = PortOf(listener_);
    Listen();
  }
  ~Server() {
    Crash();
    for (auto& thread : threads_) thread.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t Port() const { return port_; }

  /// Ends all connections and refuses new ones.
  void Crash() {
    const std::lock_guard lock(mutex_);
    if (!runs_) return;
    runs_ = false;
    shutdown(listener_, SHUT_RDWR);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }

  /// Listens again after a crash.
  void Restart() {
    for (int n = 0; n < 200; ++n) {
      {
        const std::lock_guard lock(mutex_);
        listener_ = BindPort(port_);
        if (listener_ >= 0) {
          Listen();
          return;
        }
      }
      SleepMs(10);
    }
    throw std::runtime_error("the port of a server is taken");
  }

  bool Runs() const { return runs_; }

 private:
  void Listen() {
    if (listen(listener_, 128) != 0) throw std::runtime_error("can't listen");
    runs_ = true;
    threads_.emplace_back([this, fd = listener_] { Accept(fd); });
  }

  void Accept(int listener) {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      const std::lock_guard lock(mutex_);
      if (!runs_) {
        close(fd);
        break;
      }
      open_.insert(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
    close(listener);
  }

  void Serve(int fd) {
    Connection connection(fd);
    for (;;) {
      const Message request = connection.Read(120'000);
      if (!request.complete || !handler_(request, connection)) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    connection.Close();
  }

  Handler handler_;
  std::atomic<bool> runs_{false};
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> open_;
  std::list<std::thread> threads_;
};

}  // namespace review

#endif  // PERSIMMONSTAIR_REVIEW_COMMON_SERVER_HPP_
