#include "persimmonstair/catalogue/catalogue.hpp"

#include <gtest/gtest.h>

#include <string>

namespace persimmonstair::catalogue {
namespace {

const std::string kDigest(64, 'a');

schema::CatalogueChange Put(const std::string& id, const std::string& section,
                            const std::string& name, const std::string& value,
                            std::uint64_t base_version = 0) {
  schema::CatalogueChange change;
  change.id = {id};
  change.author = "op";
  change.edits.push_back({section, name, base_version, false, value});
  return change;
}

const std::string kWorkspace = R"({"owner":"o","class":"c","rate_per_s":5,"burst":10})";
const std::string kKey =
    R"({"owner":"o","class":"c","workspace":"north","sha256":")" + kDigest + R"("})";

Catalogue WithKey() {
  Catalogue catalogue;
  EXPECT_TRUE(catalogue.Apply({0}, Put("a", "workspaces", "north", kWorkspace)).has_value());
  EXPECT_TRUE(catalogue.Apply({1}, Put("b", "keys", "desk", kKey)).has_value());
  return catalogue;
}

std::array<std::uint8_t, 32> Digest() {
  std::array<std::uint8_t, 32> out{};
  out.fill(0xaa);
  return out;
}

// Guards against a lost update: the second of two concurrent edits of an entry gets a conflict.
TEST(CatalogueTest, StaleBaseVersionIsAConflict) {
  Catalogue catalogue = WithKey();
  const std::string other = R"({"owner":"o","class":"c","rate_per_s":7,"burst":10})";
  EXPECT_TRUE(catalogue.Apply({2}, Put("c", "workspaces", "north", other, 1)).has_value());
  const auto late = catalogue.Apply({3}, Put("d", "workspaces", "north", kWorkspace, 1));
  ASSERT_FALSE(late.has_value());
  EXPECT_EQ(late.error().code, base::ErrorCode::kConflict);
  EXPECT_EQ(catalogue.version(), 3U);
  EXPECT_EQ(catalogue.document().workspaces.at({"north"}).rate_per_s, 7);
}

// Guards against a change whose second edit of an entry silently replaces the first.
TEST(CatalogueTest, EntryEditedTwiceIsRefused) {
  Catalogue catalogue = WithKey();
  auto change = Put("c", "workspaces", "south", kWorkspace);
  change.edits.push_back(change.edits.front());
  EXPECT_FALSE(catalogue.Apply({2}, change).has_value());
}

// Guards against a change that is valid by itself but removes an entry that another refers to.
TEST(CatalogueTest, RemovingAReferencedEntryIsRefused) {
  Catalogue catalogue = WithKey();
  schema::CatalogueChange change;
  change.id = {"c"};
  change.edits.push_back({"workspaces", "north", 1, true, ""});
  const auto result = catalogue.Apply({2}, change);
  ASSERT_FALSE(result.has_value());
  EXPECT_NE(result.error().message.find("/keys/desk/workspace"), std::string::npos);
}

// Guards against conflicts between changes of different entries.
TEST(CatalogueTest, UnrelatedChangesDoNotConflict) {
  Catalogue catalogue = WithKey();
  EXPECT_TRUE(catalogue.Apply({2}, Put("c", "workspaces", "south", kWorkspace)).has_value());
  EXPECT_TRUE(catalogue.Apply({3}, Put("d", "workspaces", "north", kWorkspace, 1)).has_value());
}

// Guards against an old record, an old snapshot or a repeated append that reverts the
// configuration.
TEST(CatalogueTest, NeverMovesToALowerVersion) {
  Catalogue old = WithKey();
  Catalogue catalogue = WithKey();
  EXPECT_TRUE(catalogue.Apply({2}, Put("c", "workspaces", "south", kWorkspace)).has_value());
  EXPECT_FALSE(catalogue.Apply({1}, Put("x", "workspaces", "west", kWorkspace)).has_value());
  EXPECT_FALSE(catalogue.Apply({4}, Put("c", "workspaces", "west", kWorkspace)).has_value());
  EXPECT_TRUE(catalogue.Restore(old.version(), old.Snapshot()).has_value());
  EXPECT_EQ(catalogue.version(), 3U);
  EXPECT_TRUE(catalogue.document().workspaces.contains({"south"}));
}

// Guards against a reader that starts from a snapshot and has another state than one that has read
// all records.
TEST(CatalogueTest, SnapshotGivesTheSameState) {
  Catalogue catalogue = WithKey();
  catalogue.DenyKey({"desk"});
  Catalogue copy;
  ASSERT_TRUE(copy.Restore(catalogue.version(), catalogue.Snapshot()).has_value());
  EXPECT_EQ(copy.Snapshot(), catalogue.Snapshot());
  EXPECT_EQ(copy.FindKey(Digest()), nullptr);
  const auto change = Put("e", "workspaces", "south", kWorkspace);
  EXPECT_TRUE(copy.Apply({5}, change).has_value());
  EXPECT_TRUE(catalogue.Apply({5}, change).has_value());
  EXPECT_EQ(copy.ToJson(), catalogue.ToJson());
}

// Guards against a withdrawn key that stays valid until its removal is read from the log.
TEST(CatalogueTest, DeniedKeyIsNotFoundUntilItIsPutAgain) {
  Catalogue catalogue = WithKey();
  ASSERT_NE(catalogue.FindKey(Digest()), nullptr);
  catalogue.DenyKey({"desk"});
  EXPECT_EQ(catalogue.FindKey(Digest()), nullptr);
  EXPECT_TRUE(catalogue.Apply({2}, Put("c", "workspaces", "south", kWorkspace)).has_value());
  EXPECT_EQ(catalogue.FindKey(Digest()), nullptr);
  EXPECT_TRUE(catalogue.Apply({3}, Put("d", "keys", "desk", kKey, 2)).has_value());
  EXPECT_NE(catalogue.FindKey(Digest()), nullptr);
}

struct BadCase {
  const char* json;
  const char* path;
  const char* rule;
};

class CheckTest : public testing::TestWithParam<BadCase> {};

// Guards against validation errors that do not name the invalid entry and the violated rule.
TEST_P(CheckTest, NamesPathAndRule) {
  const auto violations = Check(GetParam().json);
  ASSERT_FALSE(violations.empty());
  bool found = false;
  for (const auto& it : violations) {
    found =
        found || (it.path == GetParam().path && it.rule.find(GetParam().rule) != std::string::npos);
  }
  EXPECT_TRUE(found) << FormatViolations(violations);
}

INSTANTIATE_TEST_SUITE_P(
    Documents, CheckTest,
    testing::Values(
        BadCase{"{", "", "not valid JSON"}, BadCase{R"({"other":{}})", "", "other"},
        BadCase{R"({"workspaces":{"n":{"owner":"o","class":"c","rate_per_s":-1,"burst":1}}})",
                "/workspaces/n/rate_per_s", "0.001"},
        BadCase{R"({"keys":{"k":{"owner":"o","class":"c","workspace":"x","sha256":"00"}}})",
                "/keys/k/sha256", "pattern"},
        BadCase{R"({"models":{"Bad Name":{"owner":"o","class":"c"}}})", "/models/Bad Name",
                "match"},
        BadCase{R"({"targets":{"t":{"owner":"o","class":"c","kind":"engine","data_centre":"d",)"
                R"("address":"127.0.0.1","port":1,"models":["m"]}}})",
                "/targets/t/models/0", "must name an entry of /models"},
        BadCase{
            R"({"instances":{"a":{"owner":"o","class":"c","data_centre":"d","floor_ppm":150000},)"
            R"("b":{"owner":"o","class":"c","data_centre":"d","floor_ppm":150000}}})",
            "/instances", "must not exceed 200000"}));

TEST(CheckTest, AcceptsAnEmptyDocument) { EXPECT_TRUE(Check("{}").empty()); }

}  // namespace
}  // namespace persimmonstair::catalogue
