#ifndef PERSIMMONSTAIR_SRC_GATEWAY_CONNECTION_TABLE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_CONNECTION_TABLE_HPP_

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <utility>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::gateway {

/// @brief What a caller's connection does.
enum class ConnectionPhase {
  /// It has not carried a request yet.
  kUnused,
  /// It is kept open between two requests.
  kIdle,
  /// The head of a request is being read.
  kReadingHead,
  /// The body of a request is being read.
  kReading,
  /// A request is being served, or waits for room.
  kServing,
};

/// @brief Why a connection is ended.
enum class Eviction {
  /// There are too many connections.
  kConnections,
  /// A request needs the memory that this one holds.
  kMemory,
};

/// @brief The callers' connections of an instance. At the bound it ends those that are least worth:
/// first unused ones, then idle ones, then those without a whole head, then those whose body has
/// stopped arriving.
class ConnectionTable {
 public:
  /// Time without a byte after which a request that is being read may be ended for another one.
  static constexpr std::chrono::milliseconds kStallTime{1000};

  /// Ends a connection, unless it has become busy; returns whether it does. Must not change the
  /// table.
  using Evict = std::function<bool(Eviction reason)>;

  /// @brief A connection's place in the table, from its acceptance to its end.
  class Place {
   public:
    Place(std::shared_ptr<ConnectionTable> table, base::TimePoint now, Evict evict);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

    /// Sets the phase; also notes progress in it.
    void Set(ConnectionPhase phase, base::TimePoint now);

   private:
    friend class ConnectionTable;
    /// Shared, as suspended coroutines give their places back after the gateway is gone.
    std::shared_ptr<ConnectionTable> table_;
    Evict evict_;
    ConnectionPhase phase_ = ConnectionPhase::kUnused;
    base::TimePoint since_;
    bool evicted_ = false;
    std::list<Place*>::iterator at_;
  };

  explicit ConnectionTable(std::size_t max) : max_(max) {}

  std::size_t Size() const { return size_; }
  std::size_t Max() const { return max_; }
  /// True if there is a place for one more, for which a connection may have been ended.
  bool MakeRoom(base::TimePoint now);
  /// Ends the request that has stopped arriving for the longest time; false if there is none.
  bool EndStalled(base::TimePoint now, Eviction reason);

 private:
  std::list<Place*>& ListOf(ConnectionPhase phase) {
    return lists_.at(static_cast<std::size_t>(phase));
  }
  /// Ends one of the oldest connections of the phase; false if none of them can be.
  bool EndOldest(ConnectionPhase phase);
  void Remove(Place& place);

  std::size_t max_;
  std::size_t size_ = 0;
  /// Connections by phase, the one whose last progress is oldest first.
  std::array<std::list<Place*>, 5> lists_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_CONNECTION_TABLE_HPP_
