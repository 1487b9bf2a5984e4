#include "cli/cli.hpp"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "cli/load.hpp"
#include "persimmonstair/catalogue/catalogue.hpp"
#include "standin/http_server.hpp"
#include "standin/standin.hpp"

namespace persimmonstair::cli {
namespace {

using standin::Exchange;
using standin::Task;

constexpr const char* kOperatorKey = "operator-secret";
constexpr const char* kDocument =
    R"({"workspaces": {"north": {"owner": "desk", "class": "interactive",
  "rate_per_s": 5, "burst": 10}}})";

/// Converts the body of POST /v1/catalogue/changes to a change record.
schema::CatalogueChange ToChange(const Json& body, std::uint64_t number) {
  schema::CatalogueChange out;
  out.id = {"change-" + std::to_string(number)};
  out.author = "op";
  out.reason = body.at("reason");
  for (const Json& edit : body.at("edits")) {
    out.edits.push_back({edit.at("section"), edit.at("name"), edit.at("base_version"),
                         edit.at("remove"), edit.contains("value") ? edit["value"].dump() : ""});
  }
  return out;
}

/// HTTP server that imitates an entry instance and its admin port, backed by the real catalogue.
class FakeEntryInstance {
 public:
  FakeEntryInstance()
      : server_(io_, [this](Exchange& exchange) { return HandleRequest(exchange); }) {
    EXPECT_TRUE(server_.Open({}));
    thread_ = std::thread([this] {
      const auto work = boost::asio::make_work_guard(io_);
      io_.run();
    });
  }
  ~FakeEntryInstance() {
    io_.stop();
    thread_.join();
  }

  std::string Url() const { return "http://127.0.0.1:" + std::to_string(server_.port()); }

  /// Runs `task` on the server's thread and returns its result. Tests access the members below only
  /// through it.
  template <class F>
  auto RunOnServerThread(F task) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    boost::asio::post(io_, [&] { packaged(); });
    return result.get();
  }

  catalogue::Catalogue catalogue;
  /// Changes received or applied so far.
  std::uint64_t changes = 0;
  /// Requests of POST /admin/drain so far.
  std::uint64_t drains = 0;
  /// Applied between the command's read and its change, as if by another operator; empty for none.
  std::string concurrent_change;
  /// Applies changes, but closes the connection without a response.
  bool drop_change_response = false;
  /// Versions by which the reported catalogue version is behind.
  std::uint64_t reported_lag = 0;
  std::vector<std::string> live = {"entry-1"};

 private:
  Task HandleRequest(Exchange& exchange) {
    if (exchange.path() == "/status") {
      Json status;
      status["instance"] = "entry-1";
      status["live"] = live;
      status["catalogue_version"] =
          catalogue.version() - std::min(reported_lag, catalogue.version());
      co_await exchange.RespondJson(200, status);
    } else if (exchange.path() == "/admin/drain" && exchange.method() == "POST") {
      ++drains;
      co_await exchange.RespondJson(202, Json::object());
    } else if (exchange.Header("Authorization") != std::string("Bearer ") + kOperatorKey) {
      co_await exchange.RespondError(401, "unauthorized", "unknown key", "not_run");
    } else if (exchange.path() == "/v1/catalogue/history") {
      Json history;
      history["history"] = Json::parse(catalogue.Snapshot())["audit"];
      co_await exchange.RespondJson(200, history);
    } else if (exchange.method() == "GET") {
      co_await exchange.Respond(200, catalogue.ToJson());
    } else {
      co_await HandleChange(exchange);
    }
  }

  Task HandleChange(Exchange& exchange) {
    if (!concurrent_change.empty()) {
      ++changes;
      EXPECT_TRUE(catalogue.Apply({changes}, ToChange(Json::parse(concurrent_change), changes)));
    }
    const auto change = ToChange(Json::parse(exchange.request().body()), ++changes);
    const auto applied = catalogue.Apply({changes}, change);
    if (drop_change_response) {
      exchange.Abort();
    } else if (!applied) {
      const auto code = std::string(base::ToString(applied.error().code));
      co_await exchange.RespondError(static_cast<unsigned>(base::HttpStatus(applied.error().code)),
                                     code, applied.error().message, "not_run");
    } else {
      Json response;
      response["version"] = catalogue.version();
      co_await exchange.RespondJson(200, response);
    }
  }

  boost::asio::io_context io_{1};
  standin::HttpServer server_;
  std::thread thread_;
};

