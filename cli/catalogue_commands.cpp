#include <algorithm>
#include <ctime>

#include "cli/cli.hpp"
#include "cli/commands.hpp"
#include "persimmonstair/catalogue/document.hpp"

namespace persimmonstair::cli {
namespace {

Json ToJson(const std::vector<catalogue::Violation>& violations) {
  Json out = Json::array();
  for (const catalogue::Violation& it : violations) {
    Json item;
    item["path"] = it.path;
    item["value"] = it.value;
    item["rule"] = it.rule;
    out.push_back(std::move(item));
  }
  return out;
}

/// Reads and checks a catalogue file; kRefused if it breaks a rule of the catalogue.
Outcome<Json> ReadDocument(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) return tl::make_unexpected(text.error());
  const auto violations = catalogue::Check(*text);
  if (!violations.empty()) {
    return Refused("invalid_catalogue", file + ":\n" + catalogue::FormatViolations(violations));
  }
  return Json::parse(*text);
}

/// Returns the edits that change the catalogue of the entry instance to the file's entries.
Outcome<std::vector<Edit>> ReadEdits(const Context& context, const ApplyOptions& options) {
  const auto document = ReadDocument(options.file);
  if (!document) return tl::make_unexpected(document.error());
  const auto current = FetchCatalogue(context);
  if (!current) return tl::make_unexpected(current.error());
  return ComputeEdits(*current, *document, options.prune);
}

std::string FormatUtcTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[32];
  std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return buf;
}

/// Returns the list of changes in the response of GET /v1/catalogue/history: the response itself or
/// its only array member.
Json FindHistoryList(const Json& response) {
  if (response.is_array()) return response;
  if (response.is_object()) {
    for (const auto& [name, value] : response.items()) {
      if (value.is_array()) return value;
    }
  }
  return Json::array();
}

std::string FormatHistory(const Json& list) {
  std::string out;
  for (const Json& item : list) {
    out.append("version ").append(std::to_string(UnsignedMember(item, "version")));
    out.append("  ").append(
        FormatUtcTime(static_cast<std::int64_t>(UnsignedMember(item, "at_ms"))));
    out.append("  ").append(StringMember(item, "author"));
    out.append("  ").append(StringMember(item, "reason")).append("\n");
    const auto edits = item.find("edits");
    if (edits == item.end() || !edits->is_array()) continue;
    for (const Json& edit : *edits) {
      out.append("    ").append(edit.is_string() ? edit.get<std::string>() : edit.dump());
      out.append("\n");
    }
  }
  return out;
}

}  // namespace

int Validate(const Context& context, const std::string& file) {
  const auto text = ReadFile(file);
  if (!text) return ReportFailure(context, text.error());
  const auto violations = catalogue::Check(*text);
  Json json;
  json["valid"] = violations.empty();
  json["violations"] = ToJson(violations);
  PrintResult(
      context, json,
      violations.empty() ? file + ": valid\n" : catalogue::FormatViolations(violations) + "\n");
  return violations.empty() ? kOk : kRefused;
}

int Show(const Context& context, const std::string& selector) {
  const auto view = FetchCatalogue(context);
  if (!view) return ReportFailure(context, view.error());
  const auto slash = selector.find('/');
  const std::string section = selector.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : selector.substr(slash + 1);
  Json json;
  json["version"] = view->version;
  json["entries"] = Json::array();
  std::string text = "version " + std::to_string(view->version) + "\n";
  for (const auto& [key, entry] : view->entries) {
    if ((!section.empty() && key.first != section) || (!name.empty() && key.second != name)) {
      continue;
    }
    Json item;
    item["section"] = key.first;
    item["name"] = key.second;
    item["version"] = entry.version;
    item["value"] = entry.value;
    json["entries"].push_back(std::move(item));
    text.append(key.first).append("/").append(key.second);
    text.append(" (version ").append(std::to_string(entry.version)).append(") ");
    text.append(entry.value.dump()).append("\n");
  }
  if (!selector.empty() && json["entries"].empty()) {
    return ReportFailure(
        context,
        Refused("not_found", "the catalogue has no entry or section '" + selector + "'").value());
  }
  return PrintResult(context, json, text);
}

int Diff(const Context& context, const ApplyOptions& options) {
  const auto edits = ReadEdits(context, options);
  if (!edits) return ReportFailure(context, edits.error());
  Json json;
  json["edits"] = cli::ToJson(*edits);
  return PrintResult(context, json, edits->empty() ? "no differences\n" : FormatEdits(*edits));
}

int Apply(const Context& context, const ApplyOptions& options) {
  const auto edits = ReadEdits(context, options);
  if (!edits) return ReportFailure(context, edits.error());
  Json json;
  json["edits"] = cli::ToJson(*edits);
  if (edits->empty()) return PrintResult(context, json, "no differences, nothing sent\n");
  const auto version = SendChange(context, *edits, options.reason);
  if (!version) {
    if (version.error().exit_code == kUnknown) {
      context.err << "The change was sent once and is not retried. `persimmonstair diff` shows "
                     "whether it took effect.\n";
    }
    return ReportFailure(context, version.error());
  }
  if (const auto waited = WaitForVersion(context, *version, options.wait); !waited) {
    return ReportFailure(context, waited.error());
  }
  json["version"] = *version;
  return PrintResult(
      context, json,
      FormatEdits(*edits) + "accepted as version " + std::to_string(*version) + "\n");
}

int History(const Context& context, std::uint32_t last) {
  const auto response = CallEntryInstance(context, "GET", "/v1/catalogue/history");
  if (!response) return ReportFailure(context, response.error());
  Json list = FindHistoryList(*response);
  if (last > 0 && list.size() > last) list.erase(list.begin(), list.end() - last);
  Json json;
  json["history"] = list;
  return PrintResult(context, json, FormatHistory(list));
}

}  // namespace persimmonstair::cli
