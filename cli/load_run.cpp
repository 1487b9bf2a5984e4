#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <utility>

#include "cli/cli.hpp"
#include "cli/load.hpp"

namespace persimmonstair::cli {
namespace {

using Clock = std::chrono::steady_clock;
using ResponseOrError = base::Result<service_clients::HttpResponse>;

std::chrono::microseconds ElapsedSince(Clock::time_point start) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
}

/// Runs calls or programs on one thread: starts them at the configured rate, or one as soon as
/// another ends, with at most `connections` in progress.
class LoadRun {
 public:
  LoadRun(const Context& context, const LoadOptions& options, std::string key,
          service_clients::Endpoint endpoint)
      : options_(options),
        key_(std::move(key)),
        timeout_(std::chrono::milliseconds(context.timeout_ms)),
        run_id_(std::random_device{}()),
        arrival_timer_(io_),
        http_(io_, std::move(endpoint), Limits(options)) {}

  LoadReport Run() {
    start_time_ = Clock::now();
    if (options_.rate_per_s > 0) {
      ScheduleArrival();
    } else {
      for (std::uint32_t n = 0; n < options_.connections; ++n) StartNext();
    }
    io_.run();
    report_.elapsed_s = base::ToSeconds(ElapsedSince(start_time_));
    return std::move(report_);
  }

 private:
  struct Program {
    std::string id;
    std::uint32_t turns_done = 0;
    /// Planned start of the program.
    Clock::time_point planned;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  static service_clients::HttpLimits Limits(const LoadOptions& options) {
    service_clients::HttpLimits out;
    out.max_idle_connections = options.connections;
    return out;
  }

  /// Whether `count` or `duration_s` allows no further start.
  bool ReachedLimit() const {
    return started_ >= options_.count ||
           base::ToSeconds(ElapsedSince(start_time_)) >= options_.duration_s;
  }

  void ScheduleArrival() {
    if (ReachedLimit()) return;
    const auto planned =
        start_time_ + std::chrono::microseconds(static_cast<std::int64_t>(
                          static_cast<double>(started_) / options_.rate_per_s * 1e6));
    arrival_timer_.expires_at(planned);
    arrival_timer_.async_wait([this, planned](boost::system::error_code) {
      if (ReachedLimit()) return;
      ++started_;
      // Latency is measured from the planned start, so that it includes the wait for a connection.
      queued_starts_.push_back(planned);
      StartQueued();
      ScheduleArrival();
    });
  }

  void StartQueued() {
    while (!queued_starts_.empty() && in_flight_ < options_.connections) {
      const auto planned = queued_starts_.front();
      queued_starts_.pop_front();
      Start(planned);
    }
  }

  /// Starts the next call or program if no rate is set.
  void StartNext() {
    if (ReachedLimit()) return;
    ++started_;
    Start(Clock::now());
  }

  void Start(Clock::time_point planned) {
    ++in_flight_;
    if (options_.route.empty() && options_.path.empty()) {
      OpenProgram(planned);
    } else {
      CallService(planned);
    }
  }

  void FinishOne() {
    --in_flight_;
    if (options_.rate_per_s > 0) {
      StartQueued();
    } else {
      StartNext();
    }
  }

  void Send(service_clients::HttpRequest request, Clock::time_point planned,
            std::function<void(const ResponseOrError&)> done) {
    if (!key_.empty()) request.headers["Authorization"] = "Bearer " + key_;
    http_.Send(std::move(request), timeout_,
               [this, planned, done = std::move(done)](const ResponseOrError& response) {
                 RecordResponse(response, planned);
                 done(response);
               });
  }

  void RecordResponse(const ResponseOrError& response, Clock::time_point planned) {
    std::string verdict = "ran";
    std::string code;
    if (!response) {
      verdict = base::ToString(response.error().verdict);
      code = base::ToString(response.error().code);
    } else if (response->status >= 300) {
      const Json body = Json::parse(response->body, nullptr, false);
      const Json error = body.is_object() ? body.value("error", Json()) : Json();
      verdict = StringMember(error, "verdict");
      if (verdict.empty()) verdict = "not_stated";
      code = StringMember(error, "code");
      if (code.empty()) code = "status_" + std::to_string(response->status);
    }
    ++report_.verdicts[verdict];
    if (!code.empty()) ++report_.codes[code];
    if (code.empty()) {
      ++report_.ok;
      report_.requests.Add(ElapsedSince(planned));
    } else if (verdict == "not_run" && response) {
      ++report_.refused;
    } else {
      ++report_.failed;
    }
  }

