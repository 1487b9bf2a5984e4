#include <cstdio>
#include <fstream>

#include "cli/cli.hpp"
#include "cli/commands.hpp"
#include "persimmonstair/scheduler/scheduler.hpp"
#include "persimmonstair/trace/replay.hpp"

namespace persimmonstair::cli {
namespace {

std::string FormatDigest(std::uint64_t digest) {
  char buf[20];
  std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(digest));  // NOLINT
  return buf;
}

std::string FormatCountLine(const char* label, const std::map<std::string, std::uint64_t>& counts) {
  std::string out(label);
  for (const auto& [name, count] : counts) {
    out.append("  ").append(name).append(" ").append(std::to_string(count));
  }
  return out.append("\n");
}

}  // namespace

int Replay(const Context& context, const ReplayOptions& options) {
  std::ifstream in(options.file);
  std::string first;
  if (!in || !std::getline(in, first)) {
    return ReportFailure(context, UsageError("cannot read trace '" + options.file + "'").value());
  }
  const auto parsed = trace::ParseOptions(first);
  if (!parsed) {
    return ReportFailure(context,
                         Refused("invalid_trace", "line 1: " + parsed.error().message).value());
  }
  scheduler::Scheduler scheduler(*parsed);
  const auto summary =
      trace::Replay(scheduler, in, [&](const base::Now& /*now*/, const scheduler::Action& action) {
        if (options.print_actions) context.out << trace::FormatAction(action) << "\n";
      });
  if (!summary) {
    return ReportFailure(context, Refused("invalid_trace", summary.error().message).value());
  }
  Json json;
  json["events"] = summary->events;
  json["actions"] = summary->actions;
  json["digest"] = FormatDigest(summary->digest);
  json["reply_statuses"] = Json::object();
  std::map<std::string, std::uint64_t> statuses;
  for (const auto& [status, count] : summary->reply_statuses) {
    statuses[std::to_string(status)] = count;
  }
  json["reply_statuses"] = statuses;
  return PrintResult(
      context, json,
      FormatCountLine("events", summary->events) + FormatCountLine("actions", summary->actions) +
          FormatCountLine("replies", statuses) + "digest  " + FormatDigest(summary->digest) + "\n");
}

}  // namespace persimmonstair::cli
