#include "mustardplank/lease/lease.hpp"
#include "mustardplank/usage/usage.hpp"
#include "record_text.hpp"
#include "scenario.hpp"

#include <algorithm>
#include <map>

namespace explore {

using namespace mustardplank;
using namespace mustardplank::usage;

namespace {

const FailureDomainId kDomain("a");
const lease::LeaseKey kKey{ lease::Duty::CloseUsage, kDomain };
constexpr Duration kCallTimeout = Seconds(1);

bool
isAtMost(const Counters& aLeft, const Counters& aRight)
{
  Counters both = aRight;
  both.mergeMax(aLeft);
  return both == aRight;
}

/// Three instances of one failure domain count usage, keep copies for each other, and close and
/// report windows.
///
/// Invariants: a window has the same figures on every instance and in every report; fencing tokens
/// of reports never fall; what is reported in the end is what the log says, never more than what
/// was counted, and not less than what surviving instances counted or hold copies of; without
/// restarts it is exactly what was counted.
class UsageScenario : public Scenario
{
public:
  explicit UsageScenario(Simulation& aSimulation)
    : Scenario(aSimulation, 3, Seconds(70), Seconds(100))
    , mNodes(hosts())
    , mLedgerOptions(ledgerOptions())
    , mReference(mLedgerOptions)
  {
    forgets = aSimulation.random.chance(0.3);
    restartRate = aSimulation.random.chance(0.5) ? 1 : 0;
    mLostCopies = !aSimulation.switches.isOn("copy");
    log.appendNow({ "{}" });
  }

private:
  struct Node
  {
    Node(const lease::HolderOptions& aHolder,
         const LedgerOptions& aLedger,
         const MeterOptions& aMeter,
         const CloserOptions& aCloser,
         TimePoint aNow)
      : holder(aHolder, aNow)
      , ledger(aLedger)
      , meter(aMeter)
      , closer(aCloser, aNow)
    {
    }
    lease::LeaseHolder holder;
    UsageLedger ledger;
    UsageMeter meter;
    UsageBackup backup;
    UsageCloser closer;
    Totals counted;
  };
  struct Copy
  {
    Totals totals;
    std::size_t keeper = 0;
    std::uint64_t keeperIncarnation = 0;
  };

  LedgerOptions ledgerOptions()
  {
    LedgerOptions options;
    options.retireAfterWindows = simulation.random.chance(0.3) ? 4 : 60;
    options.checkPrevious = simulation.switches.isOn("close-order");
    return options;
  }

  Node& node(std::size_t aHost) { return *mNodes.at(aHost); }

  void started(std::size_t aHost) override
  {
    noteGone(aHost);
    lease::HolderOptions holder;
    holder.instance = InstanceId(host(aHost).name());
    holder.incarnation = host(aHost).incarnation();
    holder.failureDomain = kDomain;
    holder.keys = { kKey };
    holder.leases = simulation.switches.isOn("lease");
    holder.expiry = simulation.switches.isOn("expiry");
    MeterOptions meter;
    meter.instance = holder.instance;
    meter.incarnation = holder.incarnation;
    meter.failureDomain = kDomain;
    meter.appendInterval = Seconds(3);
    CloserOptions closer;
    closer.failureDomain = kDomain;
    closer.window = Seconds(4);
    closer.retryInterval = Seconds(2);
    closer.windowsPerCheckpoint = 3;
    closer.maxUnreported = 4;
    closer.restartAfterWindows = 3;
    const auto now = host(aHost).clock();
    mNodes[aHost] = std::make_unique<Node>(holder, mLedgerOptions, meter, closer, now);
    std::vector<lease::Candidate> candidates;
    for (std::size_t i = 0; i < hosts(); ++i) {
      candidates.push_back({ InstanceId(host(i).name()), kDomain });
    }
    node(aHost).holder.setCandidates(candidates, now);
  }

  /// The other instances learn that the earlier process is gone.
  void noteGone(std::size_t aHost)
  {
    if (mNodes[aHost] == nullptr) {
      return;
    }
    const InstanceId instance(host(aHost).name());
    const auto incarnation = host(aHost).incarnation() - 1;
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (i != aHost) {
        host(i).post(
          simulation.random.between(Seconds(6), Seconds(9)),
          [this, i, instance, incarnation] { node(i).backup.markEnded(instance, incarnation); });
      }
    }
  }

