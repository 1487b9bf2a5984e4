#include "persimmonstair/limits/share_table.hpp"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

namespace persimmonstair::limits {

using membership::Effect;

std::vector<ShareChange> ShareTable::Apply(const schema::Record& record, const Effect& effect,
                                           const membership::Registry& registry) {
  switch (effect.kind) {
    case Effect::Kind::kLeft:
      return TransferAll(effect.instance, {});
    case Effect::Kind::kReclaimed:
      return TransferAll(effect.instance, effect.new_holder);
    case Effect::Kind::kShare:
      if (const auto* claim = std::get_if<schema::ShareClaim>(&record)) return Claim(*claim);
      if (const auto* move = std::get_if<schema::ShareMove>(&record)) return Move(*move, registry);
      return {};
    default:
      return {};
  }
}

std::vector<ShareChange> ShareTable::Claim(const schema::ShareClaim& record) {
  const std::uint32_t unheld = UnheldPpm(record.workspace);
  if (unheld == 0) return {};
  Holdings& holdings = shares_[record.workspace];
  if (!holdings.contains(record.by) && holdings.size() >= kMaxHolders) return {};
  holdings[record.by] += unheld;
  return {{record.workspace, record.by, unheld, 0}};
}

std::vector<ShareChange> ShareTable::Move(const schema::ShareMove& record,
                                          const membership::Registry& registry) {
  if (record.share_ppm == 0 || record.from == record.to) return {};
  if (!registry.IsCurrent(record.to, record.to_incarnation)) return {};
  const std::uint32_t held = HeldPpm(record.workspace, record.from);
  if (held < record.share_ppm) return {};
  Holdings& holdings = shares_[record.workspace];
  const std::size_t others = holdings.size() - (held == record.share_ppm ? 1 : 0);
  if (!holdings.contains(record.to) && others >= kMaxHolders) return {};
  holdings[record.from] -= record.share_ppm;
  if (holdings[record.from] == 0) holdings.erase(record.from);
  holdings[record.to] += record.share_ppm;
  const std::int64_t delta = record.share_ppm;
  return {{record.workspace, record.from, -delta, 0},
          {record.workspace, record.to, delta, record.tokens_milli}};
}

std::vector<ShareChange> ShareTable::TransferAll(const base::InstanceId& from,
                                                 const base::InstanceId& new_holder) {
  std::vector<ShareChange> changes;
  for (auto& [workspace, holdings] : shares_) {
    const auto it = holdings.find(from);
    if (it == holdings.end()) continue;
    const std::int64_t held = it->second;
    holdings.erase(it);
    changes.push_back({workspace, from, -held, 0});
    if (new_holder.empty()) continue;
    holdings[new_holder] += static_cast<std::uint32_t>(held);
    changes.push_back({workspace, new_holder, held, 0});
  }
  return changes;
}

std::uint32_t ShareTable::HeldPpm(const base::WorkspaceId& workspace,
                                  const base::InstanceId& instance) const {
  const Holdings& holdings = Holders(workspace);
  const auto it = holdings.find(instance);
  return it == holdings.end() ? 0 : it->second;
}

std::uint32_t ShareTable::UnheldPpm(const base::WorkspaceId& workspace) const {
  std::uint32_t left = kLeasedSharesPpm;
  for (const auto& [instance, held] : Holders(workspace)) left -= held;
  return left;
}

const std::map<base::InstanceId, std::uint32_t>& ShareTable::Holders(
    const base::WorkspaceId& workspace) const {
  static const Holdings none;
  const auto it = shares_.find(workspace);
  return it == shares_.end() ? none : it->second;
}

std::string ShareTable::Snapshot() const {
  nlohmann::json out = nlohmann::json::object();
  for (const auto& [workspace, holdings] : shares_) {
    auto& entry = out[workspace.value] = nlohmann::json::object();
    for (const auto& [instance, held] : holdings) entry[instance.value] = held;
  }
  return out.dump();
}

base::Result<ShareTable> ShareTable::Restore(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  const auto fail = [](const std::string& why) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "invalid share table snapshot: " + why);
  };
  if (!json.is_object()) return fail("not a JSON object");
  ShareTable table;
  for (const auto& [id, entry] : json.items()) {
    if (!entry.is_object() || entry.size() > kMaxHolders) return fail(id);
    std::uint64_t sum = 0;
    for (const auto& [instance, held] : entry.items()) {
      if (!held.is_number_unsigned()) return fail(id);
      const auto ppm = held.get<std::uint64_t>();
      sum += ppm;
      if (ppm > kLeasedSharesPpm || sum > kLeasedSharesPpm) return fail(id + " has excess shares");
      table.shares_[base::WorkspaceId{id}][base::InstanceId{instance}] =
          static_cast<std::uint32_t>(ppm);
    }
  }
  return table;
}

}  // namespace persimmonstair::limits
