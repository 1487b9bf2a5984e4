// Fuzzes the parser of caller requests. Any method, target, headers and body must result in a
// request or in an error with the verdict kNotRun. The input consists of lines: method, target,
// headers, an empty line; the rest is the body.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <sstream>
#include <string>

#include "persimmonstair/net/caller_request.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace net = persimmonstair::net;
  std::istringstream in(std::string(reinterpret_cast<const char*>(data), size));
  net::RawRequest raw;
  std::getline(in, raw.method);
  std::getline(in, raw.target);
  for (std::string line; std::getline(in, line) && !line.empty();) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    raw.headers.emplace_back(line.substr(0, colon), line.substr(colon + 1));
  }
  raw.body.assign(std::istreambuf_iterator<char>(in), {});
  const auto request = net::ParseCallerRequest(std::move(raw));
  if (!request && request.error().verdict != persimmonstair::base::Verdict::kNotRun) std::abort();
  return 0;
}
