// Compares requests per second and median latency through one instance with direct calls to an
// engine, alternating in one run. A pass-through replaces the scheduler, so the results contain the
// cost of the network layer, the ring buffers and the threads, but not of scheduling decisions.
//
//     net_bench [seconds per phase] [rounds]

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <mutex>
#include <vector>

#include "instance.hpp"
#include "persimmonstair/diagnostics/log.hpp"

namespace persimmonstair::daemon {
namespace {

using Clock = std::chrono::steady_clock;
using scheduler::Action;
using scheduler::Event;

constexpr std::uint64_t kConnections = 64;
constexpr const char* kAnswer = R"({"choices":[{"message":{"content":"short answer"}}]})";

// Scheduler replacement that sends each service call to the engine and returns its response.
class PassThrough {
 public:
  explicit PassThrough(std::uint16_t engine) : engine_(engine) {}

  std::vector<Action> Handle(const base::Now& /*now*/, Event event) {
    std::vector<Action> out;
    if (auto* request = std::get_if<scheduler::CallerRequest>(&event)) {
      scheduler::Dispatch dispatch;
      dispatch.attempt = {request->request.value};
      dispatch.request = request->request;
      dispatch.address = "127.0.0.1";
      dispatch.port = engine_;
      dispatch.path = "/v1/services/engine";
      dispatch.body = std::move(request->body);
      out.emplace_back(std::move(dispatch));
    } else if (auto* done = std::get_if<scheduler::TargetDone>(&event)) {
      scheduler::Reply reply;
      reply.request = {done->attempt.value};
      reply.body = std::move(done->body);
      out.emplace_back(std::move(reply));
    }
    return out;
  }
  scheduler::Status status(const base::Now& /*now*/) const { return {}; }

 private:
  std::uint16_t engine_;
};

// Engine that responds to every request immediately.
class Engine {
 public:
  Engine() {
    net::CallerServerOptions options;
    options.caller.port = 0;
    net::CallerServerHandlers handlers;
    handlers.next_request = [this] { return base::RequestId{++ids_}; };
    handlers.on_request = [this](scheduler::CallerRequest request) {
      scheduler::Reply reply;
      reply.request = request.request;
      reply.body = kAnswer;
      server_->Reply(std::move(reply));
      return true;
    };
    handlers.on_disconnect = [](base::RequestId) {};
    auto server = net::StartCallerServer(pool_, options, handlers);
    if (!server) std::abort();
    server_ = std::move(*server);
  }
  ~Engine() {
    server_->Stop();
    pool_.Stop();
  }
  std::uint16_t Port() const { return server_->Port(); }

 private:
  net::IoPool pool_{2};
  std::atomic<std::uint64_t> ids_{0};
  std::unique_ptr<net::CallerServer> server_;
};

struct LoadResults {
  std::size_t failed = 0;
  double per_second = 0;
  double median_us = 0;
};

// Keeps kConnections requests open, each on its own connection, for a given duration.
class LoadGenerator {
 public:
  explicit LoadGenerator(std::uint16_t port) : port_(port), started_(kConnections) {
    net::TargetClientHandlers handlers;
    handlers.on_first_byte = [](scheduler::TargetFirstByte) {};
    handlers.relay = [](base::RequestId, const std::string&) {};
    handlers.on_done = [this](const scheduler::TargetDone& done) {
      OnAttemptEnded(done.attempt, done.status == 200 && done.body == kAnswer);
    };
    handlers.on_failed = [this](const scheduler::TargetFailed& failed) {
      OnAttemptEnded(failed.attempt, false);
    };
    client_ = net::MakeTargetClient(pool_, {}, handlers);
  }

  LoadResults Run(std::chrono::milliseconds time) {
    const auto begin = Clock::now();
    end_ = begin + time;
    open_requests_ = kConnections;
    for (std::uint64_t slot = 0; slot < kConnections; ++slot) Send(slot);
    std::unique_lock lock(mutex_);
    all_ended_.wait(lock, [this] { return open_requests_ == 0; });
    const std::chrono::duration<double> took = Clock::now() - begin;
    client_->Stop();
    pool_.Stop();
    const auto middle = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
    std::nth_element(latencies_.begin(), middle, latencies_.end());
    return {failed_, static_cast<double>(latencies_.size()) / took.count(),
            latencies_.empty() ? 0 : *middle};
  }

