#include "mustardplank/rollout/verdict.hpp"

#include "mustardplank/base/name_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <vector>

namespace mustardplank::rollout {

namespace {

using dispatch::EvidenceCells;
using dispatch::EvidenceCounts;

/// Assumed rate of a good version, from that of the old one, and of a bad one.
constexpr double kGoodFactor = 1.3;
constexpr double kMinGoodFailures = 0.01;
constexpr double kMinBadFailures = 0.06;
constexpr double kBadFactor = 2.0;
constexpr double kBadMargin = 0.04;
/// Slow responses: part that a good version may have beyond that of the old one, and a bad one has.
constexpr double kGoodSlowMargin = 0.03;
constexpr double kBadSlowMargin = 0.2;
/// Classes (half octaves) above the old version's median and ninth decile from which a response is
/// slow: a factor of 2 to 2.8.
constexpr std::size_t kSlowClasses = 2;
constexpr double kMedian = 0.5;
constexpr double kHighQuantile = 0.9;
/// Responses of the old version without which its times are not known.
constexpr std::uint64_t kMinOldTimes = 30;
/// A failure domain in which the old version fails more than this says nothing.
constexpr double kMaxOldFailures = 0.3;
/// Groups of servers with fewer responses do not count for the median.
constexpr std::uint64_t kMinGroupResponses = 10;
/// Difference of two proportions, in standard deviations, and the failures that it takes at least.
constexpr double kMaxDeviations = 5.0;
constexpr std::uint64_t kMinFailuresOfDifference = 8;

struct Proportion
{
  std::uint64_t hits = 0;
  std::uint64_t all = 0;

  Proportion& operator+=(const Proportion& aOther)
  {
    hits += aOther.hits;
    all += aOther.all;
    return *this;
  }
  double rate() const
  {
    return all == 0 ? 0.0 : static_cast<double>(hits) / static_cast<double>(all);
  }
};

/// Log likelihood ratio of "bad" to "good" for counts, where each response is a hit with
/// probability aGood or aBad.
double
logRatio(const Proportion& aCounts, double aGood, double aBad)
{
  const auto misses = static_cast<double>(aCounts.all - std::min(aCounts.hits, aCounts.all));
  return static_cast<double>(aCounts.hits) * std::log(aBad / aGood) +
         misses * std::log((1.0 - aBad) / (1.0 - aGood));
}

double
deviations(const Proportion& aNew, const Proportion& aOld)
{
  if (aNew.all == 0 || aOld.all == 0) {
    return 0.0;
  }
  const double pooled =
    static_cast<double>(aNew.hits + aOld.hits) / static_cast<double>(aNew.all + aOld.all);
  const double variance =
    pooled * (1.0 - pooled) *
    (1.0 / static_cast<double>(aNew.all) + 1.0 / static_cast<double>(aOld.all));
  return variance > 0.0 ? (aNew.rate() - aOld.rate()) / std::sqrt(variance) : 0.0;
}

/// One failure domain of one route.
struct Stratum
{
  EvidenceCounts target;
  EvidenceCounts others;
  std::map<std::uint32_t, EvidenceCounts> groups;
};

using Strata = std::map<FailureDomainId, Stratum>;

/// Failures of the others, without servers that fail although the rest of the version is sound.
Proportion
soundFailures(const Stratum& aStratum)
{
  std::vector<Proportion> groups;
  for (const auto& [group, counts] : aStratum.groups) {
    if (counts.responses >= kMinGroupResponses) {
      groups.push_back({ counts.bad, counts.responses });
    }
  }
  if (groups.empty()) {
    return { aStratum.others.bad, aStratum.others.responses };
  }
  std::sort(groups.begin(), groups.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.rate() < aRight.rate();
  });
  const auto n = (groups.size() + 1) / 2;
  // Half of the groups, as a single one has few responses.
  Proportion sum;
  for (std::size_t i = 0; i < n; ++i) {
    sum += groups[i];
  }
  const auto median = groups[(groups.size() - 1) / 2];
  return sum.rate() >= median.rate() ? sum : median;
}

std::uint64_t
sumOf(const EvidenceCounts& aCounts)
{
  std::uint64_t sum = 0;
  for (const auto n : aCounts.times) {
    sum += n;
  }
  return sum;
}

std::size_t
quantileClass(const EvidenceCounts& aCounts, double aQuantile)
{
  const double wanted = aQuantile * static_cast<double>(sumOf(aCounts));
  double sum = 0;
  for (std::size_t i = 0; i < aCounts.times.size(); ++i) {
    sum += static_cast<double>(aCounts.times[i]);
    if (sum >= wanted) {
      return i;
    }
  }
  return aCounts.times.size() - 1;
}

Proportion
above(const EvidenceCounts& aCounts, std::size_t aClass)
{
  Proportion slow{ 0, sumOf(aCounts) };
  for (std::size_t i = aClass + 1; i < aCounts.times.size(); ++i) {
    slow.hits += aCounts.times[i];
  }
  return slow;
}

/// Sum of a test over the failure domains.
struct TestResult
{
  double logRatio = 0.0;
  Proportion target;
  Proportion others;

