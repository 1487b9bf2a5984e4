#include "stream_copier.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "clock.hpp"
#include "nonce.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::gateway {
namespace {

using boost::asio::awaitable;
using std::chrono::milliseconds;

constexpr std::size_t kKeepers = 2;
/// Instances that are asked for a copy: the keepers, and those that may have taken their places in
/// the view of the instance that copied.
constexpr std::size_t kMaxAsked = 4;
/// Time after which pieces and questions are sent again, for lost datagrams.
constexpr milliseconds kResendInterval{10};
constexpr int kMaxAsks = 4;
/// Bytes that a keeper is sent before it acknowledges them.
constexpr std::uint64_t kMaxUnacknowledged = 10'000;
/// Bytes of a stream's output in a datagram. The rest is for names.
constexpr std::size_t kMaxPieceBytes = 600;
constexpr std::size_t kMaxNameBytes = 700;

std::string TextOf(const turns::StreamKey& key) {
  return key.workspace.value + "/" + key.stream.value;
}

// Returns the piece of the output at `offset`: an event, or as much of it as a datagram holds.
schema::StreamPiece PieceAt(const CopiedStream& stream, const std::string& output,
                            std::uint64_t offset) {
  const auto end = std::find_if(stream.ends.begin(), stream.ends.end(),
                                [offset](const turns::EventEnd& one) { return one.size > offset; });
  const std::uint64_t size = std::min<std::uint64_t>(end->size - offset, kMaxPieceBytes);
  schema::StreamPiece piece;
  piece.workspace = stream.key.workspace;
  piece.stream = stream.key.stream;
  piece.writer = stream.writer;
  piece.offset = offset;
  piece.event = end->event;
  piece.ends = offset + size == end->size;
  piece.data = output.substr(offset, size);
  return piece;
}

turns::StreamPart PartOf(const schema::StreamPiece& piece, std::uint64_t fence) {
  return {fence, piece.offset, piece.event, piece.ends, piece.data};
}

/// Waits until the timer is cancelled, for at most `time`.
awaitable<void> WaitForChange(boost::asio::steady_timer& changed, base::Duration time) {
  changed.expires_after(time);
  co_await changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

bool HasAll(const StreamKeeper& keeper, const std::string& output) {
  return keeper.held >= output.size();
}

}  // namespace

StreamCopier::StreamCopier(const boost::asio::any_io_executor& executor, PeerSocket& socket,
                           FleetRegistry& fleet, std::size_t max_copy_bytes)
    : executor_(executor),
      socket_(socket),
      fleet_(fleet),
      copies_(max_copy_bytes),
      next_nonce_(RandomNonce()) {
  socket_.OnMessage([this](const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
    Handle(message, sender);
  });
}

void StreamCopier::ChooseKeepers(CopiedStream& stream) {
  std::erase_if(keepers_, [](const auto& one) { return one.second.expired(); });
  stream.changed = std::make_shared<boost::asio::steady_timer>(executor_);
  const bool fits = stream.key.workspace.value.size() + stream.key.stream.value.size() +
                        stream.writer.value.size() <=
                    kMaxNameBytes;
  if (!fits) return;
  for (const auto& endpoint : fleet_.StreamKeepers(TextOf(stream.key))) {
    const auto peer = ToPeerEndpoint(endpoint);
    if (!peer) continue;
    auto keeper = std::make_shared<StreamKeeper>();
    keeper->peer = *peer;
    keeper->nonce = next_nonce_++;
    keeper->changed = stream.changed;
    keepers_[keeper->nonce] = keeper;
    stream.keepers.push_back(std::move(keeper));
    if (stream.keepers.size() == kKeepers) break;
  }
}

void StreamCopier::CopyHere(CopiedStream& stream, const std::string& output) {
  while (stream.copied_here < output.size()) {
    const schema::StreamPiece piece = PieceAt(stream, output, stream.copied_here);
    copies_.Add(Now(), stream.key, PartOf(piece, stream.order.fence));
    stream.copied_here += piece.data.size();
  }
}

void StreamCopier::SendMissing(const CopiedStream& stream, StreamKeeper& keeper,
                               const std::string& output) {
  keeper.sent = std::max(keeper.sent, keeper.held);
  while (keeper.sent < output.size() && keeper.sent - keeper.held < kMaxUnacknowledged) {
    schema::StreamPiece piece = PieceAt(stream, output, keeper.sent);
    piece.nonce = keeper.nonce;
    keeper.sent += piece.data.size();
    socket_.Send(schema::FencedStreamPiece{std::move(piece), stream.order.fence}, keeper.peer);
  }
}

awaitable<void> StreamCopier::Copy(CopiedStream& stream, const std::string& output) {
  if (!stream.changed) ChooseKeepers(stream);
  CopyHere(stream, output);
  const base::TimePoint until = Now() + kMaxHold;
  base::TimePoint resend_at = Now() + kResendInterval;
  for (;;) {
    bool waits = false;
    for (const auto& keeper : stream.keepers) {
      SendMissing(stream, *keeper, output);
      waits = waits || !(keeper->late || HasAll(*keeper, output));
    }
    if (!waits || Now() >= until) break;
    co_await WaitForChange(*stream.changed, std::min(until, resend_at) - Now());
    if (Now() < resend_at) continue;
    resend_at = Now() + kResendInterval;
    for (const auto& keeper : stream.keepers) keeper->sent = keeper->held;
  }
  for (const auto& keeper : stream.keepers) {
    const bool late = !HasAll(*keeper, output);
    if (late && !keeper->late) {
      diagnostics::Log(diagnostics::Level::kInfo, "stream_copy_late",
                       {{"request", stream.writer.value},
                        {"peer", keeper->peer.address().to_string()},
                        {"held", keeper->held},
                        {"size", output.size()}});
    }
    keeper->late = late;
  }
}

awaitable<std::optional<std::string>> StreamCopier::Find(const CopiedStream& stream,
                                                         std::uint64_t event,
                                                         base::TimePoint deadline) {
  const auto here = copies_.Find(stream.key, event, stream.order.least_fence);
  if (here) co_return std::string(*here);
  std::vector<dispatch::Endpoint> candidates = fleet_.StreamKeepers(TextOf(stream.key));
  candidates.resize(std::min(candidates.size(), kMaxAsked));
  for (const auto& endpoint : candidates) {
    const auto peer = ToPeerEndpoint(endpoint);
    if (!peer || Now() >= deadline) continue;
    auto output = co_await FindAt(*peer, stream, event, deadline);
    if (output) co_return output;
  }
  co_return std::nullopt;
}

awaitable<std::optional<std::string>> StreamCopier::FindAt(PeerEndpoint peer,
                                                           const CopiedStream& stream,
                                                           std::uint64_t event,
                                                           base::TimePoint deadline) {
  std::string output;
  std::optional<std::uint64_t> size;
  while (Now() < deadline) {
    const turns::StreamKey& key = stream.key;
    schema::FencedStreamCopyAsk fenced;
    fenced.ask = {0, key.workspace, key.stream, event, output.size()};
    fenced.least_fence = stream.order.least_fence;
    const auto answer = co_await Ask(peer, std::move(fenced));
    if (!answer || !answer->known || answer->size < output.size()) co_return std::nullopt;
    // Another size is that of another copy.
    if (size.value_or(answer->size) != answer->size) co_return std::nullopt;
    size = answer->size;
    output += answer->data;
    if (output.size() >= answer->size) co_return output;
    if (answer->data.empty()) co_return std::nullopt;
  }
  co_return std::nullopt;
}

awaitable<std::optional<schema::StreamCopyAnswer>> StreamCopier::Ask(
    PeerEndpoint peer, schema::FencedStreamCopyAsk fenced) {
  const std::uint64_t nonce = next_nonce_++;
  fenced.ask.nonce = nonce;
  const auto pending = std::make_shared<PendingAnswer>(executor_);
  answers_[nonce] = pending;
  for (int n = 0; n < kMaxAsks && !pending->answer; ++n) {
    if (!socket_.Send(fenced, peer)) break;
    co_await WaitForChange(pending->changed, kResendInterval);
  }
  answers_.erase(nonce);
  co_return std::move(pending->answer);
}

void StreamCopier::Handle(const schema::EntryPeerMessage& message, const PeerEndpoint& sender) {
  if (const auto* fenced = std::get_if<schema::FencedStreamPiece>(&message)) {
    Add(fenced->piece, fenced->fence, sender);
  } else if (const auto* piece = std::get_if<schema::StreamPiece>(&message)) {
    AddUnfenced(*piece, sender);
  } else if (const auto* ack = std::get_if<schema::StreamPieceAck>(&message)) {
    const auto it = keepers_.find(ack->nonce);
    const auto keeper = it == keepers_.end() ? nullptr : it->second.lock();
    if (!keeper) return;
    keeper->held = std::max(keeper->held, ack->held);
    keeper->changed->cancel();
  } else if (const auto* ask = std::get_if<schema::FencedStreamCopyAsk>(&message)) {
    Answer(*ask, sender);
  } else if (const auto* answer = std::get_if<schema::StreamCopyAnswer>(&message)) {
    const auto it = answers_.find(answer->nonce);
    if (it == answers_.end()) return;
    it->second->answer = *answer;
    it->second->changed.cancel();
  }
}

void StreamCopier::Add(const schema::StreamPiece& piece, std::uint64_t fence,
                       const PeerEndpoint& sender) {
  const turns::StreamKey key{piece.workspace, piece.stream};
  const std::uint64_t held = copies_.Add(Now(), key, PartOf(piece, fence));
  socket_.Send(schema::StreamPieceAck{piece.nonce, held}, sender);
}

void StreamCopier::AddUnfenced(const schema::StreamPiece& piece, const PeerEndpoint& sender) {
  if (piece.writer == piece.stream) {
    Add(piece, 0, sender);
    return;
  }
  // The place of this take-up among the others is unknown.
  copies_.Drop({piece.workspace, piece.stream});
}

void StreamCopier::Answer(const schema::FencedStreamCopyAsk& fenced, const PeerEndpoint& sender) {
  const schema::StreamCopyAsk& ask = fenced.ask;
  schema::StreamCopyAnswer answer{ask.nonce, false, 0, {}};
  const auto output = copies_.Find({ask.workspace, ask.stream}, ask.event, fenced.least_fence);
  if (output && ask.offset <= output->size()) {
    answer.known = true;
    answer.size = output->size();
    answer.data = output->substr(ask.offset, kMaxPieceBytes);
  }
  socket_.Send(answer, sender);
}

}  // namespace persimmonstair::gateway
