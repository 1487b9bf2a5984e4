#include "client.hpp"

#include <atomic>
#include <random>

namespace review {

std::string NewRequestId() {
  static const std::uint64_t first = (std::uint64_t{std::random_device{}()} << 32U);
  static std::atomic<std::uint64_t> next{first};
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++next));
  return text;
}

std::string TextOf(const Request& request, const std::string& id) {
  std::map<std::string, std::string> headers = request.headers;
  headers["Host"] = request.host;
  headers["X-Request-Id"] = id;
  headers["X-Deadline-Ms"] = std::to_string(request.deadline.count());
  if (!request.key.empty()) headers["Authorization"] = "Bearer " + request.key;
  const std::string start = request.method + " " + request.path + " HTTP/1.1";
  return HttpText(start, headers, request.body);
}

Message Call(Connection& connection, const Request& request, const std::string& id) {
  if (!connection.Send(TextOf(request, id))) return {};
  return connection.Read(request.deadline + milliseconds(1000));
}

Message Call(const Address& front, const Request& request, const std::string& id) {
  const auto connection = Connection::Open(front, milliseconds(1000));
  if (!connection) return {};
  return Call(*connection, request, id);
}

std::string Describe(const Message& answer) {
  if (answer.Status() == 0) return "no answer";
  return std::to_string(answer.Status()) + (answer.whole ? ", whole" : ", cut off") + ", " +
         std::to_string(answer.body.size()) + " bytes";
}

}  // namespace review
