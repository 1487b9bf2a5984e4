#include <nlohmann/json.hpp>
#include <set>

#include "scheduler_impl.hpp"

namespace persimmonstair::scheduler {
namespace {

using base::ErrorCode;
using base::Fail;
using Json = nlohmann::json;

base::Result<schema::CatalogueEdit> ParseEdit(const Json& json) {
  static const std::set<std::string> fields = {"section", "name", "base_version", "remove",
                                               "value"};
  if (!json.is_object()) return Fail(ErrorCode::kInvalidRequest, "an edit must be a JSON object");
  for (const auto& [field, value] : json.items()) {
    if (!fields.contains(field)) {
      return Fail(ErrorCode::kInvalidRequest, "unknown field '" + field + "' in an edit");
    }
  }
  schema::CatalogueEdit edit;
  try {
    edit.section = json.at("section").get<std::string>();
    edit.name = json.at("name").get<std::string>();
    edit.base_version = json.value("base_version", std::uint64_t{0});
    edit.remove = json.value("remove", false);
    if (!edit.remove) edit.value = json.at("value").dump();
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidRequest, std::string("invalid edit: ") + error.what());
  }
  return edit;
}

base::Result<schema::CatalogueChange> ParseChange(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("edits") || !json["edits"].is_array()) {
    return Fail(ErrorCode::kInvalidRequest, "the body must be a JSON object with an array 'edits'");
  }
  schema::CatalogueChange change;
  if (json.contains("reason") && json["reason"].is_string()) {
    change.reason = json["reason"].get<std::string>();
  }
  for (const Json& it : json["edits"]) {
    auto edit = ParseEdit(it);
    if (!edit) return tl::make_unexpected(edit.error());
    change.edits.push_back(std::move(*edit));
  }
  return change;
}

Json HistoryJson(const std::vector<catalogue::AuditEntry>& audit) {
  Json out = Json::array();
  for (const auto& it : audit) {
    out.push_back({{"version", it.version},
                   {"previous_version", it.previous_version},
                   {"author", it.author},
                   {"reason", it.reason},
                   {"at_ms", it.at_ms},
                   {"edits", it.edits}});
  }
  return out;
}

}  // namespace

void Scheduler::Impl::HandleOperatorCall(base::RequestId id) {
  const Request& request = *Find(id);
  if (request.call.kind == CallKind::kReadCatalogue) {
    return Finish(id, 200, {}, catalogue_.ToJson());
  }
  if (request.call.kind == CallKind::kReadHistory) {
    return Finish(id, 200, {}, Json{{"history", HistoryJson(catalogue_.audit())}}.dump());
  }
  StartCatalogueChange(id);
}

void Scheduler::Impl::StartCatalogueChange(base::RequestId id) {
  Request& request = *Find(id);
  auto change = ParseChange(request.call.body);
  if (!change) return FinishError(id, change.error());
  if (!LogReachable()) {
    return FinishError(id, {ErrorCode::kLogUnavailable, "the log cannot be reached",
                            base::Verdict::kNotRun, std::chrono::seconds{2}});
  }
  change->id = NextRecordId();
  change->author = request.key.value;
  change->at_ms = base::UnixMillis(now_.wall);
  if (const auto valid = catalogue_.Validate(*change); !valid) {
    return FinishError(id, valid.error());
  }
  PendingChange pending;
  pending.request = id;
  for (const auto& edit : change->edits) {
    if (edit.section == "keys" && edit.remove) pending.withdrawn_keys.push_back({edit.name});
  }
  request.stage = RequestStage::kCatalogue;
  pending_changes_[change->id] = std::move(pending);
  AppendRecord(kCatalogueStream, *change);
}

void Scheduler::Impl::EndCatalogueChange(const base::RecordId& record,
                                         const base::Result<void>& result) {
  const auto it = pending_changes_.find(record);
  if (it == pending_changes_.end()) return;
  const PendingChange pending = std::move(it->second);
  pending_changes_.erase(it);
  if (!result) return FinishError(pending.request, result.error());
  // Peers that cannot read the log at the moment learn of withdrawn keys by these messages.
  for (const auto& key : pending.withdrawn_keys) {
    Emit(BroadcastPeer{schema::KeyWithdrawn{key, catalogue_.version()}});
  }
  Finish(pending.request, 200, {}, Json{{"version", catalogue_.version()}}.dump());
}

void Scheduler::Impl::PropagateCatalogue() {
  ApplyLimits();
  routing::CatalogueApplied applied;
  for (const auto& [id, target] : document().targets) applied.targets.push_back(target);
  for (const auto& [id, workspace] : document().workspaces) {
    applied.weights[id] = workspace.weight;
  }
  Route(applied);
  EndRequestsOfInvalidKeys();
}

}  // namespace persimmonstair::scheduler
