#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_

#include <string>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/log_client.hpp"

namespace persimmonstair::service_clients {

/// @brief HTTP client of the platform's instance list; models InstanceListClient.
class HttpInstanceListClient {
 public:
  HttpInstanceListClient(boost::asio::io_context& io, Endpoint endpoint,
                         ClientSettings settings = {});

  void Read(ListCallback done);
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

/// @brief HTTP client of the platform's weight store; models WeightStoreClient. Status 429 is
/// reported as kRateLimited with the Retry-After of the store, but at least 1 s, as `retry_after`.
/// The client does not retry itself.
class HttpWeightStoreClient {
 public:
  HttpWeightStoreClient(boost::asio::io_context& io, Endpoint endpoint,
                        ClientSettings settings = {});

  void Fetch(base::ModelId model, std::string version, WeightCallback done);
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_DIRECTORY_CLIENTS_HPP_
