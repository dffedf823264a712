#include "sim_log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace explore {

using mustardplank::platform::Failure;
using mustardplank::platform::FailureKind;

namespace {

/// Calls to the platform end after this time (docs/design.md, 5.2).
constexpr Duration kCallTimeout = Seconds(1);
constexpr Duration kMaxLate = Seconds(40);
constexpr std::size_t kReadLimit = 20;

}

SimLog::SimLog(Simulation& aSimulation, std::function<void(const LogEntry&)> aAppended)
  : mSimulation(aSimulation)
  , mAppended(std::move(aAppended))
{
}

Duration
SimLog::delay()
{
  return mSimulation.random.between(Duration(200), faults.maxDelay);
}

void
SimLog::refuse(Host& aHost, FailureKind aKind, const AppendDone& aDone)
{
  aHost.post(delay(), [aKind, aDone] { aDone(Failure{ aKind, "", 0 }); });
}

void
SimLog::append(Host& aHost, std::vector<std::string> aRecords, AppendDone aDone)
{
  auto& random = mSimulation.random;
  if (mOutage) {
    refuse(aHost, FailureKind::NoEffect, aDone);
    return;
  }
  if (random.chance(faults.rateLimit)) {
    refuse(aHost, FailureKind::RateLimited, aDone);
    return;
  }
  const auto giveUp = [&aHost, aDone] {
    aHost.post(kCallTimeout, [aDone] { aDone(Failure{ FailureKind::Unknown, "", 0 }); });
  };
  if (random.chance(faults.loseRequest)) {
    giveUp();
    return;
  }
  const bool late = random.chance(faults.late);
  const bool loseAnswer = late || random.chance(faults.loseAnswer);
  const auto way = late ? random.between(kCallTimeout, kMaxLate) : delay();
  if (loseAnswer) {
    giveUp();
  }
  const int times = random.chance(faults.duplicate) ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    const auto extra = i == 0 ? Duration{} : random.between(Duration{}, Seconds(5));
    const bool silent = loseAnswer || i > 0;
    mSimulation.after(way + extra, [this, &aHost, aRecords, silent, aDone] {
      arrive(aHost, aRecords, silent, aDone);
    });
  }
}

void
SimLog::arrive(Host& aHost,
               const std::vector<std::string>& aRecords,
               bool aLoseAnswer,
               const AppendDone& aDone)
{
  if (mOutage) {
    return;
  }
  const Offset first = end();
  appendNow(aRecords);
  if (!aLoseAnswer) {
    aHost.post(delay(), [first, aDone] { aDone(Appended{ first }); });
  }
}

void
SimLog::appendNow(const std::vector<std::string>& aRecords)
{
  for (const auto& it : aRecords) {
    auto record = std::make_shared<const nlohmann::json>(nlohmann::json::parse(it));
    mEntries.push_back({ end(), 0, std::move(record) });
    mSimulation.trace([&] { return "log " + std::to_string(end() - 1) + " " + it; });
    mAppended(mEntries.back());
  }
}

void
SimLog::read(Host& aHost, Offset aFrom, ReadDone aDone)
{
  mSimulation.after(delay(), [this, &aHost, aFrom, aDone] {
    if (mOutage) {
      return;
    }
    LogChunk chunk;
    chunk.first = mFirst;
    chunk.end = end();
    const Offset from = std::max(aFrom, mFirst);
    const Offset to = std::min<Offset>(end(), from + kReadLimit);
    for (Offset i = from; i < to; ++i) {
      chunk.entries.push_back(mEntries[i]);
    }
    aHost.post(delay(), [aDone, chunk] { aDone(chunk); });
  });
}

void
SimLog::forgetBefore(Offset aFirst)
{
  mFirst = std::max(mFirst, aFirst);
}

}
