#include "persimmonstair/net/peer_transport.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <set>
#include <stdexcept>
#include <string>

#include "persimmonstair/net/frame.hpp"
#include "persimmonstair/schema/codec.hpp"
#include "test_socket.hpp"

namespace persimmonstair::net {
namespace {

constexpr const char* kKey = "fleet-key-of-the-tests-0123456789";

struct Received {
  base::InstanceId from;
  base::Incarnation incarnation;
  schema::PeerMessage message;
};
struct Failed {
  base::InstanceId to;
  schema::PeerMessage message;
  bool sent = false;
};

// Transport of one instance and the messages and failures that it reported.
struct Node {
  TestQueue<Received> received;
  TestQueue<Failed> failed;
  std::unique_ptr<PeerTransport> transport;

  explicit Node(const std::string& id, std::uint64_t incarnation = 5) {
    PeerTransportOptions options;
    options.instance = {id};
    options.incarnation = {incarnation};
    options.fleet_key = kKey;
    options.backoff_min = std::chrono::milliseconds(5);
    PeerTransportHandlers handlers;
    handlers.on_message = [this](base::InstanceId from, base::Incarnation number,
                                 schema::PeerMessage message) {
      received.Push({std::move(from), number, std::move(message)});
    };
    handlers.on_send_failed = [this](base::InstanceId to, schema::PeerMessage message, bool sent) {
      failed.Push({std::move(to), std::move(message), sent});
    };
    auto started = StartPeerTransport(options, handlers);
    if (!started) throw std::runtime_error(started.error().message);
    transport = std::move(*started);
  }
  ~Node() { transport->Stop(); }

