#include "persimmonstair/net/target_client.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "target_attempt.hpp"
#include "target_core.hpp"
#include "target_pool.hpp"
#include "target_request.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

class Client : public TargetClient {
 public:
  Client(IoPool& pool, TargetClientOptions options, TargetClientHandlers handlers)
      : core_(std::make_shared<TargetCore>(std::move(options), std::move(handlers))) {
    for (std::size_t n = 0; n < pool.size(); ++n) {
      pools_.push_back(std::make_shared<TargetPool>(pool.At(n), core_->options.idle_age,
                                                    core_->options.max_idle));
    }
  }
  ~Client() override { Close(); }

  void Dispatch(scheduler::Dispatch dispatch) override {
    // Attempts of a request run on one thread; which one does not matter.
    const auto& pool = pools_[dispatch.attempt.value % pools_.size()];
    const auto id = dispatch.attempt;
    auto attempt = std::make_shared<TargetAttempt>(core_, pool, std::move(dispatch));
    core_->Add(id, attempt);
    asio::post(pool->context(), [attempt] { attempt->Start(); });
  }

  void Cancel(base::AttemptId id) override {
    const auto attempt = core_->Find(id);
    if (attempt) asio::post(attempt->pool().context(), [attempt] { attempt->Cancel(); });
  }

  void CloseIdle(const std::string& address, std::uint32_t port) override {
    const auto endpoint = TargetEndpoint(address, port);
    if (!endpoint) return;
    for (const auto& pool : pools_) {
      asio::post(pool->context(), [pool, endpoint = *endpoint] { pool->CloseIdle(endpoint); });
    }
  }

  void Stop() override { Close(); }
  std::size_t in_flight() const override { return core_->size(); }

 private:
  void Close() {
    for (auto& attempt : core_->RemoveAll()) {
      asio::post(attempt->pool().context(), [attempt] { attempt->Drop(); });
    }
    for (const auto& pool : pools_) {
      asio::post(pool->context(), [pool] { pool->CloseAll(); });
    }
  }

  std::shared_ptr<TargetCore> core_;
  std::vector<std::shared_ptr<TargetPool>> pools_;
};

}  // namespace

std::unique_ptr<TargetClient> MakeTargetClient(IoPool& pool, TargetClientOptions options,
                                               TargetClientHandlers handlers) {
  return std::make_unique<Client>(pool, std::move(options), std::move(handlers));
}

}  // namespace persimmonstair::net
