#ifndef PERSIMMONSTAIR_PROGRAMS_PROGRAM_INDEX_HPP_
#define PERSIMMONSTAIR_PROGRAMS_PROGRAM_INDEX_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonstair/base/error.hpp"
#include "persimmonstair/base/ids.hpp"
#include "persimmonstair/base/time.hpp"
#include "persimmonstair/schema/records.hpp"

namespace persimmonstair::programs {

/// Most programs under one root, the root among them.
inline constexpr std::size_t kMaxTreePrograms = 64;

/// @brief What every instance knows of a program, without its text.
struct ProgramEntry {
  base::WorkspaceId workspace;
  /// The program at the top of the chain of parents; the program's own id if it has no parent.
  base::ProgramId root;
  base::ModelId model;
  /// Engine that holds the program's prefix; empty for none.
  base::TargetId target;
  /// Offset of the newest turn, snapshot or opening record; the start of the chain.
  base::Offset chain;
  /// Offset of the newest snapshot or opening record.
  base::Offset snapshot;
  std::uint32_t last_turn = 0;
  /// Changes of owner since the newest turn; each may have lost a running turn.
  std::uint32_t takeovers = 0;
  /// Tokens of this program's recorded turns.
  std::int64_t charged_tokens = 0;

  bool operator==(const ProgramEntry&) const = default;
};

/// @brief Owner and budget, which a program shares with all programs under the same root.
struct ProgramTree {
  base::InstanceId owner;
  base::Incarnation incarnation;
  base::Epoch epoch;
  /// Epoch that the newest OwnerRecord replaced.
  base::Epoch previous;
  std::int64_t budget_tokens = 0;
  /// Tokens of sub-programs that have ended.
  std::int64_t closed_tokens = 0;
  /// False after an OwnerRecord of a program whose state was not read yet.
  bool known = true;
  /// Programs of the family, the root among them.
  std::vector<base::ProgramId> members;

  bool operator==(const ProgramTree&) const = default;
};

/// @brief The switches of tests that show that the checks detect a fault. All true elsewhere.
struct IndexChecks {
  bool epoch = true;
  bool turn_number = true;
};

/// @brief State of all programs as a pure function of the retained prefix of the `programs`
/// stream. A program and its sub-programs change owner together by one OwnerRecord of the root.
/// A repeated record is invalid by its turn number, epoch or program id, so no record ids are kept.
///
///     index.Apply(offset, record);
///     if (const ProgramEntry* entry = index.Find(program)) Forward(index.TreeOf(*entry).owner);
class ProgramIndex {
 public:
  explicit ProgramIndex(IndexChecks checks = {}) : checks_(checks) {}

  /// Applies one record; records of other types change nothing. Returns true if it was valid.
  bool Apply(base::Offset offset, const schema::Record& record);

  /// Forgets ends of programs before `oldest`, the oldest retained offset.
  void DiscardBefore(base::Offset oldest);

  /// Null for unknown and ended programs.
  const ProgramEntry* Find(const base::ProgramId& program) const;
  const ProgramTree& TreeOf(const ProgramEntry& entry) const;
  /// Roots of the families an instance owns under any incarnation.
  std::vector<base::ProgramId> RootsOf(const base::InstanceId& owner) const;

  const std::unordered_map<base::ProgramId, ProgramEntry>& Programs() const { return programs_; }
  /// Offset behind the newest applied record.
  base::Offset Next() const { return next_; }
  std::size_t size() const { return programs_.size(); }
  /// Estimated heap bytes.
  std::size_t Bytes() const;
  std::uint64_t Skipped() const { return skipped_; }

  /// JSON text of the whole state, equal for equal states.
  std::string Snapshot() const;
  /// Replaces the state by a snapshot; kInvalidRequest leaves the state unchanged.
  base::Result<void> Restore(std::string_view snapshot);

 private:
  bool ApplyOne(base::Offset offset, const schema::ProgramOpened& record);
  bool ApplyOne(base::Offset offset, const schema::OwnerRecord& record);
  bool ApplyOne(base::Offset offset, const schema::TurnRecord& record);
  bool ApplyOne(base::Offset offset, const schema::ProgramSnapshot& record);
  bool ApplyOne(base::Offset offset, const schema::ProgramEnded& record);
  template <class T>
  bool ApplyOne(base::Offset /*offset*/, const T& /*other*/) {
    return false;
  }
  struct EndedProgram {
    base::Offset offset;
    base::Epoch epoch;
  };
  struct CurrentEntry {
    ProgramEntry* entry = nullptr;
    ProgramTree* tree = nullptr;
  };

  /// The program if the record's workspace and epoch are the current ones.
  template <class T>
  CurrentEntry FindCurrent(const T& record);
  /// Takes a program from a snapshot whose earlier records were not read.
  bool AddFromSnapshot(base::Offset offset, const schema::ProgramSnapshot& record);
  bool AddTreeFromSnapshot(const base::ProgramId& root, base::Epoch epoch, ProgramTree tree);
  void EraseTree(const base::ProgramId& root);
  bool ApplyOwnerOfUnreadTree(const schema::OwnerRecord& record, base::Offset offset);

  IndexChecks checks_;
  std::unordered_map<base::ProgramId, ProgramEntry> programs_;
  std::unordered_map<base::ProgramId, ProgramTree> trees_;
  /// Ends by hash of the program's id; they keep late records from reviving a program.
  std::unordered_map<std::uint64_t, EndedProgram> ended_;
  base::Offset next_;
  /// First offset this index read; epochs before it were not seen.
  std::optional<base::Offset> start_;
  std::uint64_t skipped_ = 0;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_INDEX_HPP_
