#include "persimmonstair/schema/codec.hpp"

#include <gtest/gtest.h>

#include <string>

#include "persimmonstair/schema/settings.hpp"

namespace persimmonstair::schema {
namespace {

TEST(RecordCodecTest, RoundTrips) {
  TurnRecord turn;
  turn.program = {"p.dc1.7"};
  turn.turn = 3;
  turn.response = "żółty \"quoted\"";
  const Record record = turn;
  const auto decoded = DecodeRecord(EncodeRecord(record));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, record);
}

// Guards against a crash when an older version reads records of a newer one.
TEST(RecordCodecTest, UnknownTypesAndMalformedTextAreErrors) {
  EXPECT_FALSE(DecodeRecord(R"({"type":"FromTheFuture","x":1})").has_value());
  EXPECT_FALSE(DecodeRecord(R"({"type":"TurnRecord","turn":"three"})").has_value());
  EXPECT_FALSE(DecodeRecord("[").has_value());
  EXPECT_FALSE(DecodeRecord("").has_value());
}

TEST(RecordCodecTest, UnknownFieldsAreIgnored) {
  const auto decoded = DecodeRecord(R"({"type":"ShareClaim","workspace":"north","new_field":1})");
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<ShareClaim>(*decoded).workspace.value, "north");
}

TEST(PeerCodecTest, RoundTrips) {
  Heartbeat heartbeat;
  heartbeat.data_centre = {"dc1"};
  heartbeat.in_flight[{"engine-1"}] = 4;
  heartbeat.attained_us[{"north"}] = 12;
  const PeerMessage message = heartbeat;
  const auto decoded = DecodePeer(EncodePeer(message));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, message);
}

// Guards against a length field that makes the reader allocate gigabytes, and against accepting
// truncated messages.
TEST(PeerCodecTest, ExcessiveLengthsAndTruncationAreErrors) {
  const std::string good = EncodePeer(PeerMessage{ReplicateTurn{{"r1"}, std::string(100, 'x')}});
  for (std::size_t n = 0; n < good.size(); ++n) {
    EXPECT_FALSE(DecodePeer(std::string_view(good).substr(0, n)).has_value());
  }
  EXPECT_FALSE(DecodePeer(good + "x").has_value());
  std::string oversized = good.substr(0, 5);
  oversized += std::string(4, '\xff');
  EXPECT_FALSE(DecodePeer(oversized).has_value());
}

TEST(SettingsCodecTest, MissingFieldsKeepTheirDefaults) {
  const auto settings = nlohmann::json::parse(R"({"instance":"i1"})").get<Settings>();
  EXPECT_EQ(settings.instance.value, "i1");
  EXPECT_EQ(settings.stop.timeout_ms, 30'000U);
}

}  // namespace
}  // namespace persimmonstair::schema
