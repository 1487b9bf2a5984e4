#ifndef PERSIMMONSTAIR_CLI_CONTEXT_HPP_
#define PERSIMMONSTAIR_CLI_CONTEXT_HPP_

#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "persimmonstair/base/time.hpp"
#include "persimmonstair/service_clients/http_client.hpp"

namespace persimmonstair::cli {

using Json = nlohmann::json;

/// @brief Options that all commands share, and the streams for their output.
struct Context {
  std::ostream& out;
  std::ostream& err;
  /// Prints one JSON object instead of text.
  bool json = false;
  /// URL of an entry instance's caller port.
  std::string address{};
  /// URLs of instances' admin ports.
  std::vector<std::string> admin{};
  std::string key_file{};
  std::uint32_t timeout_ms = 5000;
};

/// @brief Error of a command.
struct Failure {
  int exit_code = 1;
  /// Code from the error object of a response, or set by the tool itself, such as "usage".
  std::string code;
  std::string message;
  /// Verdict on the request: whether it ran. Empty if no request was sent or none was stated.
  std::string verdict;
  /// Delay after which the instance suggests a retry; 0 for none.
  std::int64_t retry_after_ms = 0;
};

template <class T>
using Outcome = tl::expected<T, Failure>;

/// @brief Failure with kUsage and code "usage".
tl::unexpected<Failure> UsageError(std::string message);
/// @brief Failure with kRefused.
tl::unexpected<Failure> Refused(std::string code, std::string message);

/// @brief Prints a failure, as {"error":{...}} on `out` with --json, and returns its exit code.
int ReportFailure(const Context& context, const Failure& failure);

/// @brief Prints `json` on one line with --json, else `text`. Returns kOk.
int PrintResult(const Context& context, const Json& json, const std::string& text);

/// @brief Returns a member of a JSON object; empty or 0 if it is missing or has another type.
std::string StringMember(const Json& object, const char* name);
std::uint64_t UnsignedMember(const Json& object, const char* name);

/// @brief Reads a whole file; kUsage if it cannot be read or is larger than 64 MiB.
Outcome<std::string> ReadFile(const std::string& path);

/// @brief Reads the key from the --key-file, else from the environment variable `variable`. There
/// is no option for the key itself: other users of the machine can read command lines.
Outcome<std::string> ReadKey(const Context& context, const char* variable);

/// @brief Sends one request to an instance and returns the JSON body of the response, an empty
/// object for an empty body. Never retries. An empty `key` sends no Authorization header.
Outcome<Json> Call(const Context& context, const std::string& address, const std::string& key,
                   const std::string& method, const std::string& target,
                   const std::string& body = "");

/// @brief Sends a request to the entry instance at --address with the operator's key, as Call does.
Outcome<Json> CallEntryInstance(const Context& context, const std::string& method,
                                const std::string& target, const std::string& body = "");

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CONTEXT_HPP_
