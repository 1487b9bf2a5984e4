// The part of Asio that needs OpenSSL; the rest is in persimmonstair_asio_impl.
#include <boost/asio/ssl/impl/src.hpp>
