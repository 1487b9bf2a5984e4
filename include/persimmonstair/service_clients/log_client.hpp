#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_

#include <memory>
#include <string>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/http_client.hpp"

namespace persimmonstair::service_clients {

/// @brief Settings of a client of a platform service.
struct ClientSettings {
  /// Time limit of one call. The wait of a long poll is added to it.
  base::Duration timeout = std::chrono::seconds(2);
  /// Value of the User-Agent header, for example "persimmonstair/entry-1".
  std::string user_agent = "persimmonstair";
  HttpLimits limits{};
};

/// @brief HTTP client of the log service described in docs/platform-protocol.md; models LogClient.
/// Not thread-safe: call from the thread of the io_context. The callbacks run on that thread after
/// the call has returned.
///
///     log.Append({.append = {1}, .stream = {"control"}, .records = {text}, .ids = {id}}, done);
class HttpLogClient {
 public:
  HttpLogClient(boost::asio::io_context& io, Endpoint endpoint, ClientSettings settings = {});
  ~HttpLogClient();
  HttpLogClient(const HttpLogClient&) = delete;
  HttpLogClient& operator=(const HttpLogClient&) = delete;

  /// A batch with a record of more than 7 MiB, or that the log rejects as too large, ends as
  /// kNotAppended.
  void Append(scheduler::Append append, AppendCallback done);
  /// Reads consecutive records.
  void Read(ReadRequest read, ReadCallback done);
  /// Reads single records. Records that do not fit into one response are requested again, with up
  /// to 64 calls in total.
  void Fetch(scheduler::FetchRecords fetch, FetchCallback done);
  /// Aborts calls in flight: appends end as kUnknown and reads fail.
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_CLIENT_HPP_
