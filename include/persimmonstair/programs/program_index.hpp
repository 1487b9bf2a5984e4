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

/// Maximum number of programs in a tree, including the root.
inline constexpr std::size_t kMaxTreePrograms = 64;

/// @brief State of a program that every instance keeps. It contains no messages.
struct ProgramEntry {
  base::WorkspaceId workspace;
  /// Topmost program of the chain of parents; the program's own id if it has no parent.
  base::ProgramId root;
  base::ModelId model;
  /// Engine whose memory holds the program's earlier messages; empty for none.
  base::TargetId target;
  /// Offset of the program's newest turn, snapshot or opening record. Each turn record names the
  /// offset of the record before it, so a reader can follow this chain backwards.
  base::Offset chain;
  /// Offset of the newest snapshot or opening record.
  base::Offset snapshot;
  std::uint32_t last_turn = 0;
  /// Unplanned changes of owner since the newest turn; each may have lost a running turn.
  std::uint32_t takeovers = 0;
  /// Tokens charged for this program's recorded turns.
  std::int64_t charged_tokens = 0;

  bool operator==(const ProgramEntry&) const = default;
};

/// @brief Owner and token budget that a root program shares with all its sub-programs.
struct ProgramTree {
  base::InstanceId owner;
  base::Incarnation incarnation;
  /// Offset of the record that set the owner; it grows with each change of owner.
  base::Epoch epoch;
  /// Epoch that the newest OwnerRecord replaced.
  base::Epoch previous;
  std::int64_t budget_tokens = 0;
  /// Tokens charged for sub-programs that have ended.
  std::int64_t closed_tokens = 0;
  /// False if an OwnerRecord was read but no record with the state of the programs yet.
  bool known = true;
  /// Programs of the tree, including the root.
  std::vector<base::ProgramId> members;

  bool operator==(const ProgramTree&) const = default;
};

/// @brief Validity checks that tests switch off to show that the simulation notices their absence.
/// All are on outside tests.
struct IndexChecks {
  bool epoch = true;
  bool turn_number = true;
};

/// @brief State of all programs, computed from the retained records of the `programs` stream alone.
///
/// A program and its sub-programs change owner together by one OwnerRecord of the root. A repeated
/// record is invalid because of its turn number, epoch or program id, so no record ids are kept.
///
///     index.Apply(offset, record);
///     if (const ProgramEntry* entry = index.Find(program)) Forward(index.TreeOf(*entry).owner);
class ProgramIndex {
 public:
  explicit ProgramIndex(IndexChecks checks = {}) : checks_(checks) {}

  /// Applies the record and returns true if it is valid. An invalid record, or one of another type,
  /// does not change the programs.
  bool Apply(base::Offset offset, const schema::Record& record);

  /// Forgets ended programs, and trees known only by an OwnerRecord, if their record lies before
  /// `oldest`, the oldest retained offset.
  void DiscardBefore(base::Offset oldest);

  /// Null for unknown and ended programs.
  const ProgramEntry* Find(const base::ProgramId& program) const;
  const ProgramTree& TreeOf(const ProgramEntry& entry) const;
  /// Roots of the trees that the instance owns under any of its incarnations.
  std::vector<base::ProgramId> RootsOf(const base::InstanceId& owner) const;

  const std::unordered_map<base::ProgramId, ProgramEntry>& Programs() const { return programs_; }
  /// Offset after that of the newest applied record.
  base::Offset Next() const { return next_; }
  std::size_t size() const { return programs_.size(); }
  /// Estimated heap bytes.
  std::size_t Bytes() const;
  /// Number of records that were not valid.
  std::uint64_t Skipped() const { return skipped_; }

  /// JSON text of the whole state; equal states have equal texts.
  std::string Snapshot() const;
  /// Replaces the state with a snapshot. Returns kInvalidRequest, with the state unchanged, if the
  /// snapshot is malformed.
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
  /// Offset and epoch of a ProgramEnded record.
  struct EndedProgram {
    base::Offset offset;
    base::Epoch epoch;
  };
  struct CurrentEntry {
    ProgramEntry* entry = nullptr;
    ProgramTree* tree = nullptr;
  };

  /// The program and its tree, or null pointers if the record's workspace or epoch is not current.
  template <class T>
  CurrentEntry FindCurrent(const T& record);
  /// Adds a program whose records before this snapshot were not read.
  bool AddFromSnapshot(base::Offset offset, const schema::ProgramSnapshot& record);
  bool AddTreeFromSnapshot(const base::ProgramId& root, base::Epoch epoch, ProgramTree tree);
  void EraseTree(const base::ProgramId& root);
  bool ApplyOwnerOfUnreadTree(const schema::OwnerRecord& record, base::Offset offset);

  IndexChecks checks_;
  std::unordered_map<base::ProgramId, ProgramEntry> programs_;
  std::unordered_map<base::ProgramId, ProgramTree> trees_;
  /// Ended programs by hash of their id. A late record of one of them must not add it again.
  std::unordered_map<std::uint64_t, EndedProgram> ended_;
  base::Offset next_;
  /// Offset of the first record that this index read. Records that set earlier epochs are unknown.
  std::optional<base::Offset> start_;
  std::uint64_t skipped_ = 0;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_PROGRAM_INDEX_HPP_
