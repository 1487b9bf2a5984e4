#include "connection_table.hpp"

namespace persimmonstair::gateway {
namespace {

/// Connections that are looked at for one that can be ended.
constexpr std::size_t kMaxTries = 8;

}  // namespace

ConnectionTable::Place::Place(std::shared_ptr<ConnectionTable> table, base::TimePoint now,
                              Evict evict)
    : table_(std::move(table)), evict_(std::move(evict)), since_(now) {
  auto& list = table_->ListOf(phase_);
  at_ = list.insert(list.end(), this);
  ++table_->size_;
}

ConnectionTable::Place::~Place() {
  if (evicted_) return;
  table_->ListOf(phase_).erase(at_);
  --table_->size_;
}

void ConnectionTable::Place::Set(ConnectionPhase phase, base::TimePoint now) {
  since_ = now;
  if (evicted_) return;
  auto& list = table_->ListOf(phase);
  list.splice(list.end(), table_->ListOf(phase_), at_);
  phase_ = phase;
}

void ConnectionTable::Remove(Place& place) {
  ListOf(place.phase_).erase(place.at_);
  --size_;
  place.evicted_ = true;
}

bool ConnectionTable::EndOldest(ConnectionPhase phase) {
  auto& list = ListOf(phase);
  for (std::size_t n = 0; n < kMaxTries && !list.empty(); ++n) {
    Place& oldest = *list.front();
    if (oldest.evict_(Eviction::kConnections)) {
      Remove(oldest);
      return true;
    }
    list.splice(list.end(), list, oldest.at_);
  }
  return false;
}

bool ConnectionTable::MakeRoom(base::TimePoint now) {
  while (size_ >= max_) {
    const bool ended = EndOldest(ConnectionPhase::kUnused) || EndOldest(ConnectionPhase::kIdle) ||
                       EndOldest(ConnectionPhase::kReadingHead) ||
                       EndStalled(now, Eviction::kConnections);
    if (!ended) return false;
  }
  return true;
}

bool ConnectionTable::EndStalled(base::TimePoint now, Eviction reason) {
  auto& reading = ListOf(ConnectionPhase::kReading);
  if (reading.empty() || now - reading.front()->since_ < kStallTime) return false;
  Place& oldest = *reading.front();
  oldest.evict_(reason);
  if (reason == Eviction::kConnections) {
    Remove(oldest);
  } else {
    // It keeps its place until its answer is written.
    oldest.Set(ConnectionPhase::kServing, now);
  }
  return true;
}

}  // namespace persimmonstair::gateway
