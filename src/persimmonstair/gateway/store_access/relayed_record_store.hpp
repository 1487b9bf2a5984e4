#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RELAYED_RECORD_STORE_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RELAYED_RECORD_STORE_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "persimmonstair/gateway/record_store.hpp"
#include "store_access/store_path.hpp"

namespace persimmonstair::gateway::store_access {

/// @brief A record store that is called directly or, while only this instance has lost the store,
/// over connections that other instances relay.
///
/// The other instances pass bytes; the calls and all decisions about them stay here.
class RelayedRecordStore : public RecordStore {
 public:
  /// `relayed` may be null; then all calls are direct.
  RelayedRecordStore(RecordStore& direct, std::unique_ptr<RecordStore> relayed)
      : direct_(direct), relayed_(std::move(relayed)) {}

  boost::asio::awaitable<base::Result<base::Offset>> Append(
      const Partition& partition, const std::vector<KeyedRecord>& records, base::Duration timeout,
      std::optional<base::Offset> expected) override;
  boost::asio::awaitable<base::Result<RecordBatch>> Read(const Partition& partition,
                                                         base::Offset from,
                                                         ReadOptions options) override;
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewestOf(const Partition& partition,
                                                                    base::Duration timeout,
                                                                    RecordFilter filter) override;
  boost::asio::awaitable<base::Result<RecordSnapshot>> ReadNewest(const Partition& partition,
                                                                  base::Duration timeout) override;

  /// Probes the other way when that is due; never returns.
  boost::asio::awaitable<void> RunProbes();

  /// Sets the function that is called when the way has changed, so that calls in progress are lost.
  void OnChanged(std::function<void()> callback) { on_changed_ = std::move(callback); }

  /// True if calls go through other instances. Such an instance relays for no other one.
  bool IsRelayed() const { return path_.IsRelayed(); }

 private:
  /// Sends a call on the way in use. `call` takes the store to call.
  template <class T, class Call>
  boost::asio::awaitable<base::Result<T>> Send(base::Duration wait, Call call);
  boost::asio::awaitable<void> Probe();

  RecordStore& direct_;
  std::unique_ptr<RecordStore> relayed_;
  StorePath path_;
  std::function<void()> on_changed_;
};

}  // namespace persimmonstair::gateway::store_access

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STORE_ACCESS_RELAYED_RECORD_STORE_HPP_