struct CliTest : testing::Test {
  void SetUp() override {
    const auto* info = testing::UnitTest::GetInstance()->current_test_info();
    directory =
        std::filesystem::temp_directory_path() /
        ("persimmonstair-cli-" + std::string(info->name()) + "-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    key_file = Write("key", std::string(kOperatorKey) + "\n");
    document = Write("catalogue.json", kDocument);
  }
  void TearDown() override { std::filesystem::remove_all(directory); }

  std::string Write(const std::string& name, const std::string& text) {
    const auto path = directory / name;
    std::ofstream(path) << text;
    return path.string();
  }

  int Run(std::vector<std::string> arguments) {
    out.str("");
    err.str("");
    return RunCli(arguments, out, err);
  }

  /// Runs a command with --json and the address, admin port and key of the fake entry instance.
  int RunWithEntry(std::vector<std::string> arguments) {
    const std::vector<std::string> shared = {"--json",  "--address",  entry.Url(),
                                             "--admin", entry.Url(),  "--timeout-ms",
                                             "20000",   "--key-file", key_file};
    arguments.insert(arguments.begin(), shared.begin(), shared.end());
    return Run(std::move(arguments));
  }

  Json Output() const { return Json::parse(out.str()); }

  std::filesystem::path directory;
  std::string key_file;
  std::string document;
  FakeEntryInstance entry;
  std::ostringstream out;
  std::ostringstream err;
};

// Guards against a refusal that does not name the invalid place in the file.
TEST_F(CliTest, ValidateNamesPathValueAndRule) {
  EXPECT_EQ(Run({"validate", document}), kOk);
  const auto bad = Write("bad.json", R"({"workspaces":{"north":{"owner":"o","class":"c",
    "rate_per_s":-5,"burst":10}}})");
  EXPECT_EQ(Run({"--json", "validate", bad}), kRefused);
  const Json violation = Output()["violations"].at(0);
  EXPECT_EQ(violation["path"], "/workspaces/north/rate_per_s");
  EXPECT_NE(violation["value"].get<std::string>().find("-5"), std::string::npos);
  EXPECT_FALSE(violation["rule"].get<std::string>().empty());
  EXPECT_EQ(Run({"validate", (directory / "none").string()}), kUsage);
}

// Guards against invalid command lines that are run, and against usage errors without a message.
TEST_F(CliTest, InvalidCommandsAreUsageErrors) {
  for (const std::vector<std::string>& bad : std::vector<std::vector<std::string>>{
           {},
           {"aply"},
           {"apply", document},
           {"key"},
           {"load"},
           {"status"},
           {"drain"},
           {"show"},
           {"--address", "localhost:1", "--key-file", key_file, "show"},
           {"--address", "127.0.0.1:1", "load", "--route", "r", "--model", "m"}}) {
    EXPECT_EQ(Run(bad), kUsage) << testing::PrintToString(bad);
    EXPECT_FALSE(err.str().empty()) << testing::PrintToString(bad);
  }
  EXPECT_EQ(Run({"--help"}), kOk);
}

// Guards against sending unchanged entries, which would conflict with changes by other operators.
TEST_F(CliTest, ApplySendsOnlyChangedEntries) {
  EXPECT_EQ(RunWithEntry({"apply", document, "--reason", "first", "--wait"}), kOk) << out.str();
  EXPECT_EQ(Output()["edits"].size(), 1U);
  EXPECT_EQ(RunWithEntry({"diff", document}), kOk);
  EXPECT_EQ(Output()["edits"].size(), 0U);
  EXPECT_EQ(RunWithEntry({"apply", document, "--reason", "again"}), kOk);
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.changes; }), 1U);
  const auto more = Write("more.json", R"({"workspaces":{"south":{"owner":"o","class":"c",
    "rate_per_s":1,"burst":1}}})");
  EXPECT_EQ(RunWithEntry({"diff", more, "--prune"}), kOk);
  EXPECT_EQ(Output()["edits"].size(), 2U);
  EXPECT_EQ(RunWithEntry({"apply", more, "--reason", "second"}), kOk);
  EXPECT_EQ(RunWithEntry({"show", "workspaces/north"}), kOk);
  EXPECT_EQ(Output()["entries"].at(0)["value"]["rate_per_s"], 5);
  EXPECT_EQ(RunWithEntry({"show", "workspaces/east"}), kRefused);
  EXPECT_EQ(RunWithEntry({"history", "--last", "1"}), kOk);
  EXPECT_EQ(Output()["history"].at(0)["reason"], "second");
}

// Guards against overwriting a change that another operator made between the read and the apply.
TEST_F(CliTest, ApplyReportsAConcurrentChangeAndDoesNotRetry) {
  entry.RunOnServerThread([this] {
    entry.concurrent_change = R"({"reason":"r","edits":[{"section":"workspaces","name":"north",
      "base_version":0,"remove":false,"value":{"owner":"other","class":"c","rate_per_s":1,
      "burst":1}}]})";
  });
  EXPECT_EQ(RunWithEntry({"apply", document, "--reason", "x"}), kRefused);
  EXPECT_EQ(Output()["error"]["code"], "conflict");
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.changes; }), 2U);
}

