#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <string>

#include "persimmonstair/net/caller_server.hpp"
#include "test_socket.hpp"

namespace persimmonstair::net {
namespace {

namespace asio = boost::asio;

// Writes a self-signed certificate and its private key as PEM files.
void WriteCertificate(const std::string& certificate_file, const std::string& key_file) {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  X509* certificate = X509_new();
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
  X509_set_pubkey(certificate, key);
  X509_NAME* name = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>("entry"), -1, -1, 0);
  X509_set_issuer_name(certificate, name);
  X509_sign(certificate, key, EVP_sha256());
  std::FILE* out = std::fopen(certificate_file.c_str(), "w");
  PEM_write_X509(out, certificate);
  std::fclose(out);
  out = std::fopen(key_file.c_str(), "w");
  PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(out);
  X509_free(certificate);
  EVP_PKEY_free(key);
}

// Guards against a listener with a certificate that serves plain HTTP or cannot serve TLS.
TEST(CallerTlsTest, ServesTlsAndRejectsPlainHttp) {
  CallerServerOptions options;
  options.caller.port = 0;
  options.tls.certificate_file = testing::TempDir() + "persimmonstair_tls_test_cert.pem";
  options.tls.key_file = testing::TempDir() + "persimmonstair_tls_test_key.pem";
  WriteCertificate(options.tls.certificate_file, options.tls.key_file);
  IoPool pool{1};
  TestQueue<scheduler::CallerRequest> requests;
  std::atomic<std::uint64_t> ids{0};
  CallerServerHandlers handlers;
  handlers.next_request = [&] { return base::RequestId{++ids}; };
  handlers.on_request = [&](scheduler::CallerRequest request) {
    requests.Push(std::move(request));
    return true;
  };
  handlers.on_disconnect = [](base::RequestId) {};
  auto server = StartCallerServer(pool, options, handlers);
  ASSERT_TRUE(server.has_value()) << server.error().message;

  asio::io_context context;
  asio::ssl::context tls(asio::ssl::context::tls_client);
  tls.load_verify_file(options.tls.certificate_file);
  tls.set_verify_mode(asio::ssl::verify_peer);
  asio::ssl::stream<asio::ip::tcp::socket> client(context, tls);
  client.next_layer().connect({asio::ip::make_address("127.0.0.1"), (*server)->Port()});
  client.handshake(asio::ssl::stream_base::client);
  for (int n = 0; n < 2; ++n) {
    asio::write(client,
                asio::buffer(std::string("GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    scheduler::Reply reply;
    reply.request = requests.Pop().request;
    reply.body = "over tls";
    (*server)->Reply(std::move(reply));
    std::string text;
    while (text.find("over tls") == std::string::npos) {
      char buf[4096];
      text.append(buf, client.read_some(asio::buffer(buf)));
    }
    EXPECT_EQ(text.rfind("HTTP/1.1 200 OK", 0), 0U);
  }

  TestSocket plain((*server)->Port());
  plain.Send("GET /v1/programs/p.1 HTTP/1.1\r\nHost: a\r\n\r\n");
  // The server may send a TLS alert, but no HTTP response, and the request must not reach the
  // handler.
  EXPECT_EQ(plain.ReadAll().find("HTTP/1.1"), std::string::npos);
  EXPECT_EQ(requests.size(), 2U);
  (*server)->Stop();
  pool.Stop();
  std::remove(options.tls.certificate_file.c_str());
  std::remove(options.tls.key_file.c_str());
}

}  // namespace
}  // namespace persimmonstair::net
