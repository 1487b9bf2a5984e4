#include "persimmonstair/programs/program_index.hpp"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "state_json.hpp"

namespace persimmonstair::programs {
namespace {

using base::Epoch;
using base::Offset;
using base::ProgramId;

/// Heap bytes of an entry of a std::unordered_map beside the pair: node link, hash, bucket.
constexpr std::size_t kNodeOverhead = 32;
/// Texts up to this length are stored inside a std::string.
constexpr std::size_t kInlineText = 15;

std::uint64_t HashId(const ProgramId& id) { return XXH64(id.value.data(), id.value.size(), 0); }

std::size_t HeapOf(const std::string& text) {
  return text.size() > kInlineText ? text.capacity() + 1 : 0;
}

}  // namespace

bool ProgramIndex::Apply(Offset offset, const schema::Record& record) {
  if (!start_) start_ = offset;
  next_ = Offset{offset.value + 1};
  const bool valid = std::visit([&](const auto& one) { return ApplyOne(offset, one); }, record);
  if (!valid) ++skipped_;
  return valid;
}

template <class T>
ProgramIndex::CurrentEntry ProgramIndex::FindCurrent(const T& record) {
  const auto it = programs_.find(record.program);
  if (it == programs_.end() || it->second.workspace != record.workspace) return {};
  ProgramTree& tree = trees_.at(it->second.root);
  if (checks_.epoch && tree.epoch != record.epoch) return {};
  return {&it->second, &tree};
}

bool ProgramIndex::ApplyOne(Offset offset, const schema::ProgramOpened& record) {
  if (record.program.empty() || programs_.contains(record.program)) return false;
  if (ended_.contains(HashId(record.program)) || trees_.contains(record.program)) return false;
  ProgramEntry entry;
  entry.workspace = record.workspace;
  entry.model = record.model;
  entry.chain = entry.snapshot = offset;
  if (record.parent.empty()) {
    entry.root = record.program;
    ProgramTree tree;
    tree.owner = record.owner;
    tree.incarnation = record.incarnation;
    tree.epoch = tree.previous = Epoch{offset.value};
    tree.budget_tokens = record.budget_tokens;
    tree.members.push_back(record.program);
    trees_.emplace(record.program, std::move(tree));
  } else {
    const ProgramEntry* parent = Find(record.parent);
    if (parent == nullptr || parent->workspace != record.workspace) return false;
    ProgramTree& tree = trees_.at(parent->root);
    const bool owned = tree.owner == record.owner && tree.incarnation == record.incarnation;
    if (!owned || tree.members.size() >= kMaxTreePrograms) return false;
    entry.root = parent->root;
    tree.members.push_back(record.program);
  }
  programs_.emplace(record.program, std::move(entry));
  return true;
}

bool ProgramIndex::ApplyOne(Offset offset, const schema::OwnerRecord& record) {
  const auto it = trees_.find(record.program);
  if (it == trees_.end()) return ApplyOwnerOfUnreadTree(record, offset);
  ProgramTree& tree = it->second;
  if (checks_.epoch && tree.epoch != record.previous) return false;
  const auto root = programs_.find(record.program);
  if (root != programs_.end() && root->second.workspace != record.workspace) return false;
  tree.previous = tree.epoch;
  tree.epoch = Epoch{offset.value};
  tree.owner = record.owner;
  tree.incarnation = record.incarnation;
  if (record.planned) return true;
  for (const ProgramId& member : tree.members) ++programs_.at(member).takeovers;
  return true;
}

// A takeover of a program of which nothing was read yet: its snapshot will follow.
bool ProgramIndex::ApplyOwnerOfUnreadTree(const schema::OwnerRecord& record, Offset offset) {
  if (record.previous.value >= start_->value) return false;
  if (ended_.contains(HashId(record.program))) return false;
  ProgramTree tree;
  tree.owner = record.owner;
  tree.incarnation = record.incarnation;
  tree.epoch = Epoch{offset.value};
  tree.previous = record.previous;
  tree.known = false;
  trees_.emplace(record.program, std::move(tree));
  return true;
}

bool ProgramIndex::ApplyOne(Offset offset, const schema::TurnRecord& record) {
  const auto [entry, tree] = FindCurrent(record);
  if (entry == nullptr) return false;
  if (checks_.turn_number &&
      (record.turn != entry->last_turn + 1 || record.chain != entry->chain)) {
    return false;
  }
  entry->last_turn = record.turn;
  entry->chain = offset;
  entry->target = record.target;
  entry->charged_tokens += record.charged_tokens;
  entry->takeovers = 0;
  return true;
}

bool ProgramIndex::ApplyOne(Offset offset, const schema::ProgramSnapshot& record) {
  const auto [entry, tree] = FindCurrent(record);
  if (entry == nullptr) return AddFromSnapshot(offset, record);
  if (record.turn != entry->last_turn) return false;
  entry->chain = entry->snapshot = offset;
  return true;
}

bool ProgramIndex::AddFromSnapshot(Offset offset, const schema::ProgramSnapshot& record) {
  const auto ended = ended_.find(HashId(record.program));
  if (ended != ended_.end() && record.epoch <= ended->second.epoch) return false;
  auto state = ParseState(record.state);
  if (!state || state->entry.workspace != record.workspace) return false;
  const ProgramId root = state->entry.root;
  if (const auto it = programs_.find(record.program); it != programs_.end()) {
    if (it->second.workspace != record.workspace || it->second.root != root) return false;
    if (record.epoch <= trees_.at(root).epoch) return false;
  }
  if (!AddTreeFromSnapshot(root, record.epoch, state->tree)) return false;
  ProgramEntry& entry = programs_[record.program] = std::move(state->entry);
  entry.last_turn = record.turn;
  entry.chain = entry.snapshot = offset;
  trees_.at(root).members.push_back(record.program);
  return true;
}

// Accepts an epoch whose record was not read, unless a later owner is known.
bool ProgramIndex::AddTreeFromSnapshot(const ProgramId& root, Epoch epoch, ProgramTree tree) {
  const auto it = trees_.find(root);
  const bool unseen = epoch.value < start_->value;
  tree.epoch = epoch;
  if (it == trees_.end()) {
    if (!unseen) return false;
    trees_.emplace(root, std::move(tree));
    return true;
  }
  ProgramTree& known = it->second;
  if (known.epoch == epoch) {
    if (known.known) return true;
    known = std::move(tree);
    return true;
  }
  const Epoch newest = known.known ? known.epoch : known.previous;
  if (!unseen || epoch <= newest) return false;
  if (known.known && known.epoch.value >= start_->value) return false;
  EraseTree(root);
  trees_.emplace(root, std::move(tree));
  return true;
}

bool ProgramIndex::ApplyOne(Offset offset, const schema::ProgramEnded& record) {
  const auto [entry, tree] = FindCurrent(record);
  if (entry == nullptr) {
    // The end of a program that was not read: its snapshots up to this epoch must not revive it.
    if (!programs_.contains(record.program) && record.epoch.value < start_->value) {
      ended_.insert_or_assign(HashId(record.program), EndedProgram{offset, record.epoch});
    }
    return false;
  }
  if (entry->root == record.program) {
    for (const ProgramId& member : tree->members) {
      ended_.insert_or_assign(HashId(member), EndedProgram{offset, record.epoch});
    }
    EraseTree(record.program);
    return true;
  }
  ended_.insert_or_assign(HashId(record.program), EndedProgram{offset, record.epoch});
  tree->closed_tokens += entry->charged_tokens;
  std::erase(tree->members, record.program);
  programs_.erase(record.program);
  return true;
}

void ProgramIndex::EraseTree(const ProgramId& root) {
  const auto tree = trees_.extract(root);
  for (const ProgramId& member : tree.mapped().members) programs_.erase(member);
}

void ProgramIndex::DiscardBefore(Offset oldest) {
  std::erase_if(ended_, [oldest](const auto& one) { return one.second.offset < oldest; });
  std::erase_if(trees_, [oldest](const auto& one) {
    return !one.second.known && one.second.epoch.value < oldest.value;
  });
}

const ProgramEntry* ProgramIndex::Find(const ProgramId& program) const {
  const auto it = programs_.find(program);
  return it == programs_.end() ? nullptr : &it->second;
}

const ProgramTree& ProgramIndex::TreeOf(const ProgramEntry& entry) const {
  return trees_.at(entry.root);
}

std::vector<ProgramId> ProgramIndex::RootsOf(const base::InstanceId& owner) const {
  std::vector<ProgramId> out;
  for (const auto& [root, tree] : trees_) {
    if (tree.known && tree.owner == owner) out.push_back(root);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::size_t ProgramIndex::Bytes() const {
  std::size_t out =
      ended_.size() * (sizeof(std::pair<std::uint64_t, EndedProgram>) + kNodeOverhead);
  for (const auto& [id, entry] : programs_) {
    out += sizeof(id) + sizeof(entry) + kNodeOverhead + HeapOf(id.value);
    out += HeapOf(entry.workspace.value) + HeapOf(entry.root.value) + HeapOf(entry.model.value) +
           HeapOf(entry.target.value);
  }
  for (const auto& [id, tree] : trees_) {
    out += sizeof(id) + sizeof(tree) + kNodeOverhead + HeapOf(id.value) + HeapOf(tree.owner.value);
    out += tree.members.capacity() * sizeof(ProgramId);
    for (const ProgramId& member : tree.members) out += HeapOf(member.value);
  }
  return out;
}

std::string ProgramIndex::Snapshot() const {
  nlohmann::json json{{"next", next_},
                      {"programs", nlohmann::json::object()},
                      {"families", nlohmann::json::object()},
                      {"ended", nlohmann::json::object()}};
  if (start_) json["start"] = *start_;
  for (const auto& [id, entry] : programs_) json["programs"][id.value] = entry;
  for (const auto& [id, tree] : trees_) {
    ProgramTree sorted = tree;
    std::sort(sorted.members.begin(), sorted.members.end());
    json["families"][id.value] = sorted;
  }
  for (const auto& [hash, end] : ended_) {
    json["ended"][std::to_string(hash)] = {end.offset, end.epoch};
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

base::Result<void> ProgramIndex::Restore(std::string_view snapshot) {
  ProgramIndex next(checks_);
  const auto bad = [](const std::string& why) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "program snapshot: " + why);
  };
  try {
    const auto json = nlohmann::json::parse(snapshot);
    json.at("next").get_to(next.next_);
    if (json.contains("start")) next.start_ = json.at("start").get<Offset>();
    for (const auto& [id, entry] : json.at("programs").items()) {
      next.programs_[ProgramId{id}] = entry.get<ProgramEntry>();
    }
    for (const auto& [id, tree] : json.at("families").items()) {
      next.trees_[ProgramId{id}] = tree.get<ProgramTree>();
    }
    for (const auto& [hash, end] : json.at("ended").items()) {
      next.ended_[std::stoull(hash)] = EndedProgram{end.at(0), end.at(1)};
    }
  } catch (const std::exception& error) {
    return bad(error.what());
  }
  for (const auto& [id, entry] : next.programs_) {
    if (!next.trees_.contains(entry.root)) return bad("program without its family");
  }
  for (const auto& [id, tree] : next.trees_) {
    for (const ProgramId& member : tree.members) {
      if (!next.programs_.contains(member)) return bad("family with an unknown member");
    }
  }
  *this = std::move(next);
  return {};
}

}  // namespace persimmonstair::programs
