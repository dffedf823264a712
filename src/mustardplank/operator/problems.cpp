#include "mustardplank/operator/problems.hpp"

#include <algorithm>

namespace mustardplank::operators {

namespace {

/// A change is in force everywhere within 5 s; what lasts longer is worth a look.
constexpr Duration kNoticeAfter = Seconds(5);
/// A queue that needs longer than this misses most latency targets.
constexpr Duration kLongBacklog = Seconds(5);

std::string
seconds(Duration aDuration)
{
  if (aDuration == Duration::max()) {
    return "a long time";
  }
  return std::to_string(duration_cast<Seconds>(aDuration).count()) + " s";
}

/// "1 record", "3 records".
std::string
counted(std::uint64_t aCount, const std::string& aThing)
{
  return std::to_string(aCount) + " " + aThing + (aCount == 1 ? "" : "s");
}

class Finder
{
public:
  Finder(const StatusReport& aReport, const config::State& aState)
    : mReport(aReport)
    , mState(aState)
    , mProblems(aReport.problems)
  {
  }

  std::vector<Problem> run()
  {
    checkLog();
    checkInstances();
    checkPools();
    checkLeases();
    checkFailureDomains();
    checkServers();
    const auto moreSevere = [](const Problem& aLeft, const Problem& aRight) {
      return aLeft.severity > aRight.severity;
    };
    std::stable_sort(mProblems.begin(), mProblems.end(), moreSevere);
    return std::move(mProblems);
  }

private:
  void add(Severity aSeverity, std::string aWhat, std::string aWhere, std::string aCommand)
  {
    mProblems.push_back({ aSeverity, std::move(aWhat), std::move(aWhere), std::move(aCommand) });
  }

  void checkLog()
  {
    const auto here = "instance " + mReport.instance.str();
    if (!mReport.logReachable) {
      add(Severity::Critical,
          "the log cannot be reached, last read " + seconds(mReport.sinceLogRead) +
            " ago; serving goes on, changes other than withdrawals are refused",
          here,
          "mustardplankctl instances");
    } else if (mReport.sinceLogRead > kNoticeAfter) {
      add(Severity::Warning,
          "the log was last read " + seconds(mReport.sinceLogRead) + " ago; changes arrive late",
          here,
          "mustardplankctl instances");
    }
    if (mReport.skippedRecords > 0) {
      add(Severity::Warning,
          counted(mReport.skippedRecords, "log record") +
            " skipped that this version cannot read; the instance may need an upgrade",
          here,
          "mustardplankctl instances");
    }
  }

  void checkInstances()
  {
    const auto newest = newestChange(mState);
    for (const auto& it : mReport.instances) {
      const auto where = "instance " + it.id.str() + " in " + it.failureDomain.str();
      // An instance that leaves is expected to fall silent.
      if (it.lastHeard > kNoticeAfter && it.state != "leaving") {
        add(Severity::Warning,
            "not heard for " + seconds(it.lastHeard),
            where,
            "mustardplankctl instances");
      } else if (it.configRevision < newest) {
        add(Severity::Info,
            "has not read the newest change, revision " + std::to_string(newest) + ", yet",
            where,
            "mustardplankctl instances");
      }
    }
  }

  void checkPools()
  {
    for (const auto& it : mReport.pools) {
      const auto where = "pool " + it.pool.str() + " in " + mReport.failureDomain.str();
      if (it.owner.empty()) {
        add(Severity::Critical,
            "has no owner, so its requests wait; no instance of the failure domain is live",
            where,
            "mustardplankctl instances");
      }
      if (it.owned) {
        checkOwned(it.pool, *it.owned, where);
      }
    }
  }

  void checkOwned(const PoolId& aPool,
                  const pool::PoolOwner::Status& aStatus,
                  const std::string& aWhere)
  {
    if (aStatus.rebuilding) {
      add(Severity::Info,
          "a new owner rebuilds the queue; ends by itself within seconds",
          aWhere,
          "mustardplankctl status");
    }
    if (aStatus.backlog > kLongBacklog) {
      add(Severity::Warning,
          "the queue needs " + seconds(aStatus.backlog) + " with " +
            counted(aStatus.queued, "request") + " waiting",
          aWhere,
          "mustardplankctl top");
    }
    const auto isOpen = [](const auto& aServer) { return aServer.openSlots > 0; };
    const bool anyOpen = std::any_of(aStatus.servers.begin(), aStatus.servers.end(), isOpen);
    // A pool need not have servers in each failure domain.
    const bool expected = !aStatus.servers.empty() || hasServersHere(aPool);
    if (expected && !anyOpen && !isOutHere()) {
      add(Severity::Critical,
          "no backend server takes work",
          aWhere,
          "mustardplankctl server list --pool " + aPool.str());
    }
    for (const auto& it : aStatus.servers) {
      if (it.state == "lost") {
        add(Severity::Warning,
            "does not answer; it gets no work until it does",
            "backend server " + it.id.str() + " of " + aWhere,
            "mustardplankctl server drain " + it.id.str());
      }
    }
  }

  bool isOutHere() const
  {
    const auto it = mState.failureDomains().find(mReport.failureDomain);
    return it != mState.failureDomains().end() && it->second.out;
  }

  bool hasServersHere(const PoolId& aPool) const
  {
    const auto isHere = [&](const auto& aItem) {
      const auto& server = aItem.second;
      return server.pool == aPool && server.failureDomain == mReport.failureDomain &&
             !server.withdrawn;
    };
    return std::any_of(mState.servers().begin(), mState.servers().end(), isHere);
  }

  void checkLeases()
  {
    for (const auto& it : mReport.leases) {
      if (it.holder.empty() && mReport.logReachable) {
        add(Severity::Warning,
            "nobody holds this duty; an instance takes it within half a minute",
            "duty " + it.duty + " of " + it.failureDomain.str(),
            "mustardplankctl instances");
      }
    }
  }

  void checkFailureDomains()
  {
    const auto& domains = mState.failureDomains();
    const auto isOut = [](const auto& aItem) { return aItem.second.out; };
    const bool allOut = !domains.empty() && std::all_of(domains.begin(), domains.end(), isOut);
    for (const auto& [id, domain] : domains) {
      if (domain.out) {
        add(allOut ? Severity::Critical : Severity::Warning,
            allOut ? "taken out by an operator, as are all others: nothing is served"
                   : "taken out by an operator; gets no new work",
            "failure domain " + id.str(),
            "mustardplankctl failure-domain bring-back " + id.str());
      }
    }
  }

  void checkServers()
  {
    for (const auto& [id, server] : mState.servers()) {
      if (server.draining && !server.withdrawn) {
        add(Severity::Info,
            "drained by an operator; gets no new work",
            "backend server " + id.str() + " of pool " + server.pool.str() + " in " +
              server.failureDomain.str(),
            "mustardplankctl server bring-back " + id.str());
      }
    }
  }

  const StatusReport& mReport;
  const config::State& mState;
  std::vector<Problem> mProblems;
};

}

config::Revision
newestChange(const config::State& aState)
{
  config::Revision newest = 0;
  const auto look = [&](const auto& aObjects) {
    for (const auto& [id, object] : aObjects) {
      newest = std::max(newest, object.revision);
    }
  };
  look(aState.organisations());
  look(aState.keys());
  look(aState.classes());
  look(aState.failureDomains());
  look(aState.pools());
  look(aState.servers());
  return newest;
}

std::vector<Problem>
findProblems(const StatusReport& aReport, const config::State& aState)
{
  return Finder(aReport, aState).run();
}

}
