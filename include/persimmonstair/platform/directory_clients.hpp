#ifndef PERSIMMONSTAIR_PLATFORM_DIRECTORY_CLIENTS_HPP_
#define PERSIMMONSTAIR_PLATFORM_DIRECTORY_CLIENTS_HPP_

#include <string>

#include "persimmonstair/platform/concepts.hpp"
#include "persimmonstair/platform/log_client.hpp"

namespace persimmonstair::platform {

/// @brief Client of the platform's instance list. An InstanceListClient.
class HttpInstanceList {
 public:
  HttpInstanceList(boost::asio::io_context& io, Endpoint endpoint, ClientSettings settings = {});

  void Read(ListCallback done);
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

/// @brief Client of the platform's weight store. A WeightStoreClient. A 429 becomes kRateLimited
/// with the store's Retry-After as `retry_after`, at least 1 s; the caller decides when to repeat.
class HttpWeightStore {
 public:
  HttpWeightStore(boost::asio::io_context& io, Endpoint endpoint, ClientSettings settings = {});

  void Fetch(base::ModelId model, std::string version, WeightCallback done);
  void Close() { http_.Close(); }

 private:
  HttpClient http_;
  ClientSettings settings_;
};

}  // namespace persimmonstair::platform

#endif  // PERSIMMONSTAIR_PLATFORM_DIRECTORY_CLIENTS_HPP_
