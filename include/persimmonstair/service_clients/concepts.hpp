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

/// @brief A read of consecutive records.
struct ReadRequest {
  base::StreamName stream;
  base::Offset from;
  std::uint32_t max_entries = 1000;
  /// Longest wait for a record at the end of the stream.
  base::Duration wait{0};
};

using AppendCallback = std::function<void(scheduler::AppendDone)>;
using ReadCallback = std::function<void(base::Result<scheduler::LogRead>)>;
using FetchCallback = std::function<void(scheduler::RecordsFetched)>;
using ListCallback = std::function<void(base::Result<scheduler::InstanceListRead>)>;
using WeightCallback = std::function<void(base::Result<std::string>)>;

/// @brief Appends batches. The outcome is kAppended only for a whole valid answer that says so,
/// kNotAppended only if no byte left or the log says that it appended nothing, else kUnknown.
template <class T>
concept LogAppender = requires(T client, scheduler::Append append, AppendCallback done) {
  { client.Append(append, done) } -> std::same_as<void>;
};

/// @brief Reads streams.
template <class T>
concept LogReader = requires(T client, ReadRequest read, scheduler::FetchRecords fetch,
                             ReadCallback read_done, FetchCallback fetch_done) {
  { client.Read(read, read_done) } -> std::same_as<void>;
  { client.Fetch(fetch, fetch_done) } -> std::same_as<void>;
};

template <class T>
concept LogClient = LogAppender<T> && LogReader<T>;

template <class T>
concept InstanceListClient = requires(T client, ListCallback done) {
  { client.Read(done) } -> std::same_as<void>;
};

/// @brief Reads weights. kRateLimited carries the store's retry time.
template <class T>
concept WeightStoreClient = requires(T client, base::ModelId model, std::string version,
                                     WeightCallback done) {
  { client.Fetch(model, version, done) } -> std::same_as<void>;
};

/// @brief Runs a function later, once.
template <class T>
concept DelayedExecutor = requires(T executor, base::Duration delay, std::function<void()> task) {
  { executor.RunAfter(delay, task) } -> std::same_as<void>;
};

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_CONCEPTS_HPP_
