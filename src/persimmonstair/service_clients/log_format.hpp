#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_

#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/http_client.hpp"

namespace persimmonstair::service_clients {

/// Largest record in bytes. Escaping in JSON may double its size, and it must still fit into the
/// 16 MiB body limit of HttpLimits: a record that exceeds the limit would stop every reader of its
/// stream.
inline constexpr std::size_t kMaxRecordBytes = 7U << 20U;

/// @brief Request body of an append. Empty if there are no records, if a record is not UTF-8 or too
/// large, or if the numbers of records and ids differ.
std::optional<std::string> FormatAppend(const scheduler::Append& append);

/// @brief Determines the outcome of an append from its response or error `result`.
scheduler::AppendDone ParseAppendResponse(base::AppendId append,
                                          const base::Result<HttpResponse>& result);

/// @brief Parses the response to a read. Returns kIncompleteAnswer if it violates the protocol, for
/// example if offsets are not increasing, below `from` or not below the next offset.
base::Result<scheduler::LogRead> ParseReadResponse(const ReadRequest& read,
                                                   const base::Result<HttpResponse>& response);

/// @brief Request body of a fetch.
std::string FormatFetch(const std::vector<base::Offset>& offsets);

/// @brief Response to a fetch.
struct FetchResponse {
  std::vector<scheduler::LogEntry> entries;
  /// Offsets whose records did not fit into this response.
  std::vector<base::Offset> unread;
};

/// @brief Parses the response to a fetch of the offsets `requested`. Returns kIncompleteAnswer if
/// it violates the protocol, for example with offsets that were not requested.
base::Result<FetchResponse> ParseFetchResponse(const std::vector<base::Offset>& requested,
                                               const base::Result<HttpResponse>& response);

/// @brief Parses the instance list. Returns kIncompleteAnswer if it violates the protocol.
base::Result<scheduler::InstanceListRead> ParseInstanceListResponse(
    const base::Result<HttpResponse>& response);

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_
