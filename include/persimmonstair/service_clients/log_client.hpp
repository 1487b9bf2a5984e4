#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_

#include <memory>
#include <string>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/http_client.hpp"

namespace persimmonstair::service_clients {

/// @brief How a platform client calls its service.
struct ClientSettings {
  /// Deadline of one call; a long poll gets its wait in addition.
  base::Duration timeout = std::chrono::seconds(2);
  /// Sent as User-Agent, for example "persimmonstair/entry-1".
  std::string user_agent = "persimmonstair";
  HttpLimits limits{};
};

/// @brief Client of the log service in docs/platform-protocol.md. A LogClient. Not thread-safe:
/// call from the io_context's thread, where the callbacks run, never inside the call itself.
///
///     log.Append({.append = {1}, .stream = {"control"}, .records = {text}, .ids = {id}}, done);
class HttpLogClient {
 public:
  HttpLogClient(boost::asio::io_context& io, Endpoint endpoint, ClientSettings settings = {});
  ~HttpLogClient();
  HttpLogClient(const HttpLogClient&) = delete;
  HttpLogClient& operator=(const HttpLogClient&) = delete;

  /// A record of more than 7 MiB, or a batch that the log finds too large, ends as kNotAppended.
  void Append(scheduler::Append append, AppendCallback done);
  void Read(ReadRequest read, ReadCallback done);
  /// Asks again for records that did not fit into one answer, up to 64 times.
  void Fetch(scheduler::FetchRecords fetch, FetchCallback done);
  /// Breaks calls in flight: appends end as kUnknown, reads fail.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_