  void CallService(Clock::time_point planned) {
    service_clients::HttpRequest request;
    request.method = options_.method;
    request.target = options_.path.empty()
                         ? "/v1/services/" + service_clients::PercentEncode(options_.route)
                         : options_.path;
    if (options_.method != "GET") request.body = std::string(options_.body_bytes, 'x');
    if (options_.idempotency_key) {
      const auto now_s = std::chrono::duration_cast<std::chrono::seconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
      request.headers["Idempotency-Key"] = std::to_string(now_s) + ".load-" +
                                           std::to_string(run_id_) + "-" + std::to_string(++calls_);
    }
    Send(std::move(request), planned, [this](const ResponseOrError&) { FinishOne(); });
  }

  void OpenProgram(Clock::time_point planned) {
    Json body;
    body["model"] = options_.model;
    Send(Post("/v1/programs", body), planned, [this, planned](const ResponseOrError& response) {
      auto program = std::make_shared<Program>();
      program->planned = planned;
      if (response && response->status < 300) {
        const Json json = Json::parse(response->body, nullptr, false);
        for (const char* name : {"program", "id"}) {
          if (program->id.empty()) program->id = StringMember(json, name);
        }
      }
      if (program->id.empty()) return FinishFailedProgram();
      RunTurn(program);
    });
  }

  void RunTurn(const ProgramPtr& program) {
    const std::string prompt = "turn " + std::to_string(program->turns_done + 1) + " ";
    Json body;
    body["model"] = options_.model;
    body["stream"] = options_.stream;
    body["messages"][0]["role"] = "user";
    body["messages"][0]["content"] = prompt + std::string(options_.body_bytes, 'x');
    const auto planned = Clock::now();
    Send(Post("/v1/programs/" + service_clients::PercentEncode(program->id) + "/chat/completions",
              body),
         planned, [this, program](const ResponseOrError& response) {
           if (!response || response->status >= 300) return FinishFailedProgram();
           if (++program->turns_done < options_.turns) return RunTurn(program);
           report_.programs.Add(ElapsedSince(program->planned));
           CloseProgram(program);
         });
  }

  void CloseProgram(const ProgramPtr& program) {
    service_clients::HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/programs/" + service_clients::PercentEncode(program->id);
    Send(std::move(request), Clock::now(), [this](const ResponseOrError&) { FinishOne(); });
  }

  void FinishFailedProgram() {
    ++report_.programs_failed;
    FinishOne();
  }

  static service_clients::HttpRequest Post(std::string target, const Json& body) {
    service_clients::HttpRequest out;
    out.method = "POST";
    out.target = std::move(target);
    out.headers["Content-Type"] = "application/json";
    out.body = body.dump();
    return out;
  }

  LoadOptions options_;
  std::string key_;
  base::Duration timeout_;
  /// Random number that keeps the idempotency keys of different runs apart.
  std::uint32_t run_id_;
  boost::asio::io_context io_{1};
  boost::asio::steady_timer arrival_timer_;
  service_clients::HttpClient http_;
  /// Planned starts that wait because `connections` are in progress.
  std::deque<Clock::time_point> queued_starts_;
  Clock::time_point start_time_;
  std::uint64_t started_ = 0;
  std::uint64_t calls_ = 0;
  std::uint32_t in_flight_ = 0;
  LoadReport report_;
};

}  // namespace

Outcome<LoadReport> RunLoad(const Context& context, const LoadOptions& options,
                            const std::string& key) {
  const auto endpoint = service_clients::ParseEndpoint(context.address);
  if (!endpoint) return UsageError(endpoint.error().message);
  LoadRun run(context, options, key, *endpoint);
  return run.Run();
}

}  // namespace persimmonstair::cli
