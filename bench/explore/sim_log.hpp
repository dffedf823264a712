#pragma once

#include "host.hpp"
#include "mustardplank/platform/platform.hpp"

#include <functional>
#include <string>
#include <vector>

namespace explore {

using mustardplank::platform::Appended;
using mustardplank::platform::LogChunk;
using mustardplank::platform::LogEntry;
using mustardplank::platform::Offset;
using mustardplank::platform::Result;

/// How the way to the log and back may fail; probabilities for each append.
struct LogFaults
{
  double loseAnswer = 0;
  double loseRequest = 0;
  /// The append takes effect long after its sender gave it up.
  double late = 0;
  double duplicate = 0;
  double rateLimit = 0;
  Duration maxDelay = Millis(50);
};

/// The platform's log.
class SimLog
{
public:
  /// aAppended is called for each entry, in order, at the moment it is appended.
  SimLog(Simulation& aSimulation, std::function<void(const LogEntry&)> aAppended);

  using AppendDone = std::function<void(Result<Appended>)>;
  using ReadDone = std::function<void(LogChunk)>;

  void append(Host& aHost, std::vector<std::string> aRecords, AppendDone aDone);
  /// Calls aDone only if the log can be reached. A chunk whose `first` is above aFrom starts there.
  void read(Host& aHost, Offset aFrom, ReadDone aDone);
  /// Appends without any fault, as other users of the log do.
  void appendNow(const std::vector<std::string>& aRecords);

  void setOutage(bool aOutage) { mOutage = aOutage; }
  bool isOut() const { return mOutage; }
  void forgetBefore(Offset aFirst);
  Offset first() const { return mFirst; }
  Offset end() const { return mEntries.size(); }
  const LogEntry& entry(Offset aOffset) const { return mEntries.at(aOffset); }

  LogFaults faults;

private:
  void arrive(Host& aHost,
              const std::vector<std::string>& aRecords,
              bool aLoseAnswer,
              const AppendDone& aDone);
  void refuse(Host& aHost, mustardplank::platform::FailureKind aKind, const AppendDone& aDone);
  Duration delay();

  Simulation& mSimulation;
  std::function<void(const LogEntry&)> mAppended;
  std::vector<LogEntry> mEntries;
  Offset mFirst = 0;
  bool mOutage = false;
};

}
