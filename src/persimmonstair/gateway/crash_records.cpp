#include "crash_records.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {
namespace {

constexpr std::int64_t kCrashRetentionMs = 120'000;

std::string KeyOf(std::uint64_t fingerprint, const base::TargetId& target) {
  return std::string(kCrashKeyPrefix) + std::to_string(fingerprint) + "/" + target.value;
}

struct CrashKey {
  std::uint64_t fingerprint = 0;
  base::TargetId target;
};

std::optional<CrashKey> ParseKey(std::string_view key) {
  if (!key.starts_with(kCrashKeyPrefix)) return std::nullopt;
  key.remove_prefix(kCrashKeyPrefix.size());
  CrashKey parsed;
  const char* end = key.data() + key.size();
  const auto [rest, ec] = std::from_chars(key.data(), end, parsed.fingerprint);
  if (ec != std::errc{} || rest == end || *rest != '/') return std::nullopt;
  parsed.target = {std::string(rest + 1, end)};
  return parsed;
}

}  // namespace

void CrashRecords::Report(std::int64_t now_ms, std::uint64_t fingerprint,
                          const base::TargetId& target) {
  const schema::CrashReport report{fingerprint, target, now_ms + kCrashRetentionMs};
  Apply(report);
  unsent_.push_back({KeyOf(fingerprint, target), schema::EncodeState(report)});
}

bool CrashRecords::OnAnswered(std::uint64_t fingerprint) {
  const auto it = crashes_.find(fingerprint);
  if (it == crashes_.end()) return false;
  for (const auto& target : it->second.targets) {
    unsent_.push_back({KeyOf(fingerprint, target), std::nullopt});
  }
  crashes_.erase(it);
  return true;
}

bool CrashRecords::IsPoison(std::uint64_t fingerprint) const {
  const auto it = crashes_.find(fingerprint);
  return it != crashes_.end() && it->second.targets.size() >= kMaxCrashedTargets;
}

void CrashRecords::Apply(const schema::CrashReport& report) {
  Crashes& crashes = crashes_[report.fingerprint];
  crashes.targets.insert(report.target);
  crashes.expires_ms = std::max(crashes.expires_ms, report.expires_ms);
}

void CrashRecords::ApplyDeletion(std::string_view key) {
  const auto deleted = ParseKey(key);
  if (!deleted) return;
  const auto it = crashes_.find(deleted->fingerprint);
  if (it == crashes_.end()) return;
  it->second.targets.erase(deleted->target);
  if (it->second.targets.empty()) crashes_.erase(it);
}

std::vector<KeyedRecord> CrashRecords::TakeUnsent() { return std::exchange(unsent_, {}); }

void CrashRecords::PutBack(std::vector<KeyedRecord> records) {
  unsent_.insert(unsent_.begin(), std::make_move_iterator(records.begin()),
                 std::make_move_iterator(records.end()));
}

void CrashRecords::Expire(std::int64_t now_ms) {
  std::erase_if(crashes_, [now_ms](const auto& one) { return one.second.expires_ms < now_ms; });
}

}  // namespace persimmonstair::gateway
