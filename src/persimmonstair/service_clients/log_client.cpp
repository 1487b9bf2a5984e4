#include "persimmonstair/service_clients/log_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "log_format.hpp"

namespace persimmonstair::service_clients {
namespace {

/// Largest number of calls for one Fetch(), in case a log returns only few records in each
/// response.
constexpr std::uint32_t kMaxFetchCalls = 64;

std::string StreamPath(const base::StreamName& stream) {
  return "/v1/streams/" + PercentEncode(stream.value) + "/records";
}

}  // namespace

class HttpLogClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, Endpoint endpoint, ClientSettings settings)
      : io_(io), settings_(std::move(settings)), http_(io, std::move(endpoint), settings_.limits) {}

  void Append(const scheduler::Append& append, AppendCallback done) {
    auto body = FormatAppend(append);
    if (!body) {
      const scheduler::AppendDone rejected{
          append.append, scheduler::AppendOutcome::kNotAppended, {}};
      boost::asio::post(io_, [done = std::move(done), rejected] { done(rejected); });
      return;
    }
    Send("POST", StreamPath(append.stream), std::move(*body), settings_.timeout,
         [id = append.append, done = std::move(done)](const base::Result<HttpResponse>& response) {
           done(ParseAppendResponse(id, response));
         });
  }

  void Read(const ReadRequest& read, ReadCallback done) {
    const std::string path = StreamPath(read.stream) + "?from=" + std::to_string(read.from.value) +
                             "&max=" + std::to_string(read.max_entries) +
                             "&wait_ms=" + std::to_string(base::ToMillis(read.wait));
    Send("GET", path, "", settings_.timeout + read.wait,
         [read, done = std::move(done)](const base::Result<HttpResponse>& response) {
           done(ParseReadResponse(read, response));
         });
  }

  void Fetch(scheduler::FetchRecords fetch, FetchCallback done) {
    auto job = std::make_shared<FetchJob>();
    job->out.stream = fetch.stream;
    job->remaining = std::move(fetch.offsets);
    job->done = std::move(done);
    FetchMore(job);
  }

  void Close() { http_.Close(); }

 private:
  struct FetchJob {
    scheduler::RecordsFetched out;
    std::vector<base::Offset> remaining;
    FetchCallback done;
    std::uint32_t calls = 0;
  };

  void Send(std::string method, std::string path, std::string body, base::Duration deadline,
            HttpClient::Callback done) {
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(path);
    request.headers["User-Agent"] = settings_.user_agent;
    if (!body.empty()) request.headers["Content-Type"] = "application/json";
    request.body = std::move(body);
    http_.Send(std::move(request), deadline, std::move(done));
  }

  void FetchMore(const std::shared_ptr<FetchJob>& job) {
    ++job->calls;
    Send("POST", StreamPath(job->out.stream) + "/fetch", FormatFetch(job->remaining),
         settings_.timeout,
         [self = shared_from_this(), job](const base::Result<HttpResponse>& response) {
           self->OnFetchResponse(job, response);
         });
  }

  void OnFetchResponse(const std::shared_ptr<FetchJob>& job,
                       const base::Result<HttpResponse>& response) {
    auto part = ParseFetchResponse(job->remaining, response);
    if (!part) {
      job->out.failed = true;
      job->out.entries.clear();
      return job->done(std::move(job->out));
    }
    std::move(part->entries.begin(), part->entries.end(), std::back_inserter(job->out.entries));
    const bool progress = part->unread.size() < job->remaining.size();
    job->remaining = std::move(part->unread);
    if (job->remaining.empty()) return job->done(std::move(job->out));
    if (progress && job->calls < kMaxFetchCalls) return FetchMore(job);
    job->out.failed = true;
    job->out.entries.clear();
    job->done(std::move(job->out));
  }

  boost::asio::io_context& io_;
  ClientSettings settings_;
  HttpClient http_;
};

HttpLogClient::HttpLogClient(boost::asio::io_context& io, Endpoint endpoint,
                             ClientSettings settings)
    : impl_(std::make_shared<Impl>(io, std::move(endpoint), std::move(settings))) {}

HttpLogClient::~HttpLogClient() { Close(); }

void HttpLogClient::Append(scheduler::Append append, AppendCallback done) {
  impl_->Append(append, std::move(done));
}

void HttpLogClient::Read(ReadRequest read, ReadCallback done) {
  impl_->Read(read, std::move(done));
}

void HttpLogClient::Fetch(scheduler::FetchRecords fetch, FetchCallback done) {
  impl_->Fetch(std::move(fetch), std::move(done));
}

void HttpLogClient::Close() { impl_->Close(); }

static_assert(LogClient<HttpLogClient>);

}  // namespace persimmonstair::service_clients
