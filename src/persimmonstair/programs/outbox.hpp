#ifndef PERSIMMONSTAIR_PROGRAMS_OUTBOX_HPP_
#define PERSIMMONSTAIR_PROGRAMS_OUTBOX_HPP_

#include <map>
#include <string>

#include "persimmonstair/programs/program_store.hpp"

namespace persimmonstair::programs {

/// @brief Records that this instance appended and has not read back from the log yet.
///
/// A record is sent again, with the same id, only if its append failed, or if the result of the
/// append is unknown and a later read to the end of the stream did not contain the record.
class Outbox {
 public:
  explicit Outbox(const ProgramOptions& options) : options_(options) {}

  /// Returns a new id that is unique among all instances.
  base::RecordId NewId();
  void Send(const base::Now& now, const base::RecordId& id, schema::Record record,
            ProgramActions& out);
  void OnResult(const base::RecordId& id, AppendResult result);
  /// Removes the record. Returns true if this instance sent it and had not read it before.
  bool OnRead(const base::RecordId& id) { return records_.erase(id) > 0; }
  /// A read has reached the end of the stream: unknown results of appends count as failed.
  void OnReadToEnd();
  /// Sends records with failed appends again, each at most once per repeat interval.
  void ResendMissing(const base::Now& now, ProgramActions& out);
  void Drop(const base::RecordId& id) { records_.erase(id); }
  bool Contains(const base::RecordId& id) const { return records_.contains(id); }
  std::size_t size() const { return records_.size(); }

 private:
  enum class AppendState { kInFlight, kAppended, kMissing, kUnknown };
  struct Item {
    schema::Record record;
    AppendState state = AppendState::kInFlight;
    base::TimePoint sent_at;
  };

  ProgramOptions options_;
  std::map<base::RecordId, Item> records_;
  std::uint64_t next_ = 0;
};

}  // namespace persimmonstair::programs

#endif  // PERSIMMONSTAIR_PROGRAMS_OUTBOX_HPP_
