#include "cli/cli.hpp"
#include "cli/commands.hpp"

namespace persimmonstair::cli {
namespace {

std::size_t LiveCount(const Json& status) {
  const auto live = status.is_object() ? status.find("live") : status.end();
  return status.is_object() && live != status.end() && live->is_array() ? live->size() : 0;
}

std::string DescribeStatus(const std::string& admin, const Json& status) {
  std::string out = TextMember(status, "instance");
  out.append(" (").append(admin).append(")  data centre ");
  out.append(TextMember(status, "data_centre")).append("  state ");
  out.append(TextMember(status, "state")).append("  catalogue version ");
  out.append(std::to_string(NumberMember(status, "catalogue_version"))).append("  incarnation ");
  out.append(std::to_string(NumberMember(status, "incarnation"))).append("  live instances ");
  out.append(std::to_string(LiveCount(status))).append("\n");
  return out;
}

}  // namespace

int Status(const Context& context) {
  if (context.admin.empty()) {
    return Report(context, UsageError("give the instances' admin ports with --admin").value());
  }
  Json json;
  json["instances"] = Json::array();
  std::string text;
  int code = kOk;
  for (const std::string& admin : context.admin) {
    const auto status = Call(context, admin, "", "GET", "/status");
    Json item;
    item["admin"] = admin;
    if (status) {
      item["status"] = *status;
      text += DescribeStatus(admin, *status);
    } else {
      item["error"] = status.error().message;
      text += status.error().message + "\n";
      code = status.error().exit_code;
    }
    json["instances"].push_back(std::move(item));
  }
  Print(context, json, text);
  return code;
}

int Drain(const Context& context) {
  if (context.admin.size() != 1) {
    return Report(context, UsageError("drain stops one instance: give one --admin").value());
  }
  const auto answer = Call(context, context.admin.front(), "", "POST", "/admin/drain");
  if (!answer) return Report(context, answer.error());
  return Print(context, *answer, "planned stop of " + context.admin.front() + " began\n");
}

}  // namespace persimmonstair::cli