  void AddPeer(const std::string& id, const Node& other) {
    transport->SetPeer(
        {{id}, {"dc1"}, "127.0.0.1", other.transport->UdpPort(), other.transport->TcpPort()});
  }
};

schema::PeerMessage NumberedMessage(std::uint64_t number) {
  return schema::KeyWithdrawn{{"k"}, number};
}

std::uint64_t NumberOf(const schema::PeerMessage& message) {
  const auto* withdrawn = std::get_if<schema::KeyWithdrawn>(&message);
  return withdrawn == nullptr ? 0 : withdrawn->catalogue_version;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

FrameHeader HeaderOf(std::uint64_t sequence) { return {{"b"}, {"a"}, {5}, sequence, WallMs(), {}}; }

void SendRaw(const Node& to, const std::string& bytes) {
  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket(context, boost::asio::ip::udp::v4());
  socket.send_to(boost::asio::buffer(bytes),
                 {boost::asio::ip::make_address("127.0.0.1"), to.transport->UdpPort()});
}

// Sends a valid datagram and expects it as the next message. Datagrams on loopback arrive in order,
// so every datagram sent before was handled when it arrives.
void SendAndExpectNext(Node& node, std::uint64_t sequence) {
  SendRaw(node, SealFrame(HeaderOf(sequence), schema::EncodePeer(NumberedMessage(sequence)), kKey));
  EXPECT_EQ(NumberOf(node.received.Pop().message), sequence);
}

TEST(FrameTest, ChangedOrTruncatedFramesAreRejected) {
  const std::string frame = SealFrame(HeaderOf(1), "payload", kKey);
  EXPECT_EQ(OpenFrame(frame, kKey)->payload, "payload");
  for (std::size_t n = 0; n < frame.size(); ++n) {
    std::string changed = frame;
    changed[n] = static_cast<char>(changed[n] ^ 1);
    EXPECT_FALSE(OpenFrame(changed, kKey).has_value()) << n;
    EXPECT_FALSE(OpenFrame(frame.substr(0, n), kKey).has_value()) << n;
  }
  EXPECT_FALSE(OpenFrame(frame, "another key").has_value());
}

TEST(ReplayFilterTest, AcceptsEachNumberOnceInAnyOrder) {
  ReplayFilter filter;
  const std::int64_t now = 1'000'000;
  const auto accept = [&](std::uint64_t sequence, std::uint64_t incarnation = 5) {
    return filter.Accept({{"b"}, {"a"}, {incarnation}, sequence, now, {}}, now);
  };
  EXPECT_TRUE(accept(10));
  EXPECT_FALSE(accept(10));
  EXPECT_TRUE(accept(9));
  EXPECT_FALSE(accept(9));
  EXPECT_FALSE(accept(0));
  EXPECT_TRUE(accept(10 + ReplayFilter::kWindow));
  EXPECT_FALSE(accept(10));
  EXPECT_TRUE(accept(11));
  EXPECT_TRUE(accept(100'000));
  EXPECT_FALSE(accept(100'000 - ReplayFilter::kWindow));
  EXPECT_TRUE(accept(100'001 - ReplayFilter::kWindow));
  // A restarted sender starts again at 1, and datagrams of its earlier incarnation are rejected.
  EXPECT_TRUE(accept(1, 6));
  EXPECT_FALSE(accept(100'002, 5));
}

// Guards against replaying recorded datagrams to a receiver that has restarted.
TEST(ReplayFilterTest, FirstFrameOfAProcessMustBeRecent) {
  ReplayFilter filter;
  const FrameHeader old{{"b"}, {"a"}, {5}, 1, 1'000, {}};
  EXPECT_FALSE(filter.Accept(old, 1'000 + ReplayFilter::kMaxAgeMs + 1));
  EXPECT_TRUE(filter.Accept(old, 1'000 + ReplayFilter::kMaxAgeMs));
}

TEST(PeerTransportTest, DatagramsAndReliableMessagesArriveWithTheirSender) {
  Node a("a");
  Node b("b", 9);
  b.AddPeer("a", a);
  b.transport->SendDatagram({"a"}, NumberedMessage(1));
  auto received = a.received.Pop();
  EXPECT_EQ(received.from.value, "b");
  EXPECT_EQ(received.incarnation.value, 9U);
  b.transport->Broadcast(NumberedMessage(2));
  EXPECT_EQ(NumberOf(a.received.Pop().message), 2U);
  const schema::PeerMessage large = schema::ReplicateTurn{{"r"}, std::string(3U << 20U, 'x')};
  b.transport->SendReliable({"a"}, large);
  for (std::uint64_t n = 3; n < 20; ++n) b.transport->SendReliable({"a"}, NumberedMessage(n));
  EXPECT_EQ(a.received.Pop().message, large);
  for (std::uint64_t n = 3; n < 20; ++n) EXPECT_EQ(NumberOf(a.received.Pop().message), n);
  EXPECT_EQ(b.failed.size(), 0U);
}

TEST(PeerTransportTest, InvalidDatagramsAreDroppedAndCounted) {
  Node a("a");
  const std::string payload = schema::EncodePeer(NumberedMessage(1));
  SendRaw(a, SealFrame(HeaderOf(1), payload, "another fleet key 0123456789"));
  SendRaw(a, "short");
  SendAndExpectNext(a, 2);
  SendRaw(a, SealFrame(HeaderOf(2), payload, kKey));
  auto other = HeaderOf(3);
  other.to = {"c"};
  SendRaw(a, SealFrame(other, payload, kKey));
  auto reflected = HeaderOf(3);
  reflected.from = {"a"};
  SendRaw(a, SealFrame(reflected, payload, kKey));
  SendRaw(a, SealFrame(HeaderOf(4), "not a message", kKey));
  SendRaw(a, SealFrame(HeaderOf(5), std::string(kMaxDatagramBytes, 'x'), kKey));
  SendAndExpectNext(a, 6);
  const auto stats = a.transport->Stats();
  EXPECT_EQ(stats.forged, 2U);
  EXPECT_EQ(stats.replayed, 3U);
  EXPECT_EQ(stats.malformed, 1U);
  EXPECT_EQ(stats.oversized, 1U);
  EXPECT_EQ(stats.received, 2U);
}

// Guards against accepting frames of an earlier connection, forged frames, frames out of sequence
// and oversized frames.
TEST(PeerTransportTest, ConnectionsWithInvalidFramesAreClosed) {
  Node a("a");
  const auto framed = [](const std::string& frame) {
    std::string out(4, '\0');
    for (int n = 0; n < 4; ++n) out[n] = static_cast<char>((frame.size() >> (24 - 8 * n)) & 0xffU);
    return out + frame;
  };
  const std::string payload = schema::EncodePeer(NumberedMessage(1));
  const auto closes = [&](const std::function<std::string(const std::string&)>& make) {
    TestSocket socket(a.transport->TcpPort());
    std::string connection_nonce(16, '\0');
    boost::asio::read(socket.socket(), boost::asio::buffer(connection_nonce));
    socket.Send(make(connection_nonce));
    EXPECT_EQ(socket.ReadAll(), "");
  };
  const auto sealed = [&](const std::string& connection_nonce, std::uint64_t sequence,
                          const char* key) {
    auto header = HeaderOf(sequence);
    header.connection_nonce = connection_nonce;
    return framed(SealFrame(header, payload, key));
  };
  closes([&](const std::string&) { return sealed(std::string(16, 'x'), 1, kKey); });
  closes([&](const std::string& connection_nonce) { return sealed(connection_nonce, 2, kKey); });
  closes([&](const std::string& connection_nonce) {
    return sealed(connection_nonce, 1, "wrong key");
  });
  closes([&](const std::string&) { return std::string("\x7f\xff\xff\xff"); });
  EXPECT_EQ(a.received.size(), 0U);
  // The second frame with the same sequence number closes the connection.
  closes([&](const std::string& connection_nonce) {
    return sealed(connection_nonce, 1, kKey) + sealed(connection_nonce, 1, kKey);
  });
  EXPECT_EQ(NumberOf(a.received.Pop().message), 1U);
  EXPECT_EQ(a.received.size(), 1U);
}

TEST(PeerTransportTest, MessageToUnreachablePeerFailsAsNotSent) {
  Node b("b");
  b.transport->SendReliable({"unknown"}, NumberedMessage(1));
  EXPECT_FALSE(b.failed.Pop().sent);
  std::uint16_t port = 0;
  {
    port = TestServer([](TestSocket&) {}).Port();
  }
  b.transport->SetPeer({{"a"}, {"dc1"}, "127.0.0.1", port, port});
  b.transport->SendReliable({"a"}, NumberedMessage(2));
  const auto failed = b.failed.Pop();
  EXPECT_FALSE(failed.sent);
  EXPECT_EQ(failed.to.value, "a");
  EXPECT_EQ(NumberOf(failed.message), 2U);
}

TEST(PeerTransportTest, ReconnectsAfterThePeerRestarted) {
  Node b("b");
  auto a = std::make_unique<Node>("a");
  const auto port = a->transport->TcpPort();
  b.AddPeer("a", *a);
  b.transport->SendReliable({"a"}, NumberedMessage(1));
  EXPECT_EQ(NumberOf(a->received.Pop().message), 1U);
  a.reset();
  PeerTransportOptions options;
  options.instance = {"a"};
  options.incarnation = {6};
  options.fleet_key = kKey;
  options.tcp_port = port;
  TestQueue<std::uint64_t> numbers;
  PeerTransportHandlers handlers;
  handlers.on_message = [&](base::InstanceId, base::Incarnation, schema::PeerMessage message) {
    numbers.Push(NumberOf(message));
  };
  auto again = StartPeerTransport(options, handlers);
  ASSERT_TRUE(again.has_value()) << again.error().message;
  // A message written to the broken connection may be lost, but a later one must arrive.
  for (std::uint64_t n = 2; numbers.size() == 0; ++n) {
    b.transport->SendReliable({"a"}, NumberedMessage(n));
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_GE(numbers.Pop(), 2U);
  (*again)->Stop();
}

TEST(PeerTransportTest, InjectedFaultsLoseAndReorderButNeverDeliverTwice) {
  Node a("a");
  Node b("b");
  b.AddPeer("a", a);
  LinkFaults faults;
  faults.seed = 7;
  faults.loss = 0.3;
  faults.duplication = 0.3;
  faults.reordering = 0.3;
  b.transport->SetFaults(faults);
  for (std::uint64_t n = 1; n <= 200; ++n) b.transport->SendDatagram({"a"}, NumberedMessage(n));
  b.transport->SetFaults({});
  b.transport->SendDatagram({"a"}, NumberedMessage(1'000));
  std::vector<std::uint64_t> order;
  // At most one delayed datagram may still arrive after the last one; it is not read.
  do {
    order.push_back(NumberOf(a.received.Pop().message));
  } while (order.back() != 1'000);
  const std::set<std::uint64_t> distinct(order.begin(), order.end());
  EXPECT_EQ(distinct.size(), order.size());
  EXPECT_LT(order.size(), 200U);
  EXPECT_FALSE(std::is_sorted(order.begin(), order.end()));
  EXPECT_GT(a.transport->Stats().replayed, 0U);
}

TEST(PeerTransportTest, DownLinkCarriesNothingUntilRestored) {
  Node a("a");
  Node b("b");
  b.AddPeer("a", a);
  b.transport->SendReliable({"a"}, NumberedMessage(1));
  EXPECT_EQ(NumberOf(a.received.Pop().message), 1U);
  b.transport->SetLinkDown({"a"}, true);
  b.transport->SendDatagram({"a"}, NumberedMessage(2));
  b.transport->SendReliable({"a"}, NumberedMessage(3));
  Failed failed = b.failed.Pop();
  if (NumberOf(failed.message) == 1U) {
    // The link was cut before the sender learned that the write of message 1 was complete.
    EXPECT_TRUE(failed.sent);
    failed = b.failed.Pop();
  }
  EXPECT_EQ(NumberOf(failed.message), 3U);
  EXPECT_FALSE(failed.sent);
  b.transport->SetLinkDown({"a"}, false);
  b.transport->SendDatagram({"a"}, NumberedMessage(4));
  EXPECT_EQ(NumberOf(a.received.Pop().message), 4U);
}

TEST(PeerTransportTest, EmptyFleetKeyOrInvalidAddressIsAnError) {
  EXPECT_FALSE(StartPeerTransport({}, {}).has_value());
  PeerTransportOptions options;
  options.fleet_key = kKey;
  options.bind_address = "nowhere";
  EXPECT_FALSE(StartPeerTransport(options, {}).has_value());
}

}  // namespace
}  // namespace persimmonstair::net
