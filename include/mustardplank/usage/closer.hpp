#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/usage/ledger.hpp"
#include "mustardplank/usage/meter.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace mustardplank::usage {

/// Send the report, after asking mayReport() at that moment and with LeaseHolder::actUntil() as its
/// notAfter, and give the result to reported().
struct SendReport
{
  platform::UsageReport report;
  std::uint64_t window = 0;
};

using CloserEffect = std::variant<AppendRecord, SendReport>;

struct CloserOptions
{
  FailureDomainId failureDomain;
  Duration window = Seconds(60);
  /// After which a record that was not read back is appended again, or a report sent again.
  Duration retryInterval = Seconds(5);
  /// Checkpoint go with every so many windows, and earlier when the log may forget the latest.
  std::uint64_t windowsPerCheckpoint = 30;
  /// No window is closed while so many wait to be reported; usage goes into a longer one.
  std::size_t maxUnreported = 60;
  /// So many windows without a usable close, and a failure domain of which nobody knows the state
  /// begins anew.
  std::uint64_t restartAfterWindows = 10;
};

/// Closes and reports the windows of one failure domain while this instance holds its duty
/// close_usage.
class UsageCloser
{
public:
  UsageCloser(CloserOptions aOptions, TimePoint aNow);

  /// Whether this instance should claim the duty: it knows the failure domain's state, or nobody
  /// seems to.
  bool shouldClaimDuty(const UsageLedger& aLedger, TimePoint aNow) const;
  /// aFence is what LeaseHolder::mayAct() says of the duty close_usage at aNow.
  std::vector<CloserEffect> tick(TimePoint aNow,
                                 const UsageLedger& aLedger,
                                 std::optional<Offset> aFence);
  /// Whether the report may be sent, if LeaseHolder::mayAct() says aFence at this moment.
  static bool mayReport(const SendReport& aReport, std::optional<Offset> aFence)
  {
    return aFence == aReport.report.fence;
  }
  /// A report that mayReport() refused counts as a failure with no effect.
  void handleReportResult(const SendReport& aReport,
                          const platform::Result<platform::Done>& aResult);
  /// Tells the first offset that the log still holds.
  void setFirstRetained(Offset aFirst) { mFirstRetained = aFirst; }

private:
  void trackLastClose(const UsageLedger& aLedger, TimePoint aNow);
  bool beginAttempt(std::optional<TimePoint>& aLast, TimePoint aNow) const;
  std::optional<CloserEffect> close(TimePoint aNow, const UsageLedger& aLedger, Offset aFence);
  std::optional<CloserEffect> report(TimePoint aNow, const UsageLedger& aLedger, Offset aFence);
  bool needsCheckpoint(const UsageLedger& aLedger) const;

  CloserOptions mOptions;
  Offset mFirstRetained = 0;
  TimePoint mWindowStart;
  std::optional<Offset> mLastClose;
  std::optional<TimePoint> mLastCloseAttempt;
  std::optional<TimePoint> mLastReportAttempt;
  bool mReporting = false;
  /// Window that the platform has accepted, until its record "usage.reported" is read back.
  std::optional<std::uint64_t> mAcceptedWindow;
};

}
