// Fuzzes the reading of callers' requests by an entry instance. Any bytes in any pieces must result
// in a request or in an error, within the limits of the head, of framing and of the body. The first
// byte of the input is the size of the pieces.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "request_parser.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using persimmonstair::gateway::RequestParser;
  constexpr std::size_t kMaxHeader = 2048;
  constexpr std::size_t kMaxBody = 4096;
  if (size == 0) return 0;
  persimmonstair::gateway::CallerLimits limits;
  limits.max_header_bytes = kMaxHeader;
  limits.max_body_bytes = kMaxBody;
  RequestParser parser(limits);
  const std::size_t piece = std::size_t{data[0]} + 1;
  const std::string input(reinterpret_cast<const char*>(data) + 1, size - 1);
  std::string buffer;
  for (std::size_t at = 0; at < input.size(); at += piece) {
    buffer += input.substr(at, piece);
    do {
      if (parser.GetState() == RequestParser::State::kNeedRoom) parser.GiveRoom();
      buffer.erase(0, parser.Put(buffer));
    } while (parser.GetState() == RequestParser::State::kNeedRoom);
    if (parser.GetState() != RequestParser::State::kNeedMore) break;
    if (buffer.size() > std::max(kMaxHeader, RequestParser::kMinFramingBytes) + piece) std::abort();
  }
  if (parser.GetState() == RequestParser::State::kDone && parser.Take().body.size() > kMaxBody) {
    std::abort();
  }
  return 0;
}
