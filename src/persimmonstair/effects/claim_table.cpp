#include "persimmonstair/effects/claim_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace persimmonstair::effects {
namespace {

using base::ErrorCode;
using base::Fail;
using base::Offset;
using base::WallTime;

constexpr std::size_t kMaxOpaqueBytes = 128;
/// Latest accepted key time (year 5138); sums with later ones could overflow in microseconds.
constexpr std::int64_t kMaxKeySeconds = 100'000'000'000;
/// Heap bytes of a claim without its strings: nodes of two ordered containers and their fields.
constexpr std::size_t kClaimOverhead = 480;
/// Heap bytes of the id of an applied record: a node in each of two containers.
constexpr std::size_t kAppliedIdBytes = 80;

std::uint64_t HashId(const base::RecordId& id) {
  return XXH64(id.value.data(), id.value.size(), 0);
}

std::size_t EstimateBytes(const EffectKey& key, const Claim& claim) {
  const std::size_t key_bytes =
      key.workspace.value.size() + key.route.value.size() + key.key.size();
  const std::size_t body = claim.outcome ? claim.outcome->body.size() : 0;
  return kClaimOverhead + 2 * key_bytes + claim.id.value.size() + claim.claimant.value.size() +
         body;
}

template <class T>
EffectKey KeyOf(const T& record) {
  return {record.workspace, record.route, record.key};
}

}  // namespace

base::Result<WallTime> ParseKeyTime(std::string_view key) {
  const auto bad = [] {
    return Fail(ErrorCode::kInvalidRequest, "idempotency key must be <unix seconds>.<opaque>");
  };
  std::int64_t seconds = 0;
  const char* const end = key.data() + key.size();
  const auto [rest, ec] = std::from_chars(key.data(), end, seconds);
  if (ec != std::errc{} || rest == end || *rest != '.') return bad();
  if (seconds < 0 || seconds > kMaxKeySeconds) return bad();
  const std::string_view opaque(rest + 1, static_cast<std::size_t>(end - rest - 1));
  if (opaque.empty() || opaque.size() > kMaxOpaqueBytes) return bad();
  const auto printable = [](char c) { return c > ' ' && c <= '~'; };
  if (!std::all_of(opaque.begin(), opaque.end(), printable)) return bad();
  return WallTime{std::chrono::seconds{seconds}};
}

bool ClaimTable::Apply(Offset offset, const schema::Record& record) {
  const bool valid = std::visit([&](const auto& one) { return ApplyOne(offset, one); }, record);
  if (!valid) ++skipped_;
  EnforceLimits();
  return valid;
}

bool ClaimTable::MarkApplied(WallTime key_time, const base::RecordId& id) {
  const std::uint64_t hash = HashId(id);
  if (!applied_.insert(hash).second) return false;
  applied_by_time_.emplace(key_time, hash);
  bytes_ += kAppliedIdBytes;
  return true;
}

bool ClaimTable::AcceptRecord(const std::string& key, const base::RecordId& id) {
  const auto time = ParseKeyTime(key);
  return time && *time >= horizon_ && MarkApplied(*time, id);
}

bool ClaimTable::ApplyOne(Offset offset, const schema::ClaimRecord& record) {
  if (!AcceptRecord(record.key, record.id)) return false;
  const WallTime time = *ParseKeyTime(record.key);
  // Requests with a key too far in the future would still be accepted after its claim has expired.
  if (time > WallTime{std::chrono::milliseconds{record.at_ms}} + kMaxKeyLead) return false;
  const EffectKey key = KeyOf(record);
  if (claims_.contains(key)) return false;
  Claim claim{record.id,          offset,      record.fingerprint, record.claimant,
              record.incarnation, std::nullopt};
  bytes_ += EstimateBytes(key, claim);
  by_time_.emplace(time, key);
  claims_.emplace(key, std::move(claim));
  return true;
}

bool ClaimTable::ApplyOne(Offset /*offset*/, const schema::ClaimReleased& record) {
  if (!AcceptRecord(record.key, record.id)) return false;
  const auto it = FindClaim(KeyOf(record), record.claim);
  if (it == claims_.end() || it->second.outcome) return false;
  Erase(it);
  return true;
}

bool ClaimTable::ApplyOne(Offset /*offset*/, const schema::OutcomeRecord& record) {
  if (!AcceptRecord(record.key, record.id)) return false;
  const auto verdict = base::ParseVerdict(record.verdict);
  if (!verdict || *verdict == base::Verdict::kNotRun) return false;
  const auto it = FindClaim(KeyOf(record), record.claim);
  if (it == claims_.end() || it->second.outcome) return false;
  it->second.outcome = Outcome{*verdict, record.status, record.body};
  bytes_ += record.body.size();
  return true;
}