// Guards against treating a lost response as a refusal, and against sending the change again.
TEST_F(CliTest, LostResponseIsUnknownAndNotRetried) {
  entry.RunOnServerThread([this] { entry.drop_change_response = true; });
  EXPECT_EQ(RunWithEntry({"apply", document, "--reason", "x"}), kUnknown);
  EXPECT_EQ(Output()["error"]["verdict"], "may_have_run");
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.changes; }), 1U);
  EXPECT_EQ(RunWithEntry({"key", "grant", "desk", "--owner", "o", "--class", "c", "--reason", "r"}),
            kUnknown);
  EXPECT_EQ(out.str().find("psk-"), std::string::npos);
}

// Guards against --wait succeeding while an instance has an old version or its version is unknown.
TEST_F(CliTest, WaitFailsWhileAnInstanceIsBehindOrUnknown) {
  entry.RunOnServerThread([this] { entry.reported_lag = 1; });
  const std::vector<std::string> apply = {
      "apply", document, "--reason", "x", "--wait", "--wait-timeout-ms", "1"};
  EXPECT_EQ(RunWithEntry(apply), kUnknown);
  EXPECT_NE(out.str().find("behind: entry-1"), std::string::npos) << out.str();
  entry.RunOnServerThread([this] {
    entry.reported_lag = 0;
    entry.live = {"entry-1", "entry-2"};
  });
  EXPECT_EQ(RunWithEntry({"key", "grant", "desk", "--owner", "o", "--class", "c", "--reason", "r",
                          "--wait", "--wait-timeout-ms", "1"}),
            kUnknown);
  EXPECT_NE(out.str().find("entry-2"), std::string::npos) << out.str();
}

// Guards against storing a key in plain text, and against granting a key that does not work or
// cannot be withdrawn.
TEST_F(CliTest, GrantedKeyIsStoredAsItsDigestAndCanBeWithdrawn) {
  ASSERT_EQ(RunWithEntry({"apply", document, "--reason", "x"}), kOk);
  const std::vector<std::string> grant = {"key",         "grant",    "desk-1",  "--workspace",
                                          "north",       "--owner",  "desk",    "--class",
                                          "interactive", "--reason", "new desk"};
  ASSERT_EQ(RunWithEntry(grant), kOk) << out.str();
  const std::string key = Output()["key"];
  EXPECT_GE(key.size(), 64U);
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.catalogue.ToJson(); }).find(key),
            std::string::npos);
  EXPECT_EQ(RunWithEntry(grant), kRefused);
  EXPECT_EQ(RunWithEntry({"key", "withdraw", "desk-1", "--reason", "lost"}), kOk);
  EXPECT_EQ(RunWithEntry({"key", "withdraw", "desk-1", "--reason", "lost"}), kRefused);
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.catalogue.document().keys.size(); }), 0U);
}

// Guards against exit codes that do not distinguish a wrong key from an unreachable instance.
TEST_F(CliTest, ExitCodesDistinguishRefusedFromUnreachable) {
  key_file = Write("wrong", "wrong");
  EXPECT_EQ(RunWithEntry({"show"}), kRefused);
  EXPECT_EQ(Output()["error"]["code"], "unauthorized");
  std::string closed_url;
  {
    const FakeEntryInstance closed_entry;
    closed_url = closed_entry.Url();
  }
  EXPECT_EQ(Run({"--admin", entry.Url(), "--admin", closed_url, "--json", "status"}), kUnknown);
  EXPECT_EQ(Output()["instances"].size(), 2U);
  EXPECT_EQ(Output()["instances"].at(0)["status"]["instance"], "entry-1");
  EXPECT_EQ(Run({"--admin", entry.Url(), "drain"}), kOk);
  EXPECT_EQ(entry.RunOnServerThread([this] { return entry.drains; }), 1U);
}

// Guards against counting a lost or refused request as successful, and against wrong percentiles.
TEST_F(CliTest, LoadCountsOutcomes) {
  auto service = std::move(*standin::Standin::Start(standin::ServiceSettings{}));
  ASSERT_TRUE(service->SetFaults(R"({"refuse":3,"lose_answers":0})"));
  const std::vector<std::string> load = {"--json",  "--address", service->url(),  "--timeout-ms",
                                         "20000",   "load",      "--path",        "/deposit",
                                         "--count", "50",        "--connections", "4"};
  EXPECT_EQ(Run(load), kOk);
  EXPECT_EQ(Output()["ok"], 47);
  EXPECT_EQ(Output()["refused"], 3);
  EXPECT_EQ(Output()["requests"]["count"], 47);
  ASSERT_TRUE(service->SetFaults(R"({"lose_answers":2})"));
  EXPECT_EQ(Run(load), kUnknown);
  EXPECT_EQ(Output()["failed"], 2);
  EXPECT_EQ(Output()["verdicts"]["may_have_run"], 2);
  LatencySamples samples;
  for (int n = 100; n > 0; --n) samples.Add(std::chrono::milliseconds(n));
  EXPECT_EQ(samples.PercentileMs(50), 50);
  EXPECT_EQ(samples.PercentileMs(99), 99);
  EXPECT_EQ(samples.PercentileMs(100), 100);
}

}  // namespace
}  // namespace persimmonstair::cli
