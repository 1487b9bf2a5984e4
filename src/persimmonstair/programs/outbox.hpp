#ifndef PERSIMMONSTAIR_PROGRAMS_OUTBOX_HPP_
#define PERSIMMONSTAIR_PROGRAMS_OUTBOX_HPP_

#include <map>
#include <string>

#include "persimmonstair/programs/program_store.hpp"

namespace persimmonstair::programs {

/// @brief Records of one instance that were not read back from the log yet. A record is sent again,
/// under the same id, only when it is known to be missing or when a read to the end of the stream
/// after a lost append answer did not show it.
class Outbox {
 public:
  explicit Outbox(const ProgramOptions& options) : options_(options) {}

  /// A new id, unique over the fleet.
  base::RecordId NewId();
  void Send(const base::Now& now, const base::RecordId& id, schema::Record record,
            ProgramActions& out);
  void OnResult(const base::RecordId& id, AppendResult result);
  /// Returns true if the record was sent by this instance and not read before.
  bool OnRead(const base::RecordId& id) { return records_.erase(id) > 0; }
  void OnReadToEnd();
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