std::map<EffectKey, Claim>::iterator ClaimTable::FindClaim(const EffectKey& key,
                                                           const base::RecordId& claim) {
  const auto it = claims_.find(key);
  return it != claims_.end() && it->second.id == claim ? it : claims_.end();
}

void ClaimTable::Erase(std::map<EffectKey, Claim>::iterator it) {
  bytes_ -= EstimateBytes(it->first, it->second);
  by_time_.erase({*ParseKeyTime(it->first.key), it->first});
  claims_.erase(it);
}

void ClaimTable::DiscardUnretained(WallTime oldest_at) {
  RaiseHorizon(oldest_at + kMaxKeyLead + kMaxClockSkew);
}

void ClaimTable::RaiseHorizon(WallTime horizon) {
  if (horizon <= horizon_) return;
  horizon_ = horizon;
  while (!by_time_.empty() && by_time_.begin()->first < horizon_) {
    Erase(claims_.find(by_time_.begin()->second));
  }
  while (!applied_by_time_.empty() && applied_by_time_.begin()->first < horizon_) {
    applied_.erase(applied_by_time_.begin()->second);
    applied_by_time_.erase(applied_by_time_.begin());
    bytes_ -= kAppliedIdBytes;
  }
}

// Drops the keys of the oldest second until the limits hold. The raised horizon refuses requests
// with these keys, so none of them can run twice.
void ClaimTable::EnforceLimits() {
  while (!applied_by_time_.empty() &&
         (claims_.size() > limits_.max_claims || bytes_ > limits_.max_bytes)) {
    RaiseHorizon(applied_by_time_.begin()->first + std::chrono::microseconds{1});
  }
}

const Claim* ClaimTable::Find(const EffectKey& key) const {
  const auto it = claims_.find(key);
  return it == claims_.end() ? nullptr : &it->second;
}

std::string ClaimTable::Snapshot() const {
  nlohmann::json json{{"horizon_us", horizon_.time_since_epoch().count()},
                      {"claims", nlohmann::json::array()},
                      {"applied", nlohmann::json::array()}};
  for (const auto& [key, claim] : claims_) {
    nlohmann::json one{{"workspace", key.workspace},
                       {"route", key.route},
                       {"key", key.key},
                       {"id", claim.id},
                       {"offset", claim.offset},
                       {"fingerprint", claim.fingerprint},
                       {"claimant", claim.claimant},
                       {"incarnation", claim.incarnation}};
    if (claim.outcome) {
      one["verdict"] = std::string(base::ToString(claim.outcome->verdict));
      one["status"] = claim.outcome->status;
      one["body"] = claim.outcome->body;
    }
    json["claims"].push_back(std::move(one));
  }
  for (const auto& [time, hash] : applied_by_time_) {
    json["applied"].push_back({time.time_since_epoch().count(), hash});
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::Result<void> ClaimTable::Restore(std::string_view snapshot) {
  ClaimTable next(limits_);
  try {
    const auto json = nlohmann::json::parse(snapshot);
    next.horizon_ = WallTime{base::Duration{json.at("horizon_us").get<std::int64_t>()}};
    for (const auto& one : json.at("applied")) {
      const std::uint64_t hash = one.at(1).get<std::uint64_t>();
      next.applied_.insert(hash);
      next.applied_by_time_.emplace(WallTime{base::Duration{one.at(0).get<std::int64_t>()}}, hash);
    }
    next.bytes_ = kAppliedIdBytes * next.applied_.size();
    for (const auto& one : json.at("claims")) {
      EffectKey key{one.at("workspace"), one.at("route"), one.at("key")};
      Claim claim{one.at("id"),       one.at("offset"),      one.at("fingerprint"),
                  one.at("claimant"), one.at("incarnation"), std::nullopt};
      if (one.contains("verdict")) {
        const auto verdict = base::ParseVerdict(one.at("verdict").get<std::string>());
        if (!verdict) return Fail(ErrorCode::kInvalidRequest, "claim snapshot: unknown verdict");
        claim.outcome = Outcome{*verdict, one.at("status"), one.at("body")};
      }
      const auto time = ParseKeyTime(key.key);
      if (!time) return tl::make_unexpected(time.error());
      next.bytes_ += EstimateBytes(key, claim);
      next.by_time_.emplace(*time, key);
      next.claims_.emplace(std::move(key), std::move(claim));
    }
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidRequest, std::string("claim snapshot: ") + error.what());
  }
  *this = std::move(next);
  return {};
}

}  // namespace persimmonstair::effects
