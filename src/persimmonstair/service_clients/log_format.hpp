#ifndef PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_
#define PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_

#include <optional>
#include <string>
#include <vector>

#include "persimmonstair/service_clients/concepts.hpp"
#include "persimmonstair/service_clients/http_client.hpp"

namespace persimmonstair::service_clients {

/// Largest record. Escaped in JSON it may double, and must still fit into HttpLimits' 16 MiB: a
/// record that no answer can hold would stop every reader of its stream.
inline constexpr std::size_t kMaxRecordBytes = 7U << 20U;

/// @brief Body of an append; empty if the records cannot be stated in JSON (not UTF-8, too large,
/// or ids that do not match).
std::optional<std::string> FormatAppend(const scheduler::Append& append);

/// @brief Outcome of an append whose answer or failure is `answer`.
scheduler::AppendDone ParseAppendResponse(base::AppendId append,
                                          const base::Result<HttpResponse>& response);

/// @brief Reads the answer to a read. kIncompleteAnswer if it contradicts the protocol: offsets not
/// rising, below `from`, or beyond the next offset.
base::Result<scheduler::LogRead> ParseReadResponse(const ReadRequest& read,
                                                   const base::Result<HttpResponse>& response);

std::string FormatFetch(const std::vector<base::Offset>& offsets);

struct FetchResponse {
  std::vector<scheduler::LogEntry> entries;
  /// Did not fit into this answer.
  std::vector<base::Offset> unread;
};

/// @brief Reads the answer to a fetch of `asked`; kIncompleteAnswer if it names other offsets.
base::Result<FetchResponse> ParseFetchResponse(const std::vector<base::Offset>& requested,
                                               const base::Result<HttpResponse>& response);

/// @brief Reads the instance list; kIncompleteAnswer if it contradicts the protocol.
base::Result<scheduler::InstanceListRead> ParseInstanceListResponse(
    const base::Result<HttpResponse>& response);

}  // namespace persimmonstair::service_clients

#endif  // PERSIMMONSTAIR_SERVICE_CLIENTS_LOG_FORMAT_HPP_
