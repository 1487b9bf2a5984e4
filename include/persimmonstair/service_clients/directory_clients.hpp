#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_

#include <string>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/log_client.hpp"

namespace persimmonstair::service_clients {

/// @brief HTTP client of the platform's instance list; models InstanceListClient. Not thread-safe:
/// call from the thread of the io_context.
class HttpInstanceListClient {
 public:
  HttpInstanceListClient(boost::asio::io_context& io, Endpoint endpoint,
                         ClientSettings settings = {});

  void Read(ListCallback done);
  /// Aborts the calls in flight, whose callbacks get an error. Later calls fail.
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

/// @brief HTTP client of the platform's weight store; models WeightStoreClient. Status 429 is
/// reported as kRateLimited with the Retry-After of the store, limited to 1 s to 1 h, as
/// `retry_after`; 404 as kNotFound; other statuses than 200 as kTargetFailed. The client does not
/// retry itself. Not thread-safe: call from the thread of the io_context.
class HttpWeightStoreClient {
 public:
  HttpWeightStoreClient(boost::asio::io_context& io, Endpoint endpoint,
                        ClientSettings settings = {});

  void Fetch(base::ModelId model, std::string version, WeightCallback done);
  /// Aborts the calls in flight, whose callbacks get an error. Later calls fail.
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_
