#ifndef PERSIMMONSTAIR_SRC_NET_MESSAGE_TEXT_HPP_
#define PERSIMMONSTAIR_SRC_NET_MESSAGE_TEXT_HPP_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <string>

namespace persimmonstair::net {

/// @brief Returns the HTTP/1 wire format of a message, or only its header section.
template <bool kIsRequest, class Body>
std::string SerializeMessage(boost::beast::http::message<kIsRequest, Body>& message,
                             bool header_only) {
  boost::beast::http::serializer<kIsRequest, Body> serializer{message};
  serializer.split(header_only);
  std::string out;
  while (header_only ? !serializer.is_header_done() : !serializer.is_done()) {
    boost::beast::error_code ec;
    serializer.next(ec, [&](boost::beast::error_code& /*ec*/, const auto& buffers) {
      const auto size = boost::beast::buffer_bytes(buffers);
      const auto old = out.size();
      out.resize(old + size);
      boost::asio::buffer_copy(boost::asio::buffer(out.data() + old, size), buffers);
      serializer.consume(size);
    });
    if (ec) break;
  }
  return out;
}

}  // namespace persimmonstair::net

#endif  // PERSIMMONSTAIR_SRC_NET_MESSAGE_TEXT_HPP_
