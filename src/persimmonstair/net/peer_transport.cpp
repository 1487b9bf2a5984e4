#include "persimmonstair/net/peer_transport.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <random>
#include <thread>

#include "peer_receiver.hpp"
#include "peer_sender.hpp"
#include "peer_transport_state.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

// Limit of incoming connections whose peer is not authenticated yet; further ones are closed at
// once.
constexpr std::int64_t kMaxUnauthenticated = 64;
// Upper bound for the header, MAC and connection nonce of a frame.
constexpr std::size_t kMaxFrameOverheadBytes = 1U << 10U;
// Pause after a failed accept, for example while no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

class Transport : public PeerTransport {
 public:
  Transport(PeerTransportOptions options, PeerTransportHandlers handlers)
      : shared_state_(
            std::make_shared<PeerTransportState>(std::move(options), std::move(handlers))),
        udp_socket_(shared_state_->context),
        acceptor_(shared_state_->context),
        accept_retry_timer_(shared_state_->context) {}
  ~Transport() override { Shutdown(); }

  base::Result<void> Open();

  void SendDatagram(const base::InstanceId& to, const schema::PeerMessage& message) override {
    asio::post(shared_state_->context, [this, to, payload = schema::EncodePeer(message)] {
      if (const auto it = peers_.find(to); it != peers_.end()) SealAndSend(*it->second, payload);
    });
  }
  void Broadcast(const schema::PeerMessage& message) override {
    asio::post(shared_state_->context, [this, payload = schema::EncodePeer(message)] {
      for (const auto& [id, sender] : peers_) SealAndSend(*sender, payload);
    });
  }
  void SendReliable(const base::InstanceId& to, schema::PeerMessage message) override {
    asio::post(shared_state_->context, [this, to, message = std::move(message)] {
      const auto it = peers_.find(to);
      if (it == peers_.end()) return shared_state_->handlers.on_send_failed(to, message, false);
      std::string payload = schema::EncodePeer(message);
      if (payload.size() + kMaxFrameOverheadBytes > kMaxFrameBytes) {
        ++shared_state_->oversized;
        return shared_state_->handlers.on_send_failed(to, message, false);
      }
      it->second->Send(std::move(payload));
    });
  }
  void SetPeer(const schema::PeerSettings& peer) override {
    asio::post(shared_state_->context, [this, peer] { AddPeer(peer); });
  }
  void SetFaults(const LinkFaults& faults) override {
    asio::post(shared_state_->context, [this, faults] {
      faults_ = faults;
      random_.seed(faults.seed);
    });
  }
  void SetLinkDown(const base::InstanceId& peer, bool down) override;

  PeerTransportStats Stats() const override {
    return {shared_state_->received,  shared_state_->forged,    shared_state_->replayed,
            shared_state_->malformed, shared_state_->oversized, shared_state_->sent_bytes};
  }
  std::uint16_t UdpPort() const override { return udp_port_; }
  std::uint16_t TcpPort() const override { return tcp_port_; }
  void Stop() override { Shutdown(); }

 private:
  void Shutdown();
  base::Result<void> OpenSockets();
  void AddPeer(const schema::PeerSettings& peer);
  void SealAndSend(const PeerSender& to, const std::string& payload);
  void SendWithFaults(const udp::endpoint& to, std::string bytes);
  void Transmit(const udp::endpoint& to, const std::string& bytes);
  void Receive();
  void OnDatagram(std::size_t size);
  void Accept();
  void OnAccept(tcp::socket socket);
  bool Chance(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  std::shared_ptr<PeerTransportState> shared_state_;
  udp::socket udp_socket_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::uint16_t udp_port_ = 0;
  std::uint16_t tcp_port_ = 0;
  std::map<base::InstanceId, std::shared_ptr<PeerSender>> peers_;
  std::list<std::weak_ptr<PeerReceiver>> receivers_;
  /// Each unauthenticated connection holds a copy, so that the use count is their number plus one.
  std::shared_ptr<int> unauthenticated_ = std::make_shared<int>();
  std::map<base::InstanceId, std::uint64_t> datagram_sequences_;
  ReplayFilter replay_filter_;
  std::array<char, 2'048> receive_buffer_{};
  udp::endpoint sender_endpoint_;
  LinkFaults faults_;
  std::mt19937_64 random_{1};
  /// Holds at most one datagram that fault injection delays until the next one was sent.
  std::vector<std::pair<udp::endpoint, std::string>> delayed_;
  std::thread thread_;
};

base::Result<void> Transport::OpenSockets() {
  const auto& options = shared_state_->options;
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(options.bind_address, ec);
  const udp::endpoint datagrams(address, options.udp_port);
  const tcp::endpoint connections(address, options.tcp_port);
  if (!ec) udp_socket_.open(datagrams.protocol(), ec);
  if (!ec) udp_socket_.bind(datagrams, ec);
  if (!ec) acceptor_.open(connections.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(connections, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return base::Fail(
        base::ErrorCode::kInvalidRequest,
        "cannot open the peer ports at " + options.bind_address + ": " + ec.message());
  }
  udp_port_ = udp_socket_.local_endpoint(ec).port();
  tcp_port_ = acceptor_.local_endpoint(ec).port();
  return {};
}

base::Result<void> Transport::Open() {
  if (shared_state_->options.fleet_key.empty()) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "the fleet key is empty");
  }
  if (auto open = OpenSockets(); !open) return open;
  asio::post(shared_state_->context, [this] {
    for (const auto& peer : shared_state_->options.peers) AddPeer(peer);
    Receive();
    Accept();
  });
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(shared_state_->context);
    shared_state_->context.run();
  });
  return {};
}

