#include "cli/catalogue_view.hpp"

#include <set>
#include <thread>

#include "cli/cli.hpp"

namespace persimmonstair::cli {
namespace {

constexpr std::chrono::milliseconds kStatusPollInterval{100};

tl::unexpected<Failure> MalformedResponse(const std::string& detail) {
  return tl::make_unexpected(Failure{kUnknown, "incomplete_answer", detail, "", 0});
}

std::string FormatChangedMembers(const Edit& edit) {
  std::string out;
  if (!edit.old_value.is_object() || !edit.value.is_object()) return out;
  const auto text = [](const Json& object, const std::string& name) {
    return object.contains(name) ? object[name].dump() : std::string("(none)");
  };
  std::set<std::string> names;
  for (const auto& [name, value] : edit.old_value.items()) names.insert(name);
  for (const auto& [name, value] : edit.value.items()) names.insert(name);
  for (const std::string& name : names) {
    const std::string before = text(edit.old_value, name);
    const std::string after = text(edit.value, name);
    if (before == after) continue;
    out.append("    ").append(name).append(": ").append(before);
    out.append(" -> ").append(after).append("\n");
  }
  return out;
}

const char* EditMarker(const Edit& edit) {
  if (edit.remove) return "- ";
  return edit.old_value.is_null() ? "+ " : "~ ";
}

/// Result of requesting /status once from each --admin address.
struct StatusPoll {
  /// Instances that report the version or a later one.
  std::set<std::string> current;
  /// Instances that returned their status.
  std::set<std::string> responded;
  /// Instances that any of them lists as live.
  std::set<std::string> live;
  /// Message of the last request that failed; empty if all succeeded.
  std::string failure;
};

StatusPoll PollStatus(const Context& context, std::uint64_t version) {
  StatusPoll out;
  for (const std::string& admin : context.admin) {
    const auto status = Call(context, admin, "", "GET", "/status");
    if (!status) {
      out.failure = status.error().message;
      continue;
    }
    const std::string instance = StringMember(*status, "instance");
    out.responded.insert(instance.empty() ? admin : instance);
    if (UnsignedMember(*status, "catalogue_version") >= version) {
      out.current.insert(instance.empty() ? admin : instance);
    }
    const auto live = status->find("live");
    if (live == status->end() || !live->is_array()) continue;
    for (const Json& id : *live) {
      if (id.is_string()) out.live.insert(id);
    }
  }
  return out;
}

std::string Join(const std::set<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out.append(out.empty() ? "" : ", ").append(name);
  return out;
}

std::set<std::string> SetDifference(std::set<std::string> names,
                                    const std::set<std::string>& removed) {
  for (const std::string& name : removed) names.erase(name);
  return names;
}

}  // namespace

Outcome<CatalogueView> ParseCatalogue(const Json& json) {
  if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned() ||
      !json.contains("entries") || !json["entries"].is_array()) {
    return MalformedResponse("the catalogue in the response lacks version or entries");
  }
  CatalogueView out;
  out.version = json["version"];
  for (const Json& item : json["entries"]) {
    const bool valid = item.is_object() && item.contains("section") &&
                       item["section"].is_string() && item.contains("name") &&
                       item["name"].is_string() && item.contains("version") &&
                       item["version"].is_number_unsigned() && item.contains("value");
    if (!valid) return MalformedResponse("an entry lacks section, name, version or value");
    out.entries[{item["section"], item["name"]}] = {item["version"], item["value"]};
  }
  return out;
}

Outcome<CatalogueView> FetchCatalogue(const Context& context) {
  const auto json = CallEntryInstance(context, "GET", "/v1/catalogue");
  if (!json) return tl::make_unexpected(json.error());
  return ParseCatalogue(*json);
}

std::vector<Edit> ComputeEdits(const CatalogueView& current, const Json& document, bool prune) {
  std::vector<Edit> out;
  std::set<EntryName> wanted;
  for (const auto& [section, entries] : document.items()) {
    for (const auto& [name, value] : entries.items()) {
      wanted.insert({section, name});
      const auto it = current.entries.find({section, name});
      if (it == current.entries.end()) {
        out.push_back({{section, name}, 0, false, value, nullptr});
      } else if (it->second.value != value) {
        out.push_back({{section, name}, it->second.version, false, value, it->second.value});
      }
    }
  }
  if (!prune) return out;
  for (const auto& [name, entry] : current.entries) {
    if (!wanted.contains(name)) out.push_back({name, entry.version, true, nullptr, entry.value});
  }
  return out;
}

std::string FormatEdits(const std::vector<Edit>& edits) {
  std::string out;
  for (const Edit& edit : edits) {
    out.append(EditMarker(edit)).append(edit.name.first).append("/").append(edit.name.second);
    if (edit.base_version > 0) {
      out.append(" (version ").append(std::to_string(edit.base_version)).append(")");
    }
    out.append("\n").append(FormatChangedMembers(edit));
  }
  return out;
}

Json ToJson(const std::vector<Edit>& edits) {
  Json out = Json::array();
  for (const Edit& edit : edits) {
    Json item;
    item["section"] = edit.name.first;
    item["name"] = edit.name.second;
    item["base_version"] = edit.base_version;
    item["remove"] = edit.remove;
    if (!edit.remove) item["value"] = edit.value;
    out.push_back(std::move(item));
  }
  return out;
}

Outcome<std::uint64_t> SendChange(const Context& context, const std::vector<Edit>& edits,
                                  const std::string& reason) {
  Json body;
  body["reason"] = reason;
  body["edits"] = ToJson(edits);
  const auto response = CallEntryInstance(context, "POST", "/v1/catalogue/changes", body.dump());
  if (!response) return tl::make_unexpected(response.error());
  if (!response->is_object() || !response->contains("version") ||
      !(*response)["version"].is_number_unsigned()) {
    return MalformedResponse("the response to the catalogue change lacks a version");
  }
  return (*response)["version"].get<std::uint64_t>();
}

Outcome<void> WaitForVersion(const Context& context, std::uint64_t version,
                             const WaitOptions& options) {
  if (!options.wait) return {};
  if (context.admin.empty()) return UsageError("--wait needs the instances' --admin addresses");
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(options.timeout_ms);
  for (;;) {
    const StatusPoll poll = PollStatus(context, version);
    const std::set<std::string> unknown = SetDifference(poll.live, poll.responded);
    const std::set<std::string> behind = SetDifference(poll.responded, poll.current);
    if (poll.failure.empty() && unknown.empty() && behind.empty()) return {};
    if (std::chrono::steady_clock::now() >= deadline) {
      std::string detail = "version " + std::to_string(version) +
                           " is accepted, but not yet reported by all live instances";
      if (!behind.empty()) detail += "; behind: " + Join(behind);
      if (!unknown.empty()) detail += "; live without --admin address: " + Join(unknown);
      if (!poll.failure.empty()) detail += "; unreachable: " + poll.failure;
      return tl::make_unexpected(Failure{kUnknown, "not_everywhere", detail, "ran", 0});
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  }
}

}  // namespace persimmonstair::cli
