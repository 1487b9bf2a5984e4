#ifndef REVIEW_SUPPORT_3_CLIENT_HPP_
#define REVIEW_SUPPORT_3_CLIENT_HPP_

#include <map>
#include <memory>
#include <string>

#include "net.hpp"

namespace review {

/// @brief A client's request. Its id is its own.
struct Request {
  std::string method = "POST";
  std::string path;
  std::string host;
  std::string key;
  std::map<std::string, std::string> headers;
  std::string body;
  milliseconds deadline{3000};
};

/// @brief Returns an id that no other request has.
std::string NewRequestId();

/// @brief Bytes of a request.
std::string TextOf(const Request& request, const std::string& id);

/// @brief Sends the request on the connection and waits for its answer until its deadline and a
/// second more. Status() of the result is 0 if none begins.
Message Call(Connection& connection, const Request& request, const std::string& id);

/// @brief The same on a new connection.
Message Call(const Address& front, const Request& request, const std::string& id);

/// @brief Describes an answer in a few words.
std::string Describe(const Message& answer);

}  // namespace review

#endif  // REVIEW_SUPPORT_3_CLIENT_HPP_
