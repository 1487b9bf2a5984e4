#include "persimmonstair/net/caller_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <optional>

#include "caller_connection.hpp"
#include "caller_server_state.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

// Accepts connections on the first context of the pool and assigns them to the contexts in turn.
// Its handlers share its ownership, so that Close() can be called from any thread at any time.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(IoPool& pool, std::shared_ptr<CallerServerState> state)
      : pool_(pool), state_(std::move(state)), acceptor_(pool.At(0)), retry_timer_(pool.At(0)) {}

  /// Loads the certificate, binds the address and starts accepting.
  base::Result<void> Open();
  void Close();
  std::uint16_t Port() const { return port_; }

 private:
  base::Result<void> OpenTls();
  void Accept();
  void OnAccept(boost::system::error_code ec, asio::io_context& context, tcp::socket socket);
  template <class Session>
  void StartSession(asio::io_context& context, const std::shared_ptr<Session>& session);

  IoPool& pool_;
  std::shared_ptr<CallerServerState> state_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::optional<asio::ssl::context> tls_;
  std::uint16_t port_ = 0;
};

base::Result<void> Listener::OpenTls() {
  const auto& files = state_->options.tls;
  if (files.certificate_file.empty()) return {};
  boost::system::error_code ec;
  tls_.emplace(asio::ssl::context::tls_server);
  tls_->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1, ec);
  tls_->use_certificate_chain_file(files.certificate_file, ec);
  if (ec) {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      "tls.certificate_file '" + files.certificate_file + "': " + ec.message());
  }
  tls_->use_private_key_file(files.key_file, asio::ssl::context::pem, ec);
  if (ec) {
    return base::Fail(base::ErrorCode::kInvalidRequest,
                      "tls.key_file '" + files.key_file + "': " + ec.message());
  }
  return {};
}

base::Result<void> Listener::Open() {
  if (auto tls = OpenTls(); !tls) return tls;
  const auto& listen = state_->options.caller;
  const auto fail = [&](const boost::system::error_code& ec) {
    return base::Fail(base::ErrorCode::kInvalidRequest, "caller listener " + listen.address + ":" +
                                                            std::to_string(listen.port) + ": " +
                                                            ec.message());
  };
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(listen.address, ec);
  if (ec) return fail(ec);
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(listen.port));
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) return fail(ec);
  port_ = acceptor_.local_endpoint(ec).port();
  asio::post(pool_.At(0), [self = shared_from_this()] { self->Accept(); });
  return {};
}

void Listener::Accept() {
  if (!acceptor_.is_open()) return;
  asio::io_context& context = pool_.Next();
  acceptor_.async_accept(context, [self = shared_from_this(), &context](
                                      boost::system::error_code ec, tcp::socket socket) {
    self->OnAccept(ec, context, std::move(socket));
  });
}

void Listener::OnAccept(boost::system::error_code ec, asio::io_context& context,
                        tcp::socket socket) {
  if (ec == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (ec) {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait([self = shared_from_this()](boost::system::error_code failure) {
      if (!failure) self->Accept();
    });
    return;
  }
  if (tls_) {
    using Session = CallerConnection<TlsStream>;
    StartSession(context, std::make_shared<Session>(state_, context, std::move(socket), *tls_));
  } else {
    using Session = CallerConnection<PlainStream>;
    StartSession(context, std::make_shared<Session>(state_, context, std::move(socket)));
  }
  Accept();
}

template <class Session>
void Listener::StartSession(asio::io_context& context, const std::shared_ptr<Session>& session) {
  const auto admission = state_->AddSession(session);
  if (admission == CallerServerState::Admission::kDrop) return;
  const bool reject = admission == CallerServerState::Admission::kReject;
  asio::post(context, [session, reject] { session->Start(reject); });
}

void Listener::Close() {
  asio::post(pool_.At(0), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->acceptor_.close(ec);
    self->retry_timer_.cancel();
  });
}

class Server : public CallerServer {
 public:
  Server(std::shared_ptr<CallerServerState> state, std::shared_ptr<Listener> listener)
      : state_(std::move(state)), listener_(std::move(listener)) {}
  ~Server() override { Close(); }

  void Reply(scheduler::Reply reply) override {
    if (const auto found = state_->TakeRequest(reply.request)) found->PostReply(std::move(reply));
  }
  void Relay(base::RequestId request, std::string data) override {
    if (const auto found = state_->FindRequest(request)) found->PostRelay(request, std::move(data));
  }
  void BeginDrain() override { state_->draining = true; }
  bool WaitUntilAnswered(std::chrono::milliseconds timeout) override {
    return state_->WaitUntilAnswered(timeout);
  }
  void Stop() override { Close(); }
  std::uint16_t Port() const override { return listener_->Port(); }
  std::size_t Connections() const override { return state_->Connections(); }

 private:
  void Close() {
    listener_->Close();
    state_->CloseAll();
  }

  std::shared_ptr<CallerServerState> state_;
  std::shared_ptr<Listener> listener_;
};

}  // namespace

base::Result<std::unique_ptr<CallerServer>> StartCallerServer(IoPool& pool,
                                                              CallerServerOptions options,
                                                              CallerServerHandlers handlers) {
  auto state = std::make_shared<CallerServerState>(std::move(options), std::move(handlers));
  auto listener = std::make_shared<Listener>(pool, state);
  if (auto open = listener->Open(); !open) return tl::make_unexpected(open.error());
  return std::make_unique<Server>(std::move(state), std::move(listener));
}

}  // namespace persimmonstair::net
