#include "standin/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <thread>
#include <type_traits>
#include <utility>

#include "standin/engine_role.hpp"
#include "standin/http_server.hpp"
#include "standin/list_and_weight_roles.hpp"
#include "standin/log_role.hpp"
#include "standin/service_role.hpp"

namespace persimmonstair::standin {
namespace {

namespace asio = boost::asio;

using AnyRole =
    std::variant<std::unique_ptr<LogRole>, std::unique_ptr<ListRole>, std::unique_ptr<WeightRole>,
                 std::unique_ptr<EngineRole>, std::unique_ptr<ServiceRole>>;

AnyRole MakeRole(asio::io_context& io, RoleSettings settings, const ProcessControl& process) {
  return std::visit(
      [&](auto& s) -> AnyRole {
        using T = std::decay_t<decltype(s)>;
        if constexpr (std::is_same_v<T, LogSettings>) return std::make_unique<LogRole>(io, s);
        if constexpr (std::is_same_v<T, ListSettings>) return std::make_unique<ListRole>(s);
        if constexpr (std::is_same_v<T, WeightSettings>) return std::make_unique<WeightRole>(s);
        if constexpr (std::is_same_v<T, EngineSettings>) {
          return std::make_unique<EngineRole>(std::move(s), process);
        }
        if constexpr (std::is_same_v<T, ServiceSettings>) {
          return std::make_unique<ServiceRole>(std::move(s), process);
        }
      },
      settings);
}

}  // namespace

class Standin::Impl {
 public:
  Impl(RoleSettings settings, ListenOptions listen)
      : listen_(std::move(listen)),
        restart_timer_(io_),
        role_(MakeRole(io_, std::move(settings),
                       ProcessControl{[this](auto delay) { CrashAndRestart(delay); }})),
        server_(io_, [this](Exchange& exchange) {
          return std::visit([&](auto& role) { return HandleExchange(*role, exchange); }, role_);
        }) {}

  ~Impl() {
    RunOnThread([this] {
      restart_timer_.cancel();
      server_.Close();
      stopping_ = true;
      return base::Result<void>{};
    });
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }

  base::Result<void> Start() {
    auto opened = server_.Open(listen_);
    if (opened) thread_ = std::thread([this] { RunLoop(); });
    return opened;
  }

  /// Runs `task` on the role's thread and returns its result.
  base::Result<void> RunOnThread(std::function<base::Result<void>()> task) {
    if (!thread_.joinable()) return {};
    std::promise<base::Result<void>> done;
    asio::post(io_, [&] { done.set_value(task()); });
    return done.get_future().get();
  }

  base::Result<void> SetFaults(const std::string& text) {
    return RunOnThread([&] {
      return std::visit(
          [&](auto& role) {
            auto merged = MergeFaults(role->faults, text);
            if (merged) role->OnFaultsChanged();
            return merged;
          },
          role_);
    });
  }

  void Kill() {
    server_.Close();
    std::visit([](auto& role) { role->OnCrash(); }, role_);
  }

  base::Result<void> Restart() { return server_.Reopen(); }

  std::uint16_t Port() const { return server_.port(); }
  const ListenOptions& ListenAddress() const { return listen_; }

 private:
  void RunLoop() {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  }

  /// Posted to the event loop, because the calling role is still inside an exchange.
  void CrashAndRestart(std::chrono::milliseconds delay) {
    asio::post(io_, [this, delay] {
      Kill();
      restart_timer_.expires_after(delay);
      restart_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec && !stopping_) Restart();
      });
    });
  }

  asio::io_context io_{1};
  ListenOptions listen_;
  asio::steady_timer restart_timer_;
  AnyRole role_;
  HttpServer server_;
  std::thread thread_;
  bool stopping_ = false;
};

Standin::Standin(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Standin::~Standin() = default;

base::Result<std::unique_ptr<Standin>> Standin::Start(RoleSettings settings, ListenOptions listen) {
  auto impl = std::make_unique<Impl>(std::move(settings), std::move(listen));
  auto started = impl->Start();
  if (!started) return tl::make_unexpected(started.error());
  return std::unique_ptr<Standin>(new Standin(std::move(impl)));
}

std::uint16_t Standin::port() const { return impl_->Port(); }

std::string Standin::url() const {
  const std::string& address = impl_->ListenAddress().address;
  const bool v6 = address.find(':') != std::string::npos;
  return "http://" + (v6 ? "[" + address + "]" : address) + ":" + std::to_string(port());
}

base::Result<void> Standin::SetFaults(const std::string& json_text) {
  return impl_->SetFaults(json_text);
}

void Standin::Kill() {
  impl_->RunOnThread([this] {
    impl_->Kill();
    return base::Result<void>{};
  });
}

void Standin::Restart() {
  impl_->RunOnThread([this] { return impl_->Restart(); });
}

}  // namespace persimmonstair::standin
