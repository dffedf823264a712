#include "report.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace mustardplank::load {

namespace {

struct Sums
{
  std::size_t requests = 0;
  std::size_t ok = 0;
  std::size_t attained = 0;
  std::size_t broken = 0;
  std::size_t wrong = 0;
  std::size_t refused = 0;
  std::uint64_t tokens = 0;
  /// Of whole answers, and of those whose first token came in time.
  std::uint64_t wholeTokens = 0;
  std::uint64_t goodTokens = 0;
  std::vector<float> firstToken;
  std::vector<float> gaps;
  std::map<std::string, std::size_t> refusals;

  void add(const Record& aRecord, const Flow& aFlow)
  {
    ++requests;
    tokens += aRecord.tokens;
    if (aRecord.firstTokenMillis >= 0) {
      firstToken.push_back(static_cast<float>(aRecord.firstTokenMillis));
    }
    if (aRecord.outcome == "ok") {
      ++ok;
      const bool inTime = aRecord.firstTokenMillis <= aFlow.targetMillis;
      attained += inTime ? 1 : 0;
      wholeTokens += aRecord.tokens;
      goodTokens += inTime ? aRecord.tokens : 0;
    } else if (aRecord.outcome == "broken") {
      ++broken;
    } else if (aRecord.outcome == "wrong") {
      ++wrong;
    } else {
      ++refused;
      ++refusals[aRecord.outcome];
    }
  }

  void print(std::ostream& aOut, const std::string& aPrefix, double aSeconds)
  {
    aOut << aPrefix << "requests=" << requests << '\n'
         << aPrefix << "ok=" << ok << '\n'
         << aPrefix << "attained=" << attained << '\n'
         << aPrefix << "refused=" << refused << '\n'
         << aPrefix << "broken=" << broken << '\n'
         << aPrefix << "wrong=" << wrong << '\n'
         << aPrefix << "tokens=" << tokens << '\n'
         << aPrefix << "whole_tokens=" << wholeTokens << '\n'
         << aPrefix << "good_tokens=" << goodTokens << '\n'
         << aPrefix << "tokens_per_second=" << static_cast<double>(tokens) / aSeconds << '\n'
         << aPrefix << "first_token_ms_p50=" << percentile(firstToken, 0.5) << '\n'
         << aPrefix << "first_token_ms_p99=" << percentile(firstToken, 0.99) << '\n'
         << aPrefix << "token_gap_ms_p50=" << percentile(gaps, 0.5) << '\n'
         << aPrefix << "token_gap_ms_p99=" << percentile(gaps, 0.99) << '\n';
    for (const auto& [code, n] : refusals) {
      aOut << aPrefix << "refused." << code << '=' << n << '\n';
    }
  }
};

}

double
percentile(std::vector<float>& aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto n = static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(n), aValues.end());
  return aValues[n];
}

void
printReport(std::ostream& aOut,
            const std::vector<Flow>& aFlows,
            const std::vector<Record>& aRecords,
            std::vector<std::vector<float>> aGaps,
            double aSeconds)
{
  Sums all;
  std::vector<Sums> each(aFlows.size());
  for (const auto& it : aRecords) {
    all.add(it, aFlows[it.flow]);
    each[it.flow].add(it, aFlows[it.flow]);
  }
  for (std::size_t i = 0; i < aFlows.size(); ++i) {
    all.gaps.insert(all.gaps.end(), aGaps[i].begin(), aGaps[i].end());
    each[i].gaps = std::move(aGaps[i]);
  }
  all.print(aOut, "", aSeconds);
  for (std::size_t i = 0; i < aFlows.size(); ++i) {
    each[i].print(aOut, aFlows[i].name() + ".", aSeconds);
  }
}

void
writeCsv(std::ostream& aOut, const std::vector<Flow>& aFlows, const std::vector<Record>& aRecords)
{
  aOut << "start_s,organisation,class,outcome,run_state,tokens,first_token_ms,total_ms\n";
  for (const auto& it : aRecords) {
    const auto& flow = aFlows[it.flow];
    aOut << it.startSeconds << ',' << flow.organisation << ',' << flow.requestClass << ','
         << it.outcome << ',' << it.runState << ',' << it.tokens << ',' << it.firstTokenMillis
         << ',' << it.totalMillis << '\n';
  }
}

}
