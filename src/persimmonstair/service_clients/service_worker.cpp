#include "persimmonstair/service_clients/service_worker.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <thread>
#include <unordered_set>
#include <utility>

#include "persimmonstair/service_clients/directory_clients.hpp"

namespace persimmonstair::service_clients {
namespace {

namespace asio = boost::asio;

/// Runs delayed tasks on an io_context; models DelayedExecutor.
class Timers {
 public:
  explicit Timers(asio::io_context& io) : io_(io) {}

  /// Runs `task` after the delay, or without delay once SkipDelays() was called.
  void RunAfter(base::Duration delay, std::function<void()> task) {
    auto timer =
        std::make_shared<asio::steady_timer>(io_, skip_delays_ ? base::Duration{0} : delay);
    timers_.insert(timer);
    timer->async_wait([this, timer, task = std::move(task)](boost::system::error_code) {
      timers_.erase(timer);
      task();
    });
  }

  /// Runs the pending tasks, and all later ones, without delay.
  void SkipDelays() {
    skip_delays_ = true;
    for (const auto& timer : timers_) timer->cancel();
  }

 private:
  asio::io_context& io_;
  std::unordered_set<std::shared_ptr<asio::steady_timer>> timers_;
  bool skip_delays_ = false;
};

}  // namespace

class ServiceWorker::Impl {
 public:
  Impl(WorkerSettings settings, EventSink sink)
      : settings_(std::move(settings)),
        sink_(std::move(sink)),
        work_(asio::make_work_guard(io_)),
        timers_(io_),
        log_(io_, settings_.log, settings_.client) {
    if (settings_.list) list_.emplace(io_, *settings_.list, settings_.client);
    thread_ = std::thread([this] {
      if (list_) ReadList();
      io_.run();
    });
  }

  ~Impl() { Stop(); }

  /// Runs a task on the thread of the worker.
  void Post(std::function<void()> task) { asio::post(io_, std::move(task)); }

  void Follow(base::StreamName stream, base::Offset from) {
    if (stopping_ || followers_.contains(stream)) return;
    auto follower =
        std::make_unique<Follower>(log_, timers_, sink_, stream, from, settings_.follower);
    follower->Start();
    followers_.emplace(std::move(stream), std::move(follower));
  }

  void Append(scheduler::Append append) {
    log_.Append(std::move(append), [this](scheduler::AppendDone done) { Deliver(done); });
  }

  void Fetch(scheduler::FetchRecords fetch) {
    log_.Fetch(std::move(fetch),
               [this](scheduler::RecordsFetched done) { Deliver(std::move(done)); });
  }

  void Stop() {
    if (!thread_.joinable()) return;
    Post([this] {
      stopping_ = true;
      for (auto& [stream, follower] : followers_) follower->Stop();
      log_.Close();
      if (list_) list_->Close();
      timers_.SkipDelays();
      work_.reset();
    });
    thread_.join();
  }

 private:
  using Follower = LogFollower<HttpLogClient, Timers>;

  void Deliver(scheduler::Event event) {
    if (sink_(std::move(event)) || stopping_) return;
    // A sink leaves an event that it rejects unchanged.
    auto rejected =
        std::make_shared<scheduler::Event>(std::move(event));  // NOLINT(bugprone-use-after-move)
    timers_.RunAfter(settings_.follower.redeliver_delay,
                     [this, rejected] { Deliver(std::move(*rejected)); });
  }

  void ReadList() {
    if (stopping_) return;
    list_->Read([this](base::Result<scheduler::InstanceListRead> list) {
      // If the list cannot be read, no event is delivered and the instance keeps its last list.
      if (list) Deliver(std::move(*list));
      timers_.RunAfter(settings_.list_interval, [this] { ReadList(); });
    });
  }

  WorkerSettings settings_;
  EventSink sink_;
  asio::io_context io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  Timers timers_;
  HttpLogClient log_;
  std::optional<HttpInstanceListClient> list_;
  std::map<base::StreamName, std::unique_ptr<Follower>> followers_;
  /// Used on the thread of the worker only.
  bool stopping_ = false;
  std::thread thread_;
};

base::Result<WorkerSettings> MakeWorkerSettings(const schema::PlatformSettings& settings,
                                                const base::InstanceId& instance) {
  WorkerSettings out;
  const auto log = ParseEndpoint(settings.log_url);
  if (!log) return base::Fail(log.error().code, "platform.log_url: " + log.error().message);
  out.log = *log;
  if (!settings.list_url.empty()) {
    const auto list = ParseEndpoint(settings.list_url);
    if (!list) return base::Fail(list.error().code, "platform.list_url: " + list.error().message);
    out.list = *list;
  }
  out.client.timeout = std::chrono::milliseconds(settings.timeout_ms);
  out.client.user_agent = "persimmonstair/" + instance.value;
  return out;
}

ServiceWorker::ServiceWorker(WorkerSettings settings, EventSink sink)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(sink))) {}

ServiceWorker::~ServiceWorker() = default;

void ServiceWorker::Follow(base::StreamName stream, base::Offset from) {
  impl_->Post(
      [impl = impl_.get(), stream = std::move(stream), from] { impl->Follow(stream, from); });
}

void ServiceWorker::Execute(scheduler::Append append) {
  impl_->Post([impl = impl_.get(), append = std::move(append)]() mutable {
    impl->Append(std::move(append));
  });
}

void ServiceWorker::Execute(scheduler::FetchRecords fetch) {
  impl_->Post(
      [impl = impl_.get(), fetch = std::move(fetch)]() mutable { impl->Fetch(std::move(fetch)); });
}

void ServiceWorker::Stop() { impl_->Stop(); }

}  // namespace persimmonstair::service_clients