  void entryRead(std::size_t aHost, const LogEntry& aEntry) override
  {
    auto& it = node(aHost);
    it.holder.apply(aEntry, host(aHost).clock());
    it.ledger.apply(aEntry);
    it.meter.apply(aEntry, it.ledger);
    it.backup.apply(aEntry);
    if (textOf(aEntry, "kind") == "usage.close") {
      checkFigures(aHost);
    }
  }

  void chunkRead(std::size_t aHost, Offset aFirst, bool aCaughtUp) override
  {
    node(aHost).closer.setFirstRetained(aFirst);
    if (aCaughtUp) {
      node(aHost).holder.caughtUp(host(aHost).clock());
    }
  }

  void checkFigures(std::size_t aHost)
  {
    for (const auto& it : node(aHost).ledger.unreported(kDomain)) {
      const auto known = mWindows.find(it.id);
      if (known == mWindows.end() || known->second != it.lines) {
        simulation.violation("window " + it.id + " has other figures on " + host(aHost).name());
      }
    }
    if (node(aHost).ledger.checkpointMismatches() > 0) {
      simulation.violation("bases differ on " + host(aHost).name());
    }
  }

  void append(std::size_t aHost, const std::string& aRecord)
  {
    log.append(host(aHost), { aRecord }, [](const Result<Appended>&) {});
  }

  void ticked(std::size_t aHost) override
  {
    auto& it = node(aHost);
    const auto now = host(aHost).clock();
    it.holder.setWilling(kKey, it.closer.shouldClaimDuty(it.ledger, now));
    for (const auto& record : it.holder.tick(now)) {
      append(aHost, record.record);
    }
    for (const auto& effect : it.meter.tick(now, it.ledger)) {
      meterEffect(aHost, effect);
    }
    for (const auto& record : it.backup.tick(now)) {
      append(aHost, record.record);
    }
    for (const auto& effect : it.closer.tick(now, it.ledger, it.holder.mayAct(kKey, now))) {
      if (const auto* record = std::get_if<AppendRecord>(&effect)) {
        append(aHost, record->record);
      } else {
        const auto delay = simulation.random.between(Duration{}, Millis(200));
        host(aHost).post(
          delay, [this, aHost, report = std::get<SendReport>(effect)] { send(aHost, report); });
      }
    }
  }

  void meterEffect(std::size_t aHost, const MeterEffect& aEffect)
  {
    if (const auto* record = std::get_if<AppendRecord>(&aEffect)) {
      append(aHost, record->record);
      return;
    }
    const auto& text = std::get<CopyToBackup>(aEffect).record;
    const auto keeper = (aHost + 1 + simulation.random.below(hosts() - 1)) % hosts();
    if (inFaults() && simulation.random.chance(0.1)) {
      return;
    }
    host(keeper).post(simulation.random.between(Millis(1), Millis(500)),
                      [this, keeper, text] { keepCopy(keeper, text); });
  }

  void keepCopy(std::size_t aKeeper, const std::string& aText)
  {
    const auto json = nlohmann::json::parse(aText);
    const auto record = decodeCounters(json);
    if (!mLostCopies) {
      node(aKeeper).backup.addCopy(json);
    }
    mCopies[record->source].push_back({ record->totals, aKeeper, host(aKeeper).incarnation() });
  }

  void send(std::size_t aHost, const SendReport& aReport)
  {
    auto& it = node(aHost);
    if (!UsageCloser::mayReport(aReport, it.holder.mayAct(kKey, host(aHost).clock()))) {
      it.closer.handleReportResult(aReport,
                                   platform::Failure{ platform::FailureKind::NoEffect, "", 0 });
      return;
    }
    auto& random = simulation.random;
    const bool lost = inFaults() && random.chance(0.1);
    const auto way = random.between(Duration{}, kCallTimeout);
    if (!lost) {
      simulation.after(way, [this, aReport] { arrive(aReport); });
    }
    const bool answered = !lost && random.chance(0.8);
    host(aHost).post(answered ? way : kCallTimeout, [this, aHost, aReport, answered] {
      if (answered) {
        node(aHost).closer.handleReportResult(aReport, platform::Empty{});
      } else {
        node(aHost).closer.handleReportResult(aReport, platform::Failure{});
      }
    });
  }

  void arrive(const SendReport& aReport)
  {
    const auto& report = aReport.report;
    simulation.trace(
      [&] { return "report " + report.windowId + " fence " + std::to_string(report.fence); });
    if (report.fence < mHighestFence) {
      simulation.violation("report " + report.windowId + " with an older fence");
    }
    mHighestFence = std::max(mHighestFence, report.fence);
    const auto [it, isNew] = mReports.emplace(report.windowId, report.organisations);
    if (!isNew && it->second != report.organisations) {
      simulation.violation("window " + report.windowId + " reported with other figures");
    }
  }

