#include "mustardplank/agent/work_factor_relay.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::agent {

using dispatch::WorkFactorReport;
using dispatch::WorkFactorReports;

void
WorkFactorRelay::add(dispatch::ServerKey aServer,
                     const WorkFactorReport& aReport,
                     std::initializer_list<Recipient> aRecipients,
                     TimePoint aNow)
{
  if (aNow - aReport.at >= kMaxAge) {
    return;
  }
  const auto [known, isFirst] = mNewest.try_emplace(aServer, aReport);
  if (!isFirst && aReport.at <= known->second.at) {
    return;
  }
  known->second = aReport;
  for (auto& it : mWaiting) {
    it.erase(aServer);
  }
  for (const auto it : aRecipients) {
    mWaiting[static_cast<std::size_t>(it)][aServer] = aReport;
  }
}

WorkFactorReports
WorkFactorRelay::take(Recipient aRecipient)
{
  return std::exchange(mWaiting[static_cast<std::size_t>(aRecipient)], {});
}

std::vector<AgedWorkFactor>
WorkFactorRelay::takeAged(Recipient aRecipient, TimePoint aNow)
{
  std::vector<AgedWorkFactor> reports;
  for (const auto& [server, report] : take(aRecipient)) {
    const auto age = std::max(aNow - report.at, Duration{});
    if (age < kMaxAge) {
      reports.push_back({ server, report.factor, age });
    }
  }
  return reports;
}

void
WorkFactorRelay::expire(TimePoint aNow)
{
  const auto isOld = [&](const auto& aItem) { return aNow - aItem.second.at >= kMaxAge; };
  std::erase_if(mNewest, isOld);
  for (auto& it : mWaiting) {
    std::erase_if(it, isOld);
  }
}

}
