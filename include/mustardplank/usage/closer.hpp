#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/usage/ledger.hpp"
#include "mustardplank/usage/meter.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace mustardplank::usage {

/// Effect: send the report with LeaseHolder::actUntil() as its notAfter, if mayReport() allows it
/// at that moment, and pass the result to handleReportResult().
struct SendReport
{
  platform::UsageReport report;
  /// Number of the window.
  std::uint64_t window = 0;
};

using CloserEffect = std::variant<AppendRecord, SendReport>;

struct CloserOptions
{
  FailureDomainId failureDomain;
  /// Length of a window.
  Duration window = Seconds(60);
  /// Time after which a record that was not read back is appended again, or a report sent again.
  Duration retryInterval = Seconds(5);
  /// A close record has a checkpoint once per this number of windows, and earlier if the latest
  /// checkpoint may soon be deleted from the log.
  std::uint64_t windowsPerCheckpoint = 30;
  /// While this many windows wait to be reported, no other is closed: the open window gets longer.
  std::size_t maxUnreported = 60;
  /// If the state of the failure domain is not known, a restart record resets it: at once if no
  /// close or restart record has been read, else when none has been read for this many times the
  /// window length.
  std::uint64_t restartAfterWindows = 10;
};

/// Closes the usage windows of one failure domain and reports them to the platform, while this
/// instance holds the duty close_usage of the failure domain.
class UsageCloser
{
public:
  UsageCloser(CloserOptions aOptions, TimePoint aNow);

  /// Whether this instance should claim the duty: it knows the failure domain's state, or
  /// apparently no instance does.
  bool shouldClaimDuty(const UsageLedger& aLedger, TimePoint aNow) const;
  /// aFence: result of LeaseHolder::mayAct() for the duty close_usage at aNow.
  std::vector<CloserEffect> tick(TimePoint aNow,
                                 const UsageLedger& aLedger,
                                 std::optional<Offset> aFence);
  /// Whether the report may be sent. aFence: result of LeaseHolder::mayAct() at this moment.
  static bool mayReport(const SendReport& aReport, std::optional<Offset> aFence)
  {
    return aFence == aReport.report.fence;
  }
  /// Takes the result of a report; for one that mayReport() did not allow, a failure of kind
  /// NoEffect.
  void handleReportResult(const SendReport& aReport,
                          const platform::Result<platform::Empty>& aResult);
  /// Sets the first offset that the log still holds.
  void setFirstRetained(Offset aFirst) { mFirstRetained = aFirst; }

private:
  /// Starts a new window when a further close record was read.
  void trackLastClose(const UsageLedger& aLedger, TimePoint aNow);
  /// Whether an attempt may be made now, at least a retry interval after aLast; if so, sets aLast
  /// to aNow.
  bool beginAttempt(std::optional<TimePoint>& aLast, TimePoint aNow) const;
  std::optional<CloserEffect> close(TimePoint aNow, const UsageLedger& aLedger, Offset aFence);
  std::optional<CloserEffect> report(TimePoint aNow, const UsageLedger& aLedger, Offset aFence);
  bool needsCheckpoint(const UsageLedger& aLedger) const;

  CloserOptions mOptions;
  Offset mFirstRetained = 0;
  /// When the latest close or restart record was read, or this object was created.
  TimePoint mWindowStart;
  std::optional<Offset> mLastClose;
  std::optional<TimePoint> mLastCloseAttempt;
  std::optional<TimePoint> mLastReportAttempt;
  /// A report was sent and its result is pending.
  bool mReporting = false;
  /// Window whose report the platform has accepted, until its record "usage.reported" is read back.
  std::optional<std::uint64_t> mAcceptedWindow;
};

}