 private:
  // Attempts of one slot are numbered slot + n * kConnections, so that the number modulo
  // kConnections identifies the slot.
  void Send(std::uint64_t slot) {
    scheduler::Dispatch dispatch;
    dispatch.attempt = {slot};
    dispatch.address = "127.0.0.1";
    dispatch.port = port_;
    dispatch.path = "/v1/services/engine";
    dispatch.body = R"({"messages":[{"role":"user","content":"short"}]})";
    started_[slot % kConnections] = Clock::now();
    client_->Dispatch(std::move(dispatch));
  }

  void OnAttemptEnded(base::AttemptId attempt, bool succeeded) {
    const auto now = Clock::now();
    const auto slot = attempt.value;
    const std::chrono::duration<double, std::micro> took = now - started_[slot % kConnections];
    bool again = now < end_;
    {
      const std::lock_guard lock(mutex_);
      if (succeeded) {
        latencies_.push_back(took.count());
      } else {
        ++failed_;
        again = false;
      }
      if (!again) --open_requests_;
    }
    if (again) return Send(slot + kConnections);
    all_ended_.notify_all();
  }

  net::IoPool pool_{2};
  std::uint16_t port_;
  std::unique_ptr<net::TargetClient> client_;
  Clock::time_point end_;
  std::vector<Clock::time_point> started_;
  std::mutex mutex_;
  std::condition_variable all_ended_;
  std::vector<double> latencies_;
  std::size_t failed_ = 0;
  std::uint64_t open_requests_ = 0;
};

InstanceOptions Options() {
  InstanceOptions options;
  options.settings.instance = {"bench"};
  options.settings.caller.port = 0;
  options.settings.udp_port = 0;
  options.settings.tcp_port = 0;
  options.settings.admin_port = 0;
  options.fleet_key = "fleet-key-of-the-bench-0123456789";
  options.process = "bench";
  return options;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

int Main(int argc, char** argv) {
  const int seconds = argc > 1 ? std::atoi(argv[1]) : 2;
  const int rounds = argc > 2 ? std::atoi(argv[2]) : 5;
  if (seconds < 1 || rounds < 1) {
    std::cerr << "usage: net_bench [seconds per phase] [rounds]\n";
    return 2;
  }
  diagnostics::StartLog("warn", "bench", {});
  Engine engine;
  const auto no_platform = [](const EventSink& /*sink*/) -> base::Result<PlatformInterface> {
    return PlatformInterface{[](scheduler::Append) {}, [](scheduler::FetchRecords) {}, [] {}};
  };
  auto instance = Instance<PassThrough>::Start(Options(), no_platform, PassThrough(engine.Port()));
  if (!instance) {
    std::cerr << instance.error().message << '\n';
    return 1;
  }
  const std::uint16_t caller = (*instance)->runtime().CallerPort();
  std::vector<double> rates;
  std::vector<double> added_latency;
  std::size_t failed = 0;
  for (int n = 0; n < rounds; ++n) {
    const auto time = std::chrono::seconds(seconds);
    const LoadResults direct = LoadGenerator(engine.Port()).Run(time);
    const LoadResults through = LoadGenerator(caller).Run(time);
    std::printf("direct %.0f/s median %.0f us; through %.0f/s median %.0f us\n", direct.per_second,
                direct.median_us, through.per_second, through.median_us);
    rates.push_back(through.per_second / direct.per_second);
    added_latency.push_back((through.median_us - direct.median_us) / direct.median_us);
    failed += direct.failed + through.failed;
  }
  std::printf(
      "median of %d rounds: %.2f of the direct requests/s (target 0.50), added median "
      "latency %.2f of the direct round trip (target below 1.00), %zu failed\n",
      rounds, Median(rates), Median(added_latency), failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace persimmonstair::daemon

int main(int argc, char** argv) { return persimmonstair::daemon::Main(argc, argv); }
