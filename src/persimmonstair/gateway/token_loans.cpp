#include "token_loans.hpp"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

#include "persimmonstair/diagnostics/log.hpp"
#include "persimmonstair/schema/codec.hpp"

namespace persimmonstair::gateway {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// Time for the answers of a round: two ways between data centres and a busy lender.
constexpr milliseconds kRoundTime{15};
/// Time from the request in which borrowed tokens can be used.
constexpr milliseconds kLoanTime{500};
/// A lender counts the loan from the receipt of the request, later than the borrower.
constexpr milliseconds kLenderTime{600};
constexpr milliseconds kDryTime{60};
/// Instances asked in one round, and tokens asked of each.
constexpr std::size_t kMaxAsked = 2;
constexpr std::uint64_t kTokensOfHome = 3;
constexpr std::uint64_t kTokensOfOthers = 1;
constexpr std::uint64_t kMilli = 1000;

std::optional<udp::endpoint> ToUdp(const dispatch::Endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) return std::nullopt;
  return udp::endpoint(address, endpoint.port);
}

}  // namespace

base::Result<void> TokenLoans::Listen(const dispatch::Endpoint& endpoint) {
  const auto local = ToUdp(endpoint);
  error_code ec = asio::error::invalid_argument;
  if (local) socket_.open(local->protocol(), ec);
  if (!ec) socket_.bind(*local, ec);
  if (!ec) return {};
  return base::Fail(base::ErrorCode::kInvalidRequest, "can't use UDP " + endpoint.address + ":" +
                                                          std::to_string(endpoint.port) + ": " +
                                                          ec.message());
}

asio::awaitable<void> TokenLoans::Run() {
  for (;;) {
    udp::endpoint sender;
    const auto [ec, n] = co_await socket_.async_receive_from(asio::buffer(buffer_), sender,
                                                             asio::as_tuple(asio::use_awaitable));
    // An error reports an earlier datagram that nobody took; the next one may arrive.
    if (ec) continue;
    const auto message = schema::DecodePeer({buffer_.data(), n});
    if (message) Handle(*message, sender);
  }
}

void TokenLoans::Handle(const schema::PeerMessage& message, const udp::endpoint& sender) {
  if (const auto* request = std::get_if<schema::TokenLoanRequest>(&message)) {
    Handle(*request, sender);
  } else if (const auto* loan = std::get_if<schema::TokenLoan>(&message)) {
    Handle(*loan);
  }
}

void TokenLoans::Handle(const schema::TokenLoanRequest& request, const udp::endpoint& sender) {
  const auto& configuration = configuration_.Current();
  double tokens = 0;
  const base::TimePoint now = Now();
  if (configuration) {
    for (const auto& workspace : configuration->Workspaces()) {
      if (workspace.id != request.workspace) continue;
      tokens = fleet_.Shares().Lend(now, workspace.id, workspace.quota,
                                    static_cast<double>(request.tokens_milli) / kMilli,
                                    now + kLenderTime);
    }
  }
  Send(schema::TokenLoan{request.workspace, request.nonce,
                         static_cast<std::uint64_t>(tokens) * kMilli},
       sender);
}

void TokenLoans::Handle(const schema::TokenLoan& loan) {
  const auto it = rounds_.find(loan.nonce);
  if (it == rounds_.end() || it->second->workspace != loan.workspace) return;
  Round& round = *it->second;
  const auto tokens = static_cast<double>(loan.tokens_milli) / kMilli;
  round.tokens += tokens;
  fleet_.Shares().Borrow(Now(), loan.workspace, tokens, round.sent_at + kLoanTime);
  if (++round.answered == round.asked) round.done.Set();
}

void TokenLoans::Send(const schema::PeerMessage& message, const udp::endpoint& peer) {
  const auto bytes = std::make_shared<std::string>(schema::EncodePeer(message));
  socket_.async_send_to(asio::buffer(*bytes), peer, [bytes](error_code /*ec*/, std::size_t /*n*/) {
    // A datagram that can't be sent is as good as lost, which the protocol allows.
  });
}

void TokenLoans::StartRound(const base::WorkspaceId& workspace, Round& round) {
  std::vector<dispatch::Endpoint> lenders = fleet_.Lenders(workspace);
  if (lenders.size() > 1) std::shuffle(lenders.begin() + 1, lenders.end(), random_);
  if (lenders.size() > kMaxAsked) lenders.resize(kMaxAsked);
  round.workspace = workspace;
  round.sent_at = Now();
  for (std::size_t n = 0; n < lenders.size(); ++n) {
    const auto endpoint = ToUdp(lenders[n]);
    if (!endpoint) continue;
    ++round.asked;
    const std::uint64_t tokens = n == 0 ? kTokensOfHome : kTokensOfOthers;
    Send(schema::TokenLoanRequest{workspace, next_nonce_, tokens * kMilli}, *endpoint);
  }
}

asio::awaitable<bool> TokenLoans::Borrow(base::WorkspaceId workspace) {
  const auto dry = dry_until_.find(workspace);
  if (dry != dry_until_.end() && Now() < dry->second) co_return false;
  RoundPtr round = running_[workspace];
  if (round) {
    co_await round->done.Wait();
    co_return round->tokens > 0;
  }
  round = std::make_shared<Round>(socket_.get_executor());
  StartRound(workspace, *round);
  if (round->asked == 0) co_return false;
  const std::uint64_t nonce = next_nonce_++;
  rounds_[nonce] = round;
  running_[workspace] = round;
  asio::steady_timer timer(socket_.get_executor(), kRoundTime);
  timer.async_wait([round](error_code ec) {
    if (!ec) round->done.Set();
  });
  co_await round->done.Wait();
  rounds_.erase(nonce);
  running_.erase(workspace);
  if (round->tokens <= 0) dry_until_[workspace] = Now() + kDryTime;
  co_return round->tokens > 0;
}

}  // namespace persimmonstair::gateway
