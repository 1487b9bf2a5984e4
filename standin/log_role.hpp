#ifndef PERSIMMONSTAIR_STANDIN_LOG_ROLE_HPP_
#define PERSIMMONSTAIR_STANDIN_LOG_ROLE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "standin/role.hpp"
#include "standin/standin.hpp"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace persimmonstair::standin {

/// @brief The log service: named streams of records whose offsets begin at 0.
class LogRole {
 public:
  LogRole(boost::asio::io_context& io, LogSettings settings);
  ~LogRole();

  Task Handle(Exchange& exchange);
  bool IsControl(const Exchange& exchange) const { return exchange.path() == "/v1/stats"; }
  void OnFaultsChanged();
  void OnCrash() {}

  LogFaults faults;
  RequestLog requests{0};

 private:
  /// Record with the wall time of its append.
  struct Record {
    std::string id;
    std::string data;
    std::int64_t at_ms = 0;
  };
  struct Stream;

  Task HandleAppend(Exchange& exchange, const std::string& name);
  Task HandleRead(Exchange& exchange, const std::string& name);
  Task HandleFetch(Exchange& exchange, const std::string& name);
  Task HandleStats(Exchange& exchange);
  /// Waits until `until`, a new record or a change of the faults.
  Task WaitForRecords(Stream& stream, Clock::time_point until);
  /// Returns the stream, created if needed, without expired records.
  Stream& GetStream(const std::string& name);
  void DropExpiredRecords(Stream& stream) const;
  /// Takes a token of the append rate limit; false if there is none.
  bool ConsumeAppendToken();
  /// Appends the records and returns the offset of the first one.
  std::uint64_t AppendBatch(Stream& stream, Json batch);
  /// Body of a read: the records from offset `from`, within the limits of count and bytes.
  Json ReadJson(Stream& stream, std::uint64_t from, std::uint64_t max_entries) const;

  boost::asio::io_context& io_;
  LogSettings settings_;
  std::map<std::string, std::unique_ptr<Stream>> streams_;
  std::mt19937_64 random_;
  double append_tokens_;
  Clock::time_point append_tokens_refilled_at_;
  std::uint64_t appends_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t stored_records_ = 0;
};

}  // namespace persimmonstair::standin

#endif  // PERSIMMONSTAIR_STANDIN_LOG_ROLE_HPP_
