#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "cli/cli.hpp"
#include "cli/commands.hpp"

namespace persimmonstair::cli {
namespace {

/// Random bytes in a key. As long as a SHA-256 digest, so that guessing the key is as hard as
/// finding a text with the same digest.
constexpr std::size_t kKeyBytes = 32;

template <class Bytes>
std::string HexEncode(const Bytes& bytes) {
  constexpr char digits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char byte : bytes) {
    out += digits[byte >> 4U];
    out += digits[byte & 15U];
  }
  return out;
}

Outcome<std::string> GenerateKey() {
  std::array<unsigned char, kKeyBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Refused("internal", "OpenSSL could not generate random bytes for the key");
  }
  return "psk-" + HexEncode(bytes);
}

std::string Sha256Hex(const std::string& text) {
  std::array<unsigned char, 32> digest{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return HexEncode(digest);
}

Json MakeKeyEntry(const KeyOptions& options, const std::string& key) {
  Json out;
  out["owner"] = options.owner;
  out["class"] = options.entry_class;
  out["role"] = options.workspace.empty() ? "operator" : "caller";
  if (!options.workspace.empty()) out["workspace"] = options.workspace;
  out["sha256"] = Sha256Hex(key);
  return out;
}

/// Reports a failed change of a key and, if its outcome is unknown, how to find out.
int ReportChangeFailure(const Context& context, const KeyOptions& options, const Failure& failure) {
  if (failure.exit_code == kUnknown) {
    context.err << "The change was sent once and is not retried. `persimmonstair show keys/"
                << options.name << "` shows whether it took effect.\n";
  }
  return ReportFailure(context, failure);
}

}  // namespace

int GrantKey(const Context& context, const KeyOptions& options) {
  const auto view = FetchCatalogue(context);
  if (!view) return ReportFailure(context, view.error());
  if (view->entries.contains({"keys", options.name})) {
    return ReportFailure(
        context, Refused("conflict", "key '" + options.name +
                                         "' already exists; withdraw it or choose another name")
                     .value());
  }
  const auto key = GenerateKey();
  if (!key) return ReportFailure(context, key.error());
  const auto version = SendChange(
      context, {{{"keys", options.name}, 0, false, MakeKeyEntry(options, *key), nullptr}},
      options.reason);
  // If the outcome is unknown, the key is not printed, so nobody can use it. The operator can
  // withdraw it by its name.
  if (!version) return ReportChangeFailure(context, options, version.error());
  Json json;
  json["name"] = options.name;
  json["key"] = *key;
  json["version"] = *version;
  PrintResult(context, json, *key + "\n");
  if (!context.json) {
    context.err << "Key '" << options.name << "' is accepted as version " << *version
                << ". It is not shown again.\n";
  }
  const auto waited = WaitForVersion(context, *version, options.wait);
  return waited ? kOk : ReportFailure(context, waited.error());
}

int WithdrawKey(const Context& context, const KeyOptions& options) {
  const auto view = FetchCatalogue(context);
  if (!view) return ReportFailure(context, view.error());
  const auto it = view->entries.find({"keys", options.name});
  if (it == view->entries.end()) {
    return ReportFailure(
        context, Refused("not_found", "the catalogue has no key '" + options.name + "'").value());
  }
  const auto version = SendChange(
      context, {{{"keys", options.name}, it->second.version, true, nullptr, it->second.value}},
      options.reason);
  if (!version) return ReportChangeFailure(context, options, version.error());
  if (const auto waited = WaitForVersion(context, *version, options.wait); !waited) {
    return ReportFailure(context, waited.error());
  }
  Json json;
  json["name"] = options.name;
  json["version"] = *version;
  return PrintResult(
      context, json,
      "key '" + options.name + "' withdrawn in version " + std::to_string(*version) + "\n");
}

}  // namespace persimmonstair::cli
