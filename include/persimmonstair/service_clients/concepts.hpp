#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_CONCEPTS_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_CONCEPTS_HPP_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/scheduler/actions.hpp"
#include "persimmonstair/scheduler/events.hpp"

namespace persimmonstair::service_clients {

/// @brief Request to read consecutive records of a stream.
struct ReadRequest {
  base::StreamName stream;
  /// Offset of the first record to read.
  base::Offset from;
  /// Largest number of records to return.
  std::uint32_t max_entries = 1000;
  /// Longest time that the log waits for a new record if there is none yet (long poll).
  base::Duration wait{0};
};

using AppendCallback = std::function<void(scheduler::AppendDone)>;
using ReadCallback = std::function<void(base::Result<scheduler::LogRead>)>;
using FetchCallback = std::function<void(scheduler::RecordsFetched)>;
using ListCallback = std::function<void(base::Result<scheduler::InstanceListRead>)>;
/// Receives the bytes of the weights.
using WeightCallback = std::function<void(base::Result<std::string>)>;

/// @brief Appends batches of records to the log. The outcome is kAppended only if a complete valid
/// response confirms it, and kNotAppended only if no byte was sent or the log reports that it
/// appended nothing. Otherwise it is kUnknown.
template <class T>
concept LogAppender = requires(T client, scheduler::Append append, AppendCallback done) {
  { client.Append(append, done) } -> std::same_as<void>;
};

/// @brief Reads records of the log: consecutive ones with Read(), single ones with Fetch().
template <class T>
concept LogReader = requires(T client, ReadRequest read, scheduler::FetchRecords fetch,
                             ReadCallback read_done, FetchCallback fetch_done) {
  { client.Read(read, read_done) } -> std::same_as<void>;
  { client.Fetch(fetch, fetch_done) } -> std::same_as<void>;
};

template <class T>
concept LogClient = LogAppender<T> && LogReader<T>;

/// @brief Reads the platform's list of instances.
template <class T>
concept InstanceListClient = requires(T client, ListCallback done) {
  { client.Read(done) } -> std::same_as<void>;
};

/// @brief Reads the weights of one version of a model. In an error with code kRateLimited,
/// `retry_after` is the delay that the weight store asks for.
template <class T>
concept WeightStoreClient = requires(T client, base::ModelId model, std::string version,
                                     WeightCallback done) {
  { client.Fetch(model, version, done) } -> std::same_as<void>;
};

/// @brief Runs a function once after a delay.
template <class T>
concept DelayedExecutor = requires(T executor, base::Duration delay, std::function<void()> task) {
  { executor.RunAfter(delay, task) } -> std::same_as<void>;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_CONCEPTS_HPP_
