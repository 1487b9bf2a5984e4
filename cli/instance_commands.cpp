#include "cli/cli.hpp"
#include "cli/commands.hpp"

namespace persimmonstair::cli {
namespace {

std::size_t CountLiveInstances(const Json& status) {
  const auto live = status.is_object() ? status.find("live") : status.end();
  return status.is_object() && live != status.end() && live->is_array() ? live->size() : 0;
}

std::string FormatStatus(const std::string& admin, const Json& status) {
  std::string out = StringMember(status, "instance");
  out.append(" (").append(admin).append(")  data centre ");
  out.append(StringMember(status, "data_centre")).append("  state ");
  out.append(StringMember(status, "state")).append("  catalogue version ");
  out.append(std::to_string(UnsignedMember(status, "catalogue_version"))).append("  incarnation ");
  out.append(std::to_string(UnsignedMember(status, "incarnation"))).append("  live instances ");
  out.append(std::to_string(CountLiveInstances(status))).append("\n");
  return out;
}

}  // namespace

int Status(const Context& context) {
  if (context.admin.empty()) {
    return ReportFailure(
        context, UsageError("status needs the admin ports of the instances: give --admin").value());
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
      text += FormatStatus(admin, *status);
    } else {
      item["error"] = status.error().message;
      text += status.error().message + "\n";
      code = status.error().exit_code;
    }
    json["instances"].push_back(std::move(item));
  }
  PrintResult(context, json, text);
  return code;
}

int Drain(const Context& context) {
  if (context.admin.size() != 1) {
    return ReportFailure(context,
                         UsageError("drain stops exactly one instance: give one --admin").value());
  }
  const auto response = Call(context, context.admin.front(), "", "POST", "/admin/drain");
  if (!response) return ReportFailure(context, response.error());
  return PrintResult(context, *response, "planned stop of " + context.admin.front() + " began\n");
}

}  // namespace persimmonstair::cli