  TestResult& operator+=(const TestResult& aOther)
  {
    logRatio += aOther.logRatio;
    target += aOther.target;
    others += aOther.others;
    return *this;
  }
};

TestResult
testFailures(const Strata& aStrata)
{
  TestResult result;
  for (const auto& [domain, stratum] : aStrata) {
    const auto sound = soundFailures(stratum);
    if (sound.rate() > kMaxOldFailures) {
      continue;
    }
    const Proportion target{ stratum.target.bad, stratum.target.responses };
    const double good = std::max(kMinGoodFailures, kGoodFactor * sound.rate() + kMinGoodFailures);
    const double bad = std::max(kMinBadFailures, kBadFactor * good + kBadMargin);
    result += { logRatio(target, good, bad), target, sound };
  }
  return result;
}

TestResult
testTimes(const Strata& aStrata, double aQuantile)
{
  TestResult result;
  for (const auto& [domain, stratum] : aStrata) {
    if (sumOf(stratum.others) < kMinOldTimes) {
      continue;
    }
    const auto limit = quantileClass(stratum.others, aQuantile) + kSlowClasses;
    const auto others = above(stratum.others, limit);
    const auto target = above(stratum.target, limit);
    const double good = others.rate() + kGoodSlowMargin;
    result += { logRatio(target, good, good + kBadSlowMargin), target, others };
  }
  return result;
}

enum class Test
{
  Failures,
  Median,
  HighQuantile,
};

constexpr NameTable<Test, 3> kTestNames{ { {
  { Test::Failures, "failures" },
  { Test::Median, "slow beside the median" },
  { Test::HighQuantile, "slow beside the ninth decile" },
} } };
constexpr std::array<Test, 3> kTests{ Test::Failures, Test::Median, Test::HighQuantile };

TestResult
runTest(Test aTest, const Strata& aStrata)
{
  switch (aTest) {
    case Test::Failures:
      break;
    case Test::Median:
      return testTimes(aStrata, kMedian);
    case Test::HighQuantile:
      return testTimes(aStrata, kHighQuantile);
  }
  return testFailures(aStrata);
}

std::string
describe(const std::string& aWhere, Test aTest, const TestResult& aResult)
{
  return std::string(kTestNames.name(aTest)) + " " + aWhere + ": " +
         std::to_string(aResult.target.hits) + " of " + std::to_string(aResult.target.all) +
         ", old " + std::to_string(aResult.others.hits) + " of " +
         std::to_string(aResult.others.all);
}

bool
isBad(const TestResult& aResult, const TestOptions& aOptions, bool aByDifference)
{
  const double limit = std::log((1.0 - aOptions.falseNegative) / aOptions.falsePositive);
  return aResult.logRatio >= limit ||
         (aByDifference && aResult.target.hits >= kMinFailuresOfDifference &&
          deviations(aResult.target, aResult.others) >= kMaxDeviations);
}

bool
isGood(const TestResult& aResult, const TestOptions& aOptions)
{
  return aResult.logRatio <= std::log(aOptions.falseNegative / (1.0 - aOptions.falsePositive));
}

}

Verdict
judge(const EvidenceCells& aCells, const TestOptions& aOptions)
{
  std::map<route::RouteId, Strata> routes;
  Verdict verdict;
  for (const auto& [key, counts] : aCells) {
    auto& stratum = routes[key.route][key.domain];
    verdict.allResponses += counts.responses;
    if (key.isTarget) {
      stratum.target += counts;
      verdict.responses += counts.responses;
      verdict.bad += counts.bad;
    } else {
      stratum.others += counts;
      stratum.groups[key.group] += counts;
    }
  }
  std::array<TestResult, kTests.size()> all;
  std::string suspected;
  for (const auto& [route, strata] : routes) {
    for (std::size_t i = 0; i < kTests.size(); ++i) {
      const auto result = runTest(kTests[i], strata);
      if (result.logRatio > verdict.suspicion) {
        verdict.suspicion = result.logRatio;
        suspected = "; most against it: " + describe("on route " + route.str(), kTests[i], result);
      }
      all[i] += result;
      if (isBad(result, aOptions, kTests[i] == Test::Failures)) {
        verdict.conclusion = Conclusion::Bad;
        verdict.reason = describe("on route " + route.str(), kTests[i], result);
        return verdict;
      }
    }
  }
  // A fault on all routes shows sooner in their sum.
  for (std::size_t i = 0; i < kTests.size(); ++i) {
    verdict.suspicion = std::max(verdict.suspicion, all[i].logRatio);
    if (isBad(all[i], aOptions, false)) {
      verdict.conclusion = Conclusion::Bad;
      verdict.reason = describe("on all routes", kTests[i], all[i]);
      return verdict;
    }
  }
  verdict.conclusion = isGood(all.front(), aOptions) ? Conclusion::Good : Conclusion::Undecided;
  verdict.reason = std::to_string(verdict.bad) + " failures of " +
                   std::to_string(verdict.responses) + " responses" + suspected;
  return verdict;
}

}
