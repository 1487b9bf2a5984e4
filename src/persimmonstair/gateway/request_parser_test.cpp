// Tests that a request which comes in any pieces is parsed whole, and that one without end fails
// within its bounds.
#include "request_parser.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <random>
#include <string>

namespace persimmonstair::gateway {
namespace {

using State = RequestParser::State;

constexpr std::size_t kMaxHeader = 2048;
constexpr std::size_t kMaxBody = 100'000;
const std::string kHead = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

CallerLimits Limits() {
  CallerLimits limits;
  limits.max_header_bytes = kMaxHeader;
  limits.max_body_bytes = kMaxBody;
  return limits;
}

/// Feeds a parser like a connection does, and notes what was held at most.
struct Feeder {
  RequestParser parser{Limits()};
  std::string buffer;
  std::size_t most_buffered = 0;

  void Put(const std::string& bytes) {
    buffer += bytes;
    for (;;) {
      buffer.erase(0, parser.Put(buffer));
      if (parser.GetState() != State::kNeedRoom) break;
      parser.GiveRoom();
    }
    most_buffered = std::max(most_buffered, buffer.size());
  }

  State PutUntilEnd(const std::string& block) {
    for (int n = 0; n < 100'000 && parser.GetState() == State::kNeedMore; ++n) Put(block);
    return parser.GetState();
  }
};

std::string Chunked(const std::string& body, std::size_t size) {
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += size) {
    out += SerializeChunk(body.substr(at, size));
  }
  return out + "0\r\nX-Trailer: 1\r\n\r\n";
}

// Guards against a body that is damaged at the bounds of reads, chunks or of its room.
TEST(RequestParserTest, RequestsInAnyPiecesAreWhole) {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    std::string body(random() % 40'000, 'x');
    for (char& one : body) one = static_cast<char>(random());
    const bool chunked = round % 2 == 0;
    const std::string request =
        chunked ? kChunkedHead + Chunked(body, 1 + random() % 3000)
                : kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string next = "GET /next";
    const std::string all = request + next;
    Feeder feeder;
    for (std::size_t at = 0; at < all.size();) {
      const std::size_t n = 1 + random() % 5000;
      feeder.Put(all.substr(at, n));
      at += n;
    }
    ASSERT_EQ(feeder.parser.GetState(), State::kDone) << round;
    EXPECT_EQ(feeder.buffer, next);
    EXPECT_LE(feeder.parser.BodyCapacity(), kMaxBody + 2 * kMaxHeader + 1024);
    EXPECT_EQ(feeder.parser.Take().body, body);
  }
}

// Guards against a body of the largest size that needs more room than the largest.
TEST(RequestParserTest, ABodyOfTheLargestSizeFits) {
  Feeder feeder;
  feeder.Put(kChunkedHead);
  feeder.Put(Chunked(std::string(kMaxBody, 'x'), 1));
  ASSERT_EQ(feeder.parser.GetState(), State::kDone);
  EXPECT_EQ(feeder.parser.Take().body.size(), kMaxBody);
}

// Guards against memory that grows with bytes which the parser can't use (the incident of trailers
// without end).
TEST(RequestParserTest, EndlessFramingFails) {
  for (const char* start : {"0\r\n", "4\r\nbody\r\n0\r\nX: ", "4;a=", "", "0\r\nX-More: 1\r\n"}) {
    Feeder feeder;
    feeder.Put(kChunkedHead + start);
    EXPECT_EQ(feeder.PutUntilEnd(std::string(100, '0')), State::kFailed) << start;
    EXPECT_EQ(feeder.parser.Error(), boost::beast::http::error::header_limit) << start;
    EXPECT_LE(feeder.most_buffered, kMaxHeader + 100) << start;
  }
}

// Guards against trailers that may be larger beside a large head than the head alone.
TEST(RequestParserTest, HeadAndTrailersShareTheirLimit) {
  const std::string trailers = "0\r\nX: " + std::string(1500, 'x') + "\r\n";
  Feeder small;
  small.Put(kChunkedHead + trailers);
  EXPECT_EQ(small.parser.GetState(), State::kNeedMore);
  Feeder large;
  large.Put(kHead + "Y: " + std::string(900, 'y') + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
            trailers);
  EXPECT_EQ(large.parser.GetState(), State::kFailed);
}

// Guards against a body that is taken for the next request, because its end is unknown, and against
// one that is passed on without the coding that it has.
TEST(RequestParserTest, OtherTransferCodingsThanChunkedFail) {
  const std::string smuggled = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  for (const char* coding :
       {"gzip", "identity", "chunked, identity", "gzip, chunked", "chunked,", "xchunked", "",
        "chunked;q=1", "chunked\r\nTransfer-Encoding: chunked",
        "identity\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 5"}) {
    Feeder feeder;
    feeder.Put(kHead + "Transfer-Encoding: " + coding + "\r\n\r\n" + smuggled);
    EXPECT_EQ(feeder.parser.GetState(), State::kFailed) << coding;
  }
  for (const char* coding : {"chunked", "Chunked", " chunked \t"}) {
    Feeder feeder;
    feeder.Put(kHead + "Transfer-Encoding:" + coding + "\r\n\r\n" + Chunked("body", 2));
    ASSERT_EQ(feeder.parser.GetState(), State::kDone) << coding;
    EXPECT_EQ(feeder.parser.Take().body, "body");
  }
}

// Guards against numbers that overflow, and bodies above the limit that are held first.
TEST(RequestParserTest, LargeNumbersFail) {
  for (const std::string& rest :
       {std::string("Content-Length: 99999999999999999999999\r\n\r\n"),
        std::string("Content-Length: 100001\r\n\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\nffffffffffffffffffff\r\n"),
        std::string("Transfer-Encoding: chunked\r\n\r\n186a1\r\n")}) {
    Feeder feeder;
    feeder.Put(kHead + rest);
    EXPECT_EQ(feeder.parser.GetState(), State::kFailed) << rest;
    EXPECT_EQ(feeder.parser.BodyCapacity() / kMaxBody, 0U) << rest;
  }
}

}  // namespace
}  // namespace persimmonstair::gateway
