#ifndef PERSIMMONSTAIR_DISPATCH_FAILURE_EVIDENCE_HPP_
#define PERSIMMONSTAIR_DISPATCH_FAILURE_EVIDENCE_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "persimmonstair/base/time.hpp"

namespace persimmonstair::dispatch {

/// Time for which a failure at a target counts.
inline constexpr std::chrono::milliseconds kEvidenceWindow{3000};
/// Score from which a target is taken for failing. At 22 requests per second to a target, three
/// failures within 0.7 s reach it if the rest is sound; with 1% lost answers everywhere, four
/// within 0.3 s.
inline constexpr double kFailingScore = 11;

/// @brief What is expected of a target if it is sound.
struct FailureModel {
  /// Share of failures among the requests of the service's other targets, above 0 and below 1.
  double background = 0.005;
  /// Requests per second that all instances together send to one target.
  double requests_per_s = 0;
};

/// @brief An instance that reports failures, as seen by the instance that weighs them.
struct EvidenceSource {
  /// Identifies the instance; 0 is this one.
  std::uint64_t instance = 0;
  /// False if the instance may miss the target only because its data centre is cut off.
  bool trusted = true;
};

/// @brief Evidence that one target fails: the failures of the last seconds, and a score.
///
/// The score is the cumulative sum of a sequential test (CUSUM): the logarithm of how much likelier
/// the observed results are at a failing target than at a sound one, at least 0. Answers are not
/// reported by other instances; as many are assumed as the service's requests per target and
/// second.
///
///     evidence.Add(now, {reporter, true}, model);
///     if (evidence.Score(now) >= kFailingScore && evidence.IsCorroborated(now)) Eject();
class FailureEvidence {
 public:
  /// Adds a failure. Further ones of the same other instance count less and less, and those of
  /// sources that aren't trusted never suffice alone.
  void Add(base::TimePoint now, const EvidenceSource& source, const FailureModel& model);

  /// Returns the score, which falls with the requests that are assumed to be answered.
  double Score(base::TimePoint now) const;
  /// Replaces the score and forgets the failures.
  void Reset(base::TimePoint now, double score, const FailureModel& model);

  /// True if two instances or two failures of this one support the score.
  bool IsCorroborated(base::TimePoint now) const;
  /// Number of failures in the window; at most kMaxRecords.
  std::size_t Failures(base::TimePoint now) const;
  /// Number of different instances that saw them.
  std::size_t Reporters(base::TimePoint now) const;

 private:
  /// Bounds the memory for one target; usually the score reaches kFailingScore with fewer failures.
  static constexpr std::size_t kMaxRecords = 16;

  struct Record {
    base::TimePoint at;
    EvidenceSource source;
    double weight = 1;
  };

  double WeightOf(base::TimePoint now, const EvidenceSource& source) const;
  std::size_t CountOf(base::TimePoint now, std::uint64_t instance) const;

  std::vector<Record> records_;
  double score_ = 0;
  base::TimePoint score_at_;
  /// Fall of the score per second by answers.
  double fall_per_s_ = 0;
};

}  // namespace persimmonstair::dispatch

#endif  // PERSIMMONSTAIR_DISPATCH_FAILURE_EVIDENCE_HPP_
