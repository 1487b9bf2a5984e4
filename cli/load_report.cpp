#include <algorithm>
#include <cmath>
#include <cstdio>

#include "cli/cli.hpp"
#include "cli/load.hpp"

namespace persimmonstair::cli {
namespace {

std::string FormatFixed(double value) {
  char buf[40];
  std::snprintf(buf, sizeof buf, "%.2f", value);
  return buf;
}

Json LatenciesToJson(const LatencySamples& samples) {
  Json out;
  out["count"] = samples.size();
  out["p50_ms"] = samples.PercentileMs(50);
  out["p95_ms"] = samples.PercentileMs(95);
  out["p99_ms"] = samples.PercentileMs(99);
  out["max_ms"] = samples.PercentileMs(100);
  return out;
}

std::string FormatLatencies(const char* label, const LatencySamples& samples) {
  if (samples.size() == 0) return "";
  std::string out(label);
  for (const double percent : {50.0, 95.0, 99.0}) {
    out.append("  p").append(std::to_string(static_cast<int>(percent))).append(" ");
    out.append(FormatFixed(samples.PercentileMs(percent))).append(" ms");
  }
  out.append("  max ").append(FormatFixed(samples.PercentileMs(100))).append(" ms");
  return out.append("  (").append(std::to_string(samples.size())).append(")\n");
}

std::string FormatCounts(const char* label, const std::map<std::string, std::uint64_t>& counts) {
  if (counts.empty()) return "";
  std::string out(label);
  for (const auto& [name, count] : counts) {
    out.append("  ").append(name).append(" ").append(std::to_string(count));
  }
  return out.append("\n");
}

}  // namespace

double LatencySamples::PercentileMs(double percent) const {
  if (values_.empty()) return 0;
  std::vector<std::int64_t> sorted = values_;
  const auto rank =
      static_cast<std::size_t>(std::ceil(percent / 100 * static_cast<double>(sorted.size())));
  const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
  std::nth_element(sorted.begin(), nth, sorted.end());
  return static_cast<double>(*nth) / 1000;
}

Json ToJson(const LoadReport& report) {
  Json out;
  out["ok"] = report.ok;
  out["refused"] = report.refused;
  out["failed"] = report.failed;
  out["elapsed_s"] = report.elapsed_s;
  out["verdicts"] = report.verdicts;
  out["codes"] = report.codes;
  out["requests"] = LatenciesToJson(report.requests);
  out["programs"] = LatenciesToJson(report.programs);
  out["programs_failed"] = report.programs_failed;
  return out;
}

std::string FormatLoadReport(const LoadReport& report) {
  const std::uint64_t total = report.ok + report.refused + report.failed;
  const double per_s = report.elapsed_s > 0 ? static_cast<double>(total) / report.elapsed_s : 0;
  std::string out = std::to_string(total) + " requests in " + FormatFixed(report.elapsed_s) +
                    " s (" + FormatFixed(per_s) + "/s): ok " + std::to_string(report.ok) +
                    ", refused " + std::to_string(report.refused) + ", failed " +
                    std::to_string(report.failed) + "\n";
  out += FormatLatencies("requests", report.requests);
  out += FormatLatencies("programs", report.programs);
  if (report.programs_failed > 0) {
    out += "programs not completed  " + std::to_string(report.programs_failed) + "\n";
  }
  out += FormatCounts("verdicts", report.verdicts);
  out += FormatCounts("codes", report.codes);
  return out;
}

int Load(const Context& context, const LoadOptions& options) {
  std::string key;
  if (!context.key_file.empty() || std::getenv("PERSIMMONSTAIR_KEY") != nullptr) {  // NOLINT
    auto read = ReadKey(context, "PERSIMMONSTAIR_KEY");
    if (!read) return ReportFailure(context, read.error());
    key = std::move(*read);
  }
  const auto report = RunLoad(context, options, key);
  if (!report) return ReportFailure(context, report.error());
  PrintResult(context, ToJson(*report), FormatLoadReport(*report));
  return report->failed == 0 ? kOk : kUnknown;
}

}  // namespace persimmonstair::cli
