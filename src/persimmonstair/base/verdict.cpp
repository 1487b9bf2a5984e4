#include "persimmonstair/base/verdict.hpp"

namespace persimmonstair::base {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

std::optional<Verdict> ParseVerdict(std::string_view text) {
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (text == ToString(verdict)) return verdict;
  }
  return std::nullopt;
}

}  // namespace persimmonstair::base
