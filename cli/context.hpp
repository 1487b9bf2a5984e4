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

/// @brief Options that several commands share, and where their output goes.
struct Context {
  std::ostream& out;
  std::ostream& err;
  bool json = false;
  /// Entry instance's caller port.
  std::string address{};
  /// Admin ports of instances.
  std::vector<std::string> admin{};
  std::string key_file{};
  std::uint32_t timeout_ms = 5000;
};

/// @brief Why a command did not succeed.
struct Failure {
  int exit_code = 1;
  std::string code;
  std::string message;
  /// Verdict of a request; empty if none was sent.
  std::string verdict;
  std::int64_t retry_after_ms = 0;
};

template <class T>
using Outcome = tl::expected<T, Failure>;

/// @brief Shorthands for failed Outcomes.
tl::unexpected<Failure> UsageError(std::string message);
tl::unexpected<Failure> Refused(std::string code, std::string message);

/// @brief Prints a failure, as {"error":{...}} on `out` with --json, and returns its exit code.
int ReportFailure(const Context& context, const Failure& failure);

/// @brief Prints `json` on one line with --json, else `text`.
int PrintResult(const Context& context, const Json& json, const std::string& text);

/// @brief A member of an answer; empty or 0 if it is missing or has another type.
std::string StringMember(const Json& object, const char* name);
std::uint64_t UnsignedMember(const Json& object, const char* name);

/// @brief A whole file; kUsage if it cannot be read or is larger than 64 MiB.
Outcome<std::string> ReadFile(const std::string& path);

/// @brief The key in the --key-file, or in the environment variable `variable`. A key is never
/// taken from the command line, where other users of the machine could read it.
Outcome<std::string> ReadKey(const Context& context, const char* variable);

/// @brief Sends one request to an instance and reads the JSON answer. Nothing is sent twice.
/// `key` may be empty.
Outcome<Json> Call(const Context& context, const std::string& address, const std::string& key,
                   const std::string& method, const std::string& target,
                   const std::string& body = "");

/// @brief The same on the entry instance with the operator's key.
Outcome<Json> CallEntryInstance(const Context& context, const std::string& method,
                                const std::string& target, const std::string& body = "");

}  // namespace persimmonstair::cli

#endif  // PERSIMMONSTAIR_CLI_CONTEXT_HPP_