  void appended(const LogEntry& aEntry) override
  {
    mReference.apply(aEntry);
    if (textOf(aEntry, "kind") != "usage.close") {
      return;
    }
    for (const auto& it : mReference.unreported(kDomain)) {
      const auto [known, isNew] = mWindows.emplace(it.id, it.lines);
      if (!isNew && known->second != it.lines) {
        simulation.violation("window " + it.id + " closed twice");
      }
    }
    mRestartRecords += aEntry.record->contains("restart_from") ? 1 : 0;
  }

  void work() override
  {
    const auto index = anyHost();
    if (host(index).isFrozen()) {
      return;
    }
    const OrganisationId organisation("o" + std::to_string(simulation.random.below(3)));
    const Counters usage{ 1, simulation.random.below(100), simulation.random.below(500) };
    node(index).meter.add(organisation, usage);
    node(index).counted[organisation] += usage;
    mCounted[organisation] += usage;
    if (simulation.random.chance(0.05)) {
      const auto wrong = anyHost();
      node(index).backup.markEnded(InstanceId(host(wrong).name()), host(wrong).incarnation());
    }
  }

  Totals reported() const
  {
    Totals sums;
    for (const auto& [id, lines] : mReports) {
      for (const auto& it : lines) {
        sums[it.organisation] += { it.requests, it.promptTokens, it.completionTokens };
      }
    }
    return sums;
  }

  /// What surviving processes counted, and what they keep of the others.
  Totals atLeast()
  {
    Totals sums;
    for (std::size_t i = 0; i < hosts(); ++i) {
      for (const auto& [organisation, total] : node(i).counted) {
        sums[organisation] += total;
      }
    }
    for (const auto& [source, copies] : mCopies) {
      for (const auto& [organisation, total] : keptOf(source, copies)) {
        sums[organisation] += total;
      }
    }
    return sums;
  }

  Totals keptOf(const Source& aSource, const std::vector<Copy>& aCopies)
  {
    Totals kept;
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (host(i).name() == aSource.instance.str() &&
          host(i).incarnation() == aSource.incarnation) {
        return kept;
      }
    }
    for (const auto& it : aCopies) {
      if (host(it.keeper).incarnation() == it.keeperIncarnation) {
        for (const auto& [organisation, total] : it.totals) {
          kept[organisation].mergeMax(total);
        }
      }
    }
    return kept;
  }

  void checkAtEnd() override
  {
    if (mReference.hasUnclosedUsage(kDomain) || mReports.size() != mWindows.size()) {
      simulation.violation("usage is not reported in the end");
      return;
    }
    for (const auto& [id, lines] : mWindows) {
      if (mReports.at(id) != lines) {
        simulation.violation("window " + id + " reported with other figures than the log's");
      }
    }
    const auto sums = reported();
    for (const auto& [organisation, total] : sums) {
      if (!isAtMost(total, mCounted[organisation])) {
        simulation.violation("more usage reported than counted for " + organisation.str());
      }
    }
    // A restart record gives up what was logged and not closed; retired sources have several parts.
    if (mRestartRecords > 0) {
      return;
    }
    if (restarts() == 0 && sums != mCounted) {
      simulation.violation("usage lost without any restart");
    }
    if (mLedgerOptions.retireAfterWindows < 60) {
      return;
    }
    auto least = atLeast();
    for (const auto& [organisation, total] : least) {
      const auto it = sums.find(organisation);
      if (it == sums.end() || !isAtMost(total, it->second)) {
        simulation.violation("usage lost of " + organisation.str());
      }
    }
  }

  std::vector<std::unique_ptr<Node>> mNodes;
  LedgerOptions mLedgerOptions;
  UsageLedger mReference;
  bool mLostCopies = false;
  Totals mCounted;
  std::map<Source, std::vector<Copy>> mCopies;
  std::map<std::string, std::vector<platform::OrganisationUsage>> mWindows;
  std::map<std::string, std::vector<platform::OrganisationUsage>> mReports;
  Offset mHighestFence = 0;
  std::uint64_t mRestartRecords = 0;
};

}

std::unique_ptr<Scenario>
makeUsageScenario(Simulation& aSimulation)
{
  return std::make_unique<UsageScenario>(aSimulation);
}

}
