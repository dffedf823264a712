#pragma once

#include "mustardplank/lease/lease.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace mustardplank::lease::test {

inline const LeaseKey kKey{ Duty::OrderServers, FailureDomainId("a") };

inline TimePoint
at(double aSeconds)
{
  return TimePoint(Duration(static_cast<std::int64_t>(aSeconds * 1e6)));
}

inline HolderOptions
options(const std::string& aInstance, const std::string& aDomain = "a")
{
  HolderOptions options;
  options.instance = InstanceId(aInstance);
  options.incarnation = 1;
  options.failureDomain = FailureDomainId(aDomain);
  options.keys = { kKey };
  return options;
}

/// A log that holders read when told to.
class Log
{
public:
  Offset append(const std::vector<AppendRecord>& aAppends)
  {
    for (const auto& it : aAppends) {
      append(it.record);
    }
    return end() - 1;
  }
  Offset append(const std::string& aRecord)
  {
    auto record = std::make_shared<const nlohmann::json>(nlohmann::json::parse(aRecord));
    mEntries.push_back({ mFirst + mEntries.size(), 0, std::move(record) });
    return end() - 1;
  }
  Offset end() const { return mFirst + mEntries.size(); }
  const std::vector<LogEntry>& entries() const { return mEntries; }

  /// Gives the holder everything that it has not read.
  void read(LeaseHolder& aHolder, TimePoint aNow) const
  {
    for (const auto& it : mEntries) {
      aHolder.apply(it, aNow);
    }
    aHolder.caughtUp(aNow);
  }

private:
  Offset mFirst = 0;
  std::vector<LogEntry> mEntries;
};

}
