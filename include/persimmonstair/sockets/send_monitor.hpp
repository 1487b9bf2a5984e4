#ifndef PERSIMMONSTAIR_SOCKETS_SEND_MONITOR_HPP_
#define PERSIMMONSTAIR_SOCKETS_SEND_MONITOR_HPP_

#include <boost/asio/execution_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <unordered_set>

namespace persimmonstair::sockets {

/// @brief Keeps TCP_USER_TIMEOUT from ending connections whose peer is there and only reads late.
///
/// The option finds a peer that has fallen silent. But Linux also ends a connection by it whose
/// peer answers every probe of its closed receive window, so that a peer that doesn't read for a
/// while would lose what it is sent. While the window is closed, the monitor therefore takes the
/// option off; once probes stay unanswered, or bytes are in flight again, it sets it anew.
///
/// A service of an `io_context` that one thread runs. Its timer runs only while a watched
/// connection has bytes that its peer has not acknowledged.
///
///     SendMonitor::Watch watch(socket, 1500ms);
///     watch.OnWrite();
///     co_await asio::async_write(socket, buffer);
class SendMonitor : public boost::asio::execution_context::service {
 public:
  using key_type = SendMonitor;
  static boost::asio::execution_context::id id;

  /// Time between two looks at the watched connections. Several of them come before the system ends
  /// a connection.
  static constexpr std::chrono::milliseconds kInterval{300};

  /// @brief Watches one socket, which must live longer.
  class Watch {
   public:
    Watch(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds user_timeout);
    ~Watch();
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

    /// Sets TCP_USER_TIMEOUT of the socket, which was just opened or connected.
    void OnOpen();
    /// Call before bytes are written.
    void OnWrite();
    /// Call before the socket is closed. What was written still has `time` to reach a peer that
    /// reads late.
    void BeforeClose(std::chrono::milliseconds time);

   private:
    friend class SendMonitor;

    SendMonitor& monitor_;
    boost::asio::ip::tcp::socket& socket_;
    std::chrono::milliseconds user_timeout_;
    bool reads_late_ = false;
  };

  explicit SendMonitor(boost::asio::execution_context& context);

  /// Number of connections whose peer reads late at present.
  std::size_t LateReaders() const { return late_readers_; }

  /// Returns the monitor of an executor's context.
  template <class Executor>
  static SendMonitor& Of(const Executor& executor) {
    return boost::asio::use_service<SendMonitor>(
        boost::asio::query(executor, boost::asio::execution::context));
  }

 private:
  void shutdown() override;
  void StartTimer();
  void CheckAll();
  /// Returns true if the peer has not acknowledged all bytes.
  bool Check(Watch& watch);
  void SetReadsLate(Watch& watch, bool reads_late);
  void Remove(Watch& watch);

  boost::asio::steady_timer timer_;
  bool timer_runs_ = false;
  /// Connections that may have unacknowledged bytes.
  std::unordered_set<Watch*> watched_;
  std::size_t late_readers_ = 0;
};

}  // namespace persimmonstair::sockets

#endif  // PERSIMMONSTAIR_SOCKETS_SEND_MONITOR_HPP_
