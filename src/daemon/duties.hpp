#pragma once

#include "events.hpp"
#include "log_appender.hpp"
#include "mustardplank/config/store.hpp"
#include "mustardplank/lease/lease.hpp"
#include "mustardplank/lease/order_journal.hpp"
#include "mustardplank/peer/membership.hpp"
#include "mustardplank/settings/settings.hpp"
#include "mustardplank/usage/usage.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::daemon {

struct DutyOutputs
{
  std::function<void(platform::UsageReport, usage::SendReport)> reportUsage;
  std::function<void(platform::ServerOrder, lease::Execute)> orderServer;
  /// Sends a usage record to the instance that keeps a copy.
  std::function<void(std::string)> copyUsage;
};

/// What only one instance may do at a time, under leases from the log: closing usage windows,
/// ordering backend servers and writing snapshots of the configuration. Also counts this instance's
/// usage.
class Duties
{
public:
  Duties(const settings::Settings& aSettings,
         std::uint64_t aIncarnation,
         LogAppender& aAppender,
         DutyOutputs aOutputs,
         TimePoint aNow);

  /// Takes in one log entry that the store has taken in before.
  void apply(const platform::LogEntry& aEntry, TimePoint aNow);
  /// The log has been read to its end and holds entries from aFirst on.
  void caughtUp(platform::Offset aFirst, TimePoint aNow);
  void setFailureDomains(const config::State& aState, TimePoint aNow);
  void follow(const peer::Membership& aMembership, TimePoint aNow);
  void tick(const config::Store& aStore, TimePoint aNow);

  void addUsage(const traffic::Usage& aUsage);
  void keepCopy(const std::string& aRecord);
  void usageReported(const usage::SendReport& aReport,
                     const platform::Result<platform::Empty>& aResult);

  /// Takes an order for a backend server in, if this instance may give it.
  void order(lease::Order aOrder);
  bool mayOrder(TimePoint aNow) const;
  void serverOrdered(const lease::Execute& aExecute,
                     const platform::Result<platform::OrderResult>& aResult);
  /// Orders settled since the last call, each with its outcome.
  std::vector<lease::Settled> takeSettled();
  std::vector<lease::Order> unresolvedOrders() const { return mJournal.unresolved(); }

  /// Before a planned stop: gives up the leases and appends the usage.
  void release(TimePoint aNow);
  bool isReleased() const;

  const lease::LeaseTable& leases() const { return mHolder.table(); }
  const usage::UsageLedger& usageLedger() const { return mLedger; }

private:
  lease::LeaseKey key(lease::Duty aDuty) const { return { aDuty, mSettings.failureDomain }; }
  void append(std::vector<lease::AppendRecord> aRecords);
  void runJournal(std::vector<lease::JournalEffect> aEffects, TimePoint aNow);
  void execute(const lease::Execute& aExecute, TimePoint aNow);
  void runMeter(std::vector<usage::MeterEffect> aEffects);
  void closeWindows(TimePoint aNow);
  void writeSnapshot(const config::Store& aStore, TimePoint aNow);

  const settings::Settings& mSettings;
  LogAppender& mAppender;
  DutyOutputs mOutputs;

  lease::LeaseHolder mHolder;
  lease::OrderJournal mJournal;
  usage::UsageLedger mLedger;
  usage::UsageMeter mMeter;
  usage::UsageBackup mBackup;
  /// One for each failure domain whose windows this instance may have to close.
  std::map<FailureDomainId, usage::UsageCloser> mClosers;

  std::vector<lease::Settled> mSettled;
  std::map<InstanceId, std::uint64_t> mHeard;
  std::optional<lease::LeaseKey> mSnapshotKey;
  platform::Offset mFirstRetained = 0;
  platform::Offset mLastSnapshot = 0;
  TimePoint mNextSnapshot{};
  bool mReleasing = false;
};

}
