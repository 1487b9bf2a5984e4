#include "persimmonstair/dispatch/failure_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace persimmonstair::dispatch {
namespace {

/// Share of failures at a failing target that the test looks for; targets in trouble typically fail
/// 40% of their requests.
constexpr double kFailingShare = 0.3;
/// Time constant in which the score falls without requests, so that it expires.
constexpr double kScoreSeconds = 5;
/// Each further failure that another instance reports in the window counts this much of the one
/// before.
constexpr double kRepeatWeight = 0.5;
/// Sum of the weights of sources that aren't trusted. One and a half failures stay below
/// kFailingScore at the lowest background.
constexpr double kMaxUntrustedWeight = 1.5;

double FailingShare(const FailureModel& model) {
  return std::min(0.9, std::max(kFailingShare, 2 * model.background));
}

// Returns the change of the score by a failure.
double FailureGain(const FailureModel& model) {
  return std::log(FailingShare(model) / model.background);
}

// Returns the fall of the score by an answer.
double AnswerLoss(const FailureModel& model) {
  return std::log((1 - model.background) / (1 - FailingShare(model)));
}

}  // namespace

void FailureEvidence::Add(base::TimePoint now, const EvidenceSource& source,
                          const FailureModel& model) {
  std::erase_if(records_, [now](const Record& one) { return now - one.at > kEvidenceWindow; });
  const double weight = WeightOf(now, source);
  // A record without weight must not displace one that limits the weight of others.
  if (weight <= 0) return;
  if (records_.size() == kMaxRecords) records_.erase(records_.begin());
  records_.push_back({now, source, weight});
  score_ = Score(now) + weight * FailureGain(model);
  score_at_ = now;
  fall_per_s_ = model.requests_per_s * AnswerLoss(model);
}

double FailureEvidence::Score(base::TimePoint now) const {
  const double age = base::ToSeconds(now - score_at_);
  return std::max(0.0, score_ * std::exp(-age / kScoreSeconds) - fall_per_s_ * age);
}

void FailureEvidence::Reset(base::TimePoint now, double score, const FailureModel& model) {
  records_.clear();
  score_ = score;
  score_at_ = now;
  fall_per_s_ = model.requests_per_s * AnswerLoss(model);
}

double FailureEvidence::WeightOf(base::TimePoint now, const EvidenceSource& source) const {
  if (source.instance == 0) return 1;
  double weight = std::pow(kRepeatWeight, static_cast<double>(CountOf(now, source.instance)));
  if (source.trusted) return weight;
  double untrusted = 0;
  for (const Record& one : records_) {
    if (!one.source.trusted && now - one.at <= kEvidenceWindow) untrusted += one.weight;
  }
  return std::clamp(kMaxUntrustedWeight - untrusted, 0.0, weight);
}

std::size_t FailureEvidence::CountOf(base::TimePoint now, std::uint64_t instance) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(), [&](const Record& one) {
        return one.source.instance == instance && now - one.at <= kEvidenceWindow;
      }));
}

bool FailureEvidence::IsCorroborated(base::TimePoint now) const {
  return Reporters(now) >= 2 || CountOf(now, 0) >= 2;
}

std::size_t FailureEvidence::Failures(base::TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [&](const Record& one) { return now - one.at <= kEvidenceWindow; }));
}

std::size_t FailureEvidence::Reporters(base::TimePoint now) const {
  std::set<std::uint64_t> instances;
  for (const Record& one : records_) {
    if (now - one.at <= kEvidenceWindow) instances.insert(one.source.instance);
  }
  return instances.size();
}

}  // namespace persimmonstair::dispatch
