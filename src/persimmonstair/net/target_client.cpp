#include "persimmonstair/net/target_client.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <vector>

#include "target_attempt.hpp"
#include "target_client_state.hpp"
#include "target_pool.hpp"
#include "target_request.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

class HttpTargetClient : public TargetClient {
 public:
  HttpTargetClient(IoPool& pool, TargetClientOptions options, TargetClientHandlers handlers)
      : shared_state_(
            std::make_shared<TargetClientState>(std::move(options), std::move(handlers))) {
    for (std::size_t n = 0; n < pool.size(); ++n) {
      pools_.push_back(std::make_shared<TargetPool>(pool.At(n), shared_state_->options.idle_timeout,
                                                    shared_state_->options.max_idle_per_address));
    }
  }
  ~HttpTargetClient() override { Close(); }

  void Dispatch(scheduler::Dispatch dispatch) override {
    // An attempt runs on one thread; any thread will do.
    const auto& pool = pools_[dispatch.attempt.value % pools_.size()];
    const auto id = dispatch.attempt;
    auto attempt = std::make_shared<TargetAttempt>(shared_state_, pool, std::move(dispatch));
    shared_state_->Add(id, attempt);
    asio::post(pool->Context(), [attempt] { attempt->Start(); });
  }

  void Cancel(base::AttemptId id) override {
    const auto attempt = shared_state_->Find(id);
    if (attempt) asio::post(attempt->Pool().Context(), [attempt] { attempt->Cancel(); });
  }

  void CloseIdle(const std::string& address, std::uint32_t port) override {
    const auto endpoint = TargetEndpoint(address, port);
    if (!endpoint) return;
    for (const auto& pool : pools_) {
      asio::post(pool->Context(), [pool, endpoint = *endpoint] { pool->CloseIdle(endpoint); });
    }
  }

  void Stop() override { Close(); }
  std::size_t InFlight() const override { return shared_state_->size(); }

 private:
  void Close() {
    for (auto& attempt : shared_state_->RemoveAll()) {
      asio::post(attempt->Pool().Context(), [attempt] { attempt->Drop(); });
    }
    for (const auto& pool : pools_) {
      asio::post(pool->Context(), [pool] { pool->CloseAll(); });
    }
  }

  std::shared_ptr<TargetClientState> shared_state_;
  std::vector<std::shared_ptr<TargetPool>> pools_;
};

}  // namespace

std::unique_ptr<TargetClient> MakeTargetClient(IoPool& pool, TargetClientOptions options,
                                               TargetClientHandlers handlers) {
  return std::make_unique<HttpTargetClient>(pool, std::move(options), std::move(handlers));
}

}  // namespace persimmonstair::net
