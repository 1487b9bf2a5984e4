#include "persimmonstair/sockets/send_monitor.hpp"

#include <boost/asio/io_context.hpp>

#include "persimmonstair/sockets/send_state.hpp"

namespace persimmonstair::sockets {

namespace asio = boost::asio;
using std::chrono::milliseconds;

asio::execution_context::id SendMonitor::id;

SendMonitor::Watch::Watch(asio::ip::tcp::socket& socket, milliseconds user_timeout)
    : monitor_(Of(socket.get_executor())), socket_(socket), user_timeout_(user_timeout) {}

SendMonitor::Watch::~Watch() { monitor_.Remove(*this); }

void SendMonitor::Watch::OnOpen() { SetUserTimeout(socket_.native_handle(), user_timeout_); }

void SendMonitor::Watch::OnWrite() {
  monitor_.watched_.insert(this);
  monitor_.StartTimer();
}

void SendMonitor::Watch::BeforeClose(milliseconds time) {
  if (!socket_.is_open()) return;
  monitor_.Remove(*this);
  const auto state = ReadSendState(socket_.native_handle());
  if (state && state->unacknowledged_bytes > 0) SetUserTimeout(socket_.native_handle(), time);
}

SendMonitor::SendMonitor(asio::execution_context& context)
    : asio::execution_context::service(context), timer_(static_cast<asio::io_context&>(context)) {}

void SendMonitor::shutdown() { timer_.cancel(); }

void SendMonitor::StartTimer() {
  if (timer_runs_) return;
  timer_runs_ = true;
  timer_.expires_after(kInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    timer_runs_ = false;
    if (!ec) CheckAll();
  });
}

void SendMonitor::CheckAll() {
  std::erase_if(watched_, [this](Watch* watch) { return !Check(*watch); });
  if (!watched_.empty()) StartTimer();
}

bool SendMonitor::Check(Watch& watch) {
  const bool open = watch.socket_.is_open();
  const auto state = open ? ReadSendState(watch.socket_.native_handle()) : std::nullopt;
  SetReadsLate(watch, state && PeerReadsLate(*state));
  return state && state->unacknowledged_bytes > 0;
}

void SendMonitor::SetReadsLate(Watch& watch, bool reads_late) {
  if (watch.reads_late_ == reads_late) return;
  watch.reads_late_ = reads_late;
  reads_late ? ++late_readers_ : --late_readers_;
  if (!watch.socket_.is_open()) return;
  SetUserTimeout(watch.socket_.native_handle(), reads_late ? milliseconds{0} : watch.user_timeout_);
}

void SendMonitor::Remove(Watch& watch) {
  watched_.erase(&watch);
  SetReadsLate(watch, false);
}

}  // namespace persimmonstair::sockets