void Transport::Shutdown() {
  if (!thread_.joinable()) return;
  shared_state_->context.stop();
  thread_.join();
  // Pending handlers own connections, which own the context, which owns the handlers. Closing the
  // sockets and running the handlers breaks this cycle.
  for (const auto& [id, sender] : peers_) sender->Stop();
  for (const auto& weak : receivers_) {
    if (const auto receiver = weak.lock()) receiver->Close();
  }
  boost::system::error_code ec;
  udp_socket_.close(ec);
  acceptor_.close(ec);
  accept_retry_timer_.cancel();
  shared_state_->context.restart();
  shared_state_->context.poll();
}

void Transport::AddPeer(const schema::PeerSettings& peer) {
  if (peer.instance == shared_state_->options.instance) return;
  auto& sender = peers_[peer.instance];
  if (sender && sender->Peer() == peer) return;
  if (sender) {
    sender->Disconnect();
    sender->Stop();
  }
  sender = std::make_shared<PeerSender>(shared_state_, peer);
  sender->Start();
}

void Transport::SetLinkDown(const base::InstanceId& peer, bool down) {
  asio::post(shared_state_->context, [this, peer, down] {
    if (!down) {
      shared_state_->down_links.erase(peer);
      return;
    }
    shared_state_->down_links.insert(peer);
    if (const auto it = peers_.find(peer); it != peers_.end()) it->second->Disconnect();
    for (const auto& weak : receivers_) {
      const auto receiver = weak.lock();
      if (receiver && receiver->From() == peer) receiver->Close();
    }
  });
}

void Transport::SealAndSend(const PeerSender& to, const std::string& payload) {
  const auto& peer = to.Peer();
  if (shared_state_->down_links.contains(peer.instance)) return;
  const auto header =
      shared_state_->MakeHeader(peer.instance, ++datagram_sequences_[peer.instance]);
  std::string bytes = SealFrame(header, payload, shared_state_->options.fleet_key);
  if (bytes.size() > kMaxDatagramBytes) {
    ++shared_state_->oversized;
    return;
  }
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(peer.address, ec);
  if (ec) return;
  SendWithFaults({address, static_cast<std::uint16_t>(peer.udp_port)}, std::move(bytes));
}

// Sends a datagram with the faults that a test has set.
void Transport::SendWithFaults(const udp::endpoint& to, std::string bytes) {
  if (Chance(faults_.loss)) return;
  const bool duplicate = Chance(faults_.duplication);
  if (delayed_.empty() && Chance(faults_.reordering)) {
    delayed_.emplace_back(to, std::move(bytes));
    return;
  }
  Transmit(to, bytes);
  if (duplicate) Transmit(to, bytes);
  for (const auto& [endpoint, late] : std::exchange(delayed_, {})) Transmit(endpoint, late);
}

void Transport::Transmit(const udp::endpoint& to, const std::string& bytes) {
  boost::system::error_code ec;
  // A datagram that does not fit into the send buffer is dropped, as the network may do as well.
  const auto size = udp_socket_.send_to(asio::buffer(bytes), to, MSG_DONTWAIT, ec);
  if (!ec) shared_state_->sent_bytes += size;
}

void Transport::Receive() {
  udp_socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_endpoint_,
      [this](boost::system::error_code ec, std::size_t size) {
        if (ec == asio::error::operation_aborted || !udp_socket_.is_open()) return;
        if (!ec) OnDatagram(size);
        Receive();
      });
}

void Transport::OnDatagram(std::size_t size) {
  if (size > kMaxDatagramBytes) {
    ++shared_state_->oversized;
    return;
  }
  const auto frame = shared_state_->Open({receive_buffer_.data(), size});
  if (!frame) return;
  if (!frame->header.connection_nonce.empty() ||
      !replay_filter_.Accept(frame->header, PeerTransportState::WallMs())) {
    ++shared_state_->replayed;
    return;
  }
  shared_state_->Deliver(*frame);
}

void Transport::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!ec) {
      OnAccept(std::move(socket));
      return Accept();
    }
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([this](boost::system::error_code failure) {
      if (!failure) Accept();
    });
  });
}

void Transport::OnAccept(tcp::socket socket) {
  receivers_.remove_if([](const auto& weak) { return weak.expired(); });
  // One reference is the member itself, the others belong to unauthenticated connections.
  if (unauthenticated_.use_count() > kMaxUnauthenticated) return;
  auto receiver =
      std::make_shared<PeerReceiver>(shared_state_, std::move(socket), unauthenticated_);
  receivers_.push_back(receiver);
  receiver->Start();
}

}  // namespace

base::Result<std::unique_ptr<PeerTransport>> StartPeerTransport(PeerTransportOptions options,
                                                                PeerTransportHandlers handlers) {
  auto transport = std::make_unique<Transport>(std::move(options), std::move(handlers));
  if (auto open = transport->Open(); !open) return tl::make_unexpected(open.error());
  return transport;
}

}  // namespace persimmonstair::net
