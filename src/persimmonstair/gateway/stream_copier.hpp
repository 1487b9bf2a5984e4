#ifndef PERSIMMONSTAIR_SRC_GATEWAY_STREAM_COPIER_HPP_
#define PERSIMMONSTAIR_SRC_GATEWAY_STREAM_COPIER_HPP_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet_registry.hpp"
#include "peer_socket.hpp"
#include "persimmonstair/turns/stream_copies.hpp"
#include "persimmonstair/turns/stream_take_ups.hpp"

namespace persimmonstair::gateway {

/// @brief An instance that holds a copy of a stream.
struct StreamKeeper {
  PeerEndpoint peer;
  std::uint64_t nonce = 0;
  /// Bytes of the output that it has acknowledged, and that it was sent.
  std::uint64_t held = 0;
  std::uint64_t sent = 0;
  /// It did not acknowledge an event in time, so the next ones aren't held back for it.
  bool late = false;
  /// Cancelled by each acknowledgement.
  std::shared_ptr<boost::asio::steady_timer> changed;
};

/// @brief The stream of a kept turn that is being forwarded to a caller.
struct CopiedStream {
  turns::StreamKey key;
  /// The caller's attempt that is answered.
  base::TurnId writer;
  /// Its place among the attempts that took the stream up.
  turns::TakeUpOrder order;
  /// Ends of the events in the output, those of earlier attempts included.
  std::vector<turns::EventEnd> ends;
  /// Bytes of the output that are copied at this instance.
  std::uint64_t copied_here = 0;
  /// Null until the first event is copied.
  std::shared_ptr<boost::asio::steady_timer> changed;
  std::vector<std::shared_ptr<StreamKeeper>> keepers;
};

/// @brief Copies the events of kept turns to other instances before callers receive them, so that a
/// stream which breaks off with its instance can be taken up at another one, whole.
///
/// Rendezvous hashing of the stream names the two keepers of its copy, in two data centres if there
/// are several, so that the instance where it is taken up finds them. Copies cost no calls of the
/// record store. An event waits for the acknowledgements for kMaxHold at most.
///
/// An attempt that takes a stream up accepts a copy only if its fencing token shows that it holds
/// the events as the caller received them, and sends the whole output on under its own one.
class StreamCopier {
 public:
  /// Longest time for which an event is held back.
  static constexpr std::chrono::milliseconds kMaxHold{30};

  /// `max_copy_bytes` bounds the copies that this instance keeps.
  StreamCopier(const boost::asio::any_io_executor& executor, PeerSocket& socket,
               FleetRegistry& fleet, std::size_t max_copy_bytes);

  /// Copies the part of `output` that the keepers lack.
  boost::asio::awaitable<void> Copy(CopiedStream& stream, const std::string& output);

  /// Returns the output of the stream up to the end of the event, as the caller received it;
  /// nothing if no instance that answers in time knows it.
  boost::asio::awaitable<std::optional<std::string>> Find(const CopiedStream& stream,
                                                          std::uint64_t event,
                                                          base::TimePoint deadline);

  /// Returns the fencing token of this instance's copy, if there is one.
  std::optional<std::uint64_t> FenceOf(const turns::StreamKey& key) const {
    return copies_.FenceOf(key);
  }

  /// Drops old copies.
  void Expire(base::TimePoint now) { copies_.Expire(now); }
  std::size_t HeldBytes() const { return copies_.Bytes(); }

 private:
  /// The answer of a keeper that is asked for a copy.
  struct PendingAnswer {
    explicit PendingAnswer(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::optional<schema::StreamCopyAnswer> answer;
    boost::asio::steady_timer changed;
  };

  void ChooseKeepers(CopiedStream& stream);
  void CopyHere(CopiedStream& stream, const std::string& output);
  /// Sends a keeper what it was not sent yet, as far as kMaxUnacknowledged allows.
  void SendMissing(const CopiedStream& stream, StreamKeeper& keeper, const std::string& output);
  boost::asio::awaitable<std::optional<std::string>> FindAt(PeerEndpoint peer,
                                                            const CopiedStream& stream,
                                                            std::uint64_t event,
                                                            base::TimePoint deadline);
  boost::asio::awaitable<std::optional<schema::StreamCopyAnswer>> Ask(
      PeerEndpoint peer, schema::FencedStreamCopyAsk fenced);
  void Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender);
  /// Adds a piece of an instance whose build knows no fencing tokens.
  void AddUnfenced(const schema::StreamPiece& piece, const PeerEndpoint& sender);
  void Add(const schema::StreamPiece& piece, std::uint64_t fence, const PeerEndpoint& sender);
  void Answer(const schema::FencedStreamCopyAsk& fenced, const PeerEndpoint& sender);

  boost::asio::any_io_executor executor_;
  PeerSocket& socket_;
  FleetRegistry& fleet_;
  turns::StreamCopies copies_;
  std::uint64_t next_nonce_;
  /// Keepers that may still acknowledge pieces, by their nonces.
  std::map<std::uint64_t, std::weak_ptr<StreamKeeper>> keepers_;
  std::map<std::uint64_t, std::shared_ptr<PendingAnswer>> answers_;
};

}  // namespace persimmonstair::gateway

#endif  // PERSIMMONSTAIR_SRC_GATEWAY_STREAM_COPIER_HPP_
