#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "persimmonstair/diagnostics/log.hpp"
#include "settings_load.hpp"

namespace persimmonstair::daemon {
namespace {

class SettingsTest : public testing::Test {
 protected:
  void SetUp() override { file_ = testing::TempDir() + "persimmonstair_settings_test.json"; }
  void TearDown() override { std::remove(file_.c_str()); }

  void Write(const std::string& text) { std::ofstream(file_) << text; }

  // Sets one value in otherwise valid settings and returns the error message, empty if none.
  std::string ErrorOf(const std::string& pointer, const nlohmann::json& value) {
    nlohmann::json json = nlohmann::json::parse(kMinimal);
    json[nlohmann::json::json_pointer(pointer)] = value;
    const auto settings = ParseSettings(json);
    return settings ? "" : settings.error().message;
  }

  static constexpr const char* kMinimal = R"({"instance":"i1","data_centre":"dc1",
    "platform":{"log_url":"http://127.0.0.1:7001"}})";
  std::string file_;
};

// Guards against sources of settings that are merged in the wrong order.
TEST_F(SettingsTest, FlagsOverrideEnvironmentWhichOverridesFile) {
  auto json = nlohmann::json::parse(kMinimal);
  json["caller"] = {{"port", 1}, {"threads", 3}};
  json["admin_port"] = 1;
  Write(json.dump());
  ::setenv("PERSIMMONSTAIR_CALLER_PORT", "2", 1);
  ::setenv("PERSIMMONSTAIR_ADMIN_PORT", "2", 1);
  const auto command = LoadSettings({"--config", file_, "--admin_port", "3", "--check"});
  ::unsetenv("PERSIMMONSTAIR_CALLER_PORT");
  ::unsetenv("PERSIMMONSTAIR_ADMIN_PORT");
  ASSERT_TRUE(command.has_value()) << command.error().message;
  EXPECT_TRUE(command->check);
  EXPECT_EQ(command->settings.admin_port, 3U);
  EXPECT_EQ(command->settings.caller.port, 2U);
  EXPECT_EQ(command->settings.caller.threads, 3U);
  EXPECT_EQ(command->settings.stop.timeout_ms, 30'000U);
}

// Guards against misspelled or invalid settings that are silently ignored.
TEST_F(SettingsTest, ErrorsNamePathValueAndRule) {
  EXPECT_EQ(ErrorOf("/caller/port", 8081), "");
  const std::string range = ErrorOf("/caller/port", 70'000);
  EXPECT_NE(range.find("/caller/port"), std::string::npos) << range;
  EXPECT_NE(range.find("70000"), std::string::npos) << range;
  EXPECT_NE(range.find("65535"), std::string::npos) << range;
  EXPECT_NE(ErrorOf("/caller/prot", 1).find("prot"), std::string::npos);
  EXPECT_NE(ErrorOf("/caller/port", "80").find("/caller/port"), std::string::npos);
  EXPECT_NE(ErrorOf("/instance", "UPPER").find("UPPER"), std::string::npos);
  EXPECT_NE(ErrorOf("/log_level", "loud").find("/log_level"), std::string::npos);
  EXPECT_NE(ErrorOf("/bind_address", "999.1.1.1").find("IP address"), std::string::npos);
  EXPECT_NE(ErrorOf("/tls/key_file", "k.pem").find("certificate_file"), std::string::npos);
  const nlohmann::json peer = {{"instance", "i2"},
                               {"data_centre", "dc1"},
                               {"address", "127.0.0.1"},
                               {"udp_port", 1},
                               {"tcp_port", 1}};
  EXPECT_EQ(ErrorOf("/peers", nlohmann::json::array({peer})), "");
  EXPECT_NE(ErrorOf("/peers", nlohmann::json::array({peer, peer})).find("unique"),
            std::string::npos);
  const auto missing = ParseSettings(nlohmann::json::parse(R"({"data_centre":"dc1"})"));
  ASSERT_FALSE(missing.has_value());
  EXPECT_NE(missing.error().message.find("instance"), std::string::npos);
  EXPECT_NE(missing.error().message.find("platform"), std::string::npos);
}

TEST_F(SettingsTest, InvalidFilesAndArgumentsAreErrors) {
  EXPECT_FALSE(LoadSettings({"--config", file_ + ".missing"}).has_value());
  Write("{\"instance\":");
  EXPECT_FALSE(LoadSettings({"--config", file_}).has_value());
  Write("[]");
  EXPECT_FALSE(LoadSettings({"--config", file_}).has_value());
  Write(kMinimal);
  EXPECT_TRUE(LoadSettings({"--config", file_}).has_value());
  EXPECT_FALSE(LoadSettings({"--config", file_, "--unknown"}).has_value());
  EXPECT_FALSE(LoadSettings({"--config", file_, "--caller.port", "many"}).has_value());
  Write(R"({"caller":"text"})");
  EXPECT_FALSE(LoadSettings({"--config", file_, "--caller.port", "1"}).has_value());
}

TEST_F(SettingsTest, FleetKeyIsRequiredWithPeersAndHasAMinimumLength) {
  schema::Settings settings;
  EXPECT_EQ(ReadFleetKey(settings).value_or("error"), "");
  settings.peers.emplace_back();
  EXPECT_FALSE(ReadFleetKey(settings).has_value());
  settings.fleet_key_file = file_;
  Write("short\n");
  EXPECT_FALSE(ReadFleetKey(settings).has_value());
  Write(std::string(40, 'k') + "\n");
  EXPECT_EQ(ReadFleetKey(settings).value_or("error"), std::string(40, 'k'));
}

// Guards against secrets in log lines, in whichever field they occur.
TEST(LogTest, LinesAreJsonAndContainNoSecret) {
  std::ostringstream out;
  diagnostics::StartLog("info", "i1", {"secret-token"}, out);
  diagnostics::Log(diagnostics::Level::kInfo, "example",
                   {{"text", "a \"quoted\" secret-token\n"}, {"n", 4}});
  diagnostics::Log(diagnostics::Level::kDebug, "hidden");
  diagnostics::StartLog("off", "", {});
  const auto line = nlohmann::json::parse(out.str());
  EXPECT_EQ(line["event"], "example");
  EXPECT_EQ(line["instance"], "i1");
  EXPECT_EQ(line["level"], "info");
  EXPECT_EQ(line["n"], 4);
  EXPECT_EQ(line["text"], "a \"quoted\" ***\n");
}

}  // namespace
}  // namespace persimmonstair::daemon
