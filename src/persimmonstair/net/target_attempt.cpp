#include "target_attempt.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <utility>

#include "target_request.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;
using base::Verdict;
using scheduler::FailureKind;

constexpr std::size_t kReadBytes = 16U << 10U;

std::chrono::steady_clock::duration OrDefault(base::Duration stated,
                                              std::chrono::milliseconds fallback) {
  return stated.count() > 0 ? std::chrono::steady_clock::duration(stated)
                            : std::chrono::steady_clock::duration(fallback);
}

void SetOptions(asio::ip::tcp::socket& socket, std::chrono::milliseconds user_timeout) {
  boost::system::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  const auto value = static_cast<unsigned int>(user_timeout.count());
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

}  // namespace

TargetAttempt::TargetAttempt(std::shared_ptr<TargetCore> core, std::shared_ptr<TargetPool> pool,
                             scheduler::Dispatch dispatch)
    : core_(std::move(core)),
      pool_(std::move(pool)),
      dispatch_(std::move(dispatch)),
      answer_(core_->options, CorrelationId(core_->options, dispatch_.attempt),
              dispatch_.method == "HEAD"),
      deadline_(pool_->context()) {}

void TargetAttempt::Start() {
  if (ended_) return;
  deadline_.Bind(weak_from_this(), [this] { OnExpired(); });
  auto text = RequestText(dispatch_, core_->options);
  const auto endpoint = TargetEndpoint(dispatch_.address, dispatch_.port);
  if (!text || !endpoint) return Fail(FailureKind::kConnectRefused);
  text_ = std::move(*text);
  endpoint_ = *endpoint;
  if (!dispatch_.fresh_connection) socket_ = pool_->Take(endpoint_);
  if (socket_) return Send();
  Connect();
}

void TargetAttempt::Connect() {
  socket_ = std::make_unique<asio::ip::tcp::socket>(pool_->context());
  boost::system::error_code ec;
  socket_->open(endpoint_.protocol(), ec);
  if (ec) return Fail(FailureKind::kConnectRefused);
  SetOptions(*socket_, core_->options.user_timeout);
  deadline_.Set(OrDefault(dispatch_.connect_timeout, core_->options.connect_timeout));
  socket_->async_connect(endpoint_, [self = shared_from_this()](boost::system::error_code failure) {
    self->OnConnected(failure);
  });
}

void TargetAttempt::OnConnected(boost::system::error_code ec) {
  if (ended_) return;
  if (ec) {
    return Fail(ec == asio::error::timed_out ? FailureKind::kConnectTimeout
                                             : FailureKind::kConnectRefused);
  }
  Send();
}

void TargetAttempt::Send() {
  // From here on bytes may leave the process, whatever the outcome of the write is.
  handed_over_ = true;
  deadline_.Set(OrDefault(dispatch_.first_byte_timeout, core_->options.first_byte_timeout));
  asio::async_write(*socket_, asio::buffer(text_),
                    [self = shared_from_this()](boost::system::error_code ec,
                                                std::size_t /*size*/) { self->OnSent(ec); });
  Read();
}

void TargetAttempt::OnSent(boost::system::error_code ec) {
  if (ended_) return;
  sent_whole_ = !ec;
  // A target may refuse a request before it has read all of it; its answer is then read still.
  if (ec && !answered_) Fail(FailureKind::kConnectionClosed);
}

void TargetAttempt::Read() {
  socket_->async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
        self->OnRead(ec, size);
      });
}

void TargetAttempt::OnRead(boost::system::error_code ec, std::size_t size) {
  if (ended_) return;
  if (ec) {
    if (ec != asio::error::eof) return Fail(FailureKind::kConnectionClosed);
    switch (answer_.End()) {
      case TargetAnswer::State::kDone:
        return Succeed();
      case TargetAnswer::State::kMalformed:
        return Fail(FailureKind::kMalformedAnswer);
      default:
        return Fail(FailureKind::kConnectionClosed);
    }
  }
  buffer_.commit(size);
  deadline_.Set(OrDefault(dispatch_.between_bytes_timeout, core_->options.between_bytes_timeout));
  if (!answered_) {
    answered_ = true;
    core_->handlers.on_first_byte({dispatch_.attempt});
  }
  OnBytes();
}

void TargetAttempt::OnBytes() {
  const auto state = answer_.Add(buffer_);
  RelayEvents();
  switch (state) {
    case TargetAnswer::State::kMore:
      return Read();
    case TargetAnswer::State::kDone:
      return Succeed();
    default:
      return Fail(FailureKind::kMalformedAnswer);
  }
}

void TargetAttempt::RelayEvents() {
  std::string events = answer_.TakeEvents();
  if (!dispatch_.relay || events.empty()) return;
  relayed_ = true;
  core_->handlers.relay(dispatch_.request, std::move(events));
}

void TargetAttempt::OnExpired() {
  if (!handed_over_) return Fail(FailureKind::kConnectTimeout);
  Fail(answered_ ? FailureKind::kBetweenBytesTimeout : FailureKind::kFirstByteTimeout);
}

void TargetAttempt::Cancel() { Fail(FailureKind::kCancelled); }

void TargetAttempt::Drop() {
  ended_ = true;
  Close();
}

void TargetAttempt::Succeed() {
  ended_ = true;
  const bool reusable = answer_.reusable() && sent_whole_ && buffer_.size() == 0;
  deadline_.Stop();
  if (reusable) {
    pool_->Put(endpoint_, std::move(socket_));
  } else {
    Close();
  }
  if (!core_->Remove(dispatch_.attempt)) return;
  auto done = answer_.TakeDone();
  done.attempt = dispatch_.attempt;
  core_->handlers.on_done(std::move(done));
}

void TargetAttempt::Fail(FailureKind kind) {
  if (ended_) return;
  ended_ = true;
  Close();
  if (!core_->Remove(dispatch_.attempt)) return;
  const auto verdict = handed_over_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
  core_->handlers.on_failed({dispatch_.attempt, kind, verdict, relayed_});
}

void TargetAttempt::Close() {
  deadline_.Stop();
  boost::system::error_code ec;
  if (socket_) socket_->close(ec);
}

}  // namespace persimmonstair::net
