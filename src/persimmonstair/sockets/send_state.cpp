#include "persimmonstair/sockets/send_state.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace persimmonstair::sockets {
namespace {

/// A single probe may be under way, or lost, when the state is read.
constexpr std::uint32_t kMaxUnansweredProbes = 1;

}  // namespace

std::optional<SendState> ReadSendState(int descriptor) {
  int bytes = 0;
  if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) return std::nullopt;
  SendState state;
  state.unacknowledged_bytes = static_cast<std::uint32_t>(bytes);
  if (bytes == 0) return state;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  state.segments_in_flight = info.tcpi_unacked;
  state.unanswered_probes = info.tcpi_probes;
  return state;
}

bool PeerReadsLate(const SendState& state) {
  return state.unacknowledged_bytes > 0 && state.segments_in_flight == 0 &&
         state.unanswered_probes <= kMaxUnansweredProbes;
}

void SetUserTimeout(int descriptor, std::chrono::milliseconds timeout) {
  const auto value = static_cast<unsigned int>(timeout.count());
  // Without the option, a connection to a lost peer only ends later.
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

}  // namespace persimmonstair::sockets
