#pragma once

#include "mustardplank/dispatch/version_evidence.hpp"

#include <cstdint>
#include <string>

namespace mustardplank::rollout {

/// Error rates of the sequential tests, for one route.
struct TestOptions
{
  /// Probability that a version which is as good as the old one is found bad.
  double falsePositive = 1e-5;
  /// Probability that a version which is as bad as a test assumes is found good.
  double falseNegative = 1e-3;
};

enum class Conclusion
{
  Good,
  Undecided,
  Bad,
};

struct Verdict
{
  Conclusion conclusion = Conclusion::Undecided;
  /// Responses of the version on trial.
  std::uint64_t responses = 0;
  std::uint64_t bad = 0;
  /// Largest log likelihood ratio of "bad" to "good" of a test; above 0 the evidence speaks against
  /// the version.
  double suspicion = 0.0;
  /// Of all versions.
  std::uint64_t allResponses = 0;
  /// Route and test that gave the finding, with its counts; for people.
  std::string reason;
};

/// Compares the version on trial with the others, on each route by itself and in each failure
/// domain by itself: failures, and times.
///
/// Two tests each: Wald's sequential probability ratio test finds a large difference after few
/// responses; the difference of two proportions finds a small one after many.
Verdict
judge(const dispatch::EvidenceCells& aCells, const TestOptions& aOptions = {});

}
