// Compiles the OpenSSL part of Asio once. The library persimmonstair_asio_impl has the rest.
#include <boost/asio/ssl/impl/src.hpp>
