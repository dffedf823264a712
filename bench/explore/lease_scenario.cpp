#include "mustardplank/lease/order_journal.hpp"
#include "record_text.hpp"
#include "scenario.hpp"

#include <map>
#include <set>

namespace explore {

using namespace mustardplank;
using namespace mustardplank::lease;

namespace {

const LeaseKey kKey{ Duty::OrderServers, FailureDomainId("a") };
constexpr Duration kCallTimeout = Seconds(1);

/// Instances i0 to i2 of failure domain a and i3 of b share one duty; its holder gives orders to a
/// receiver that checks no fencing token.
///
/// Invariants: one instance acts at a time; fencing tokens of orders never fall; each order has a
/// valid intent, first written by the instance that was asked for it; in the end the duty is held
/// and no order is unresolved.
class LeaseScenario : public Scenario
{
public:
  explicit LeaseScenario(Simulation& aSimulation)
    : Scenario(aSimulation, 4, Seconds(80), Seconds(70))
    , mNodes(hosts())
  {
    forgets = aSimulation.random.chance(0.2);
  }

private:
  struct Node
  {
    Node(const HolderOptions& aOptions, const JournalOptions& aJournal, TimePoint aNow)
      : holder(aOptions, aNow)
      , journal(aJournal)
    {
    }
    LeaseHolder holder;
    OrderJournal journal;
    bool stopping = false;
  };

  Node& node(std::size_t aHost) { return *mNodes.at(aHost); }

  static FailureDomainId domainOf(std::size_t aHost)
  {
    return FailureDomainId(aHost < 3 ? "a" : "b");
  }

  void started(std::size_t aHost) override
  {
    HolderOptions options;
    options.instance = InstanceId(host(aHost).name());
    options.incarnation = host(aHost).incarnation();
    options.failureDomain = domainOf(aHost);
    options.keys = { kKey };
    options.leases = simulation.switches.isOn("lease");
    options.expiry = simulation.switches.isOn("expiry");
    options.checkSeen = simulation.switches.isOn("claim-position");
    JournalOptions journal;
    journal.checkFence = simulation.switches.isOn("fence");
    mNodes[aHost] = std::make_unique<Node>(options, journal, host(aHost).clock());
  }

  void entryRead(std::size_t aHost, const LogEntry& aEntry) override
  {
    node(aHost).holder.apply(aEntry, host(aHost).clock());
    node(aHost).journal.apply(aEntry, node(aHost).holder.table());
  }

  void chunkRead(std::size_t aHost, Offset, bool aCaughtUp) override
  {
    if (aCaughtUp) {
      node(aHost).holder.caughtUp(host(aHost).clock());
    }
  }

  /// The platform's list lags and may miss live instances.
  std::vector<Candidate> candidates()
  {
    std::vector<Candidate> list;
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (!inFaults() || simulation.random.chance(0.9)) {
        list.push_back({ InstanceId(host(i).name()), domainOf(i) });
      }
    }
    return list;
  }

  void append(std::size_t aHost, const std::string& aRecord)
  {
    log.append(host(aHost), { aRecord }, [](const Result<Appended>&) {});
  }

  void ticked(std::size_t aHost) override
  {
    const auto now = host(aHost).clock();
    auto& holder = node(aHost).holder;
    if (simulation.random.chance(0.2)) {
      holder.setCandidates(candidates(), now);
    }
    for (const auto& it : holder.tick(now)) {
      append(aHost, it.record);
    }
    for (const auto& it : node(aHost).journal.tick(now, holder)) {
      if (const auto* record = std::get_if<AppendRecord>(&it)) {
        append(aHost, record->record);
      } else if (const auto* execute = std::get_if<Execute>(&it)) {
        host(aHost).post(simulation.random.between(Duration{}, Millis(200)),
                         [this, aHost, order = *execute] { send(aHost, order); });
      }
    }
  }

  void send(std::size_t aHost, const Execute& aExecute)
  {
    auto& random = simulation.random;
    if (!node(aHost).journal.mayExecute(aExecute, host(aHost).clock(), node(aHost).holder)) {
      node(aHost).journal.executed(aExecute, Execution::NotSent, "");
      return;
    }
    const bool lost = inFaults() && random.chance(0.1);
    const auto way = random.between(Duration{}, kCallTimeout);
    if (!lost) {
      simulation.after(way, [this, aHost, aExecute] { arrive(aHost, aExecute); });
    }
    const bool answered = !lost && random.chance(0.8);
    host(aHost).post(answered ? way : kCallTimeout, [this, aHost, aExecute, answered] {
      node(aHost).journal.executed(
        aExecute, answered ? Execution::Answered : Execution::Unknown, answered ? "server" : "");
    });
  }

  /// An order takes effect at its receiver.
  void arrive(std::size_t aHost, const Execute& aExecute)
  {
    const auto& operation = aExecute.order.operation;
    simulation.trace([&] {
      return "order " + operation.str() + " from " + host(aHost).name() + " fence " +
             std::to_string(aExecute.fence);
    });
    if (aExecute.fence < mHighestFence) {
      simulation.violation("order " + operation.str() + " with fence " +
                           std::to_string(aExecute.fence) + " after " +
                           std::to_string(mHighestFence));
    }
    mHighestFence = std::max(mHighestFence, aExecute.fence);
    if (!mValidIntents.contains({ operation, aExecute.fence })) {
      simulation.violation("order " + operation.str() + " without a valid intent");
    }
  }

  void appended(const LogEntry& aEntry) override
  {
    mReferenceTable.apply(aEntry);
    mReference.apply(aEntry, mReferenceTable);
    if (textOf(aEntry, "kind") == "order.intent") {
      noteIntent(OperationId(textOf(aEntry, "operation")), numberOf(aEntry, "fence"));
    }
  }

  void noteIntent(const OperationId& aOperation, Offset aFence)
  {
    if (!mReferenceTable.isCurrent(kKey, aFence)) {
      return;
    }
    const auto& writer = mReferenceTable.find(kKey)->holder.str();
    if (mFirstWriter.emplace(aOperation, writer).second && mAskedOf.at(aOperation) != writer) {
      simulation.violation("void intent of " + aOperation.str() + " taken up by " + writer);
    }
    mValidIntents.insert({ aOperation, aFence });
  }

  void work() override
  {
    const auto index = anyHost();
    if (simulation.random.chance(0.1)) {
      plannedStop(index);
      return;
    }
    for (std::size_t i = 0; i < hosts(); ++i) {
      const auto now = host(i).clock();
      if (!host(i).isFrozen() && (node(i).holder.mayAct(kKey, now) || i == index)) {
        const OperationId operation("op" + std::to_string(++mOperations));
        mAskedOf[operation] = host(i).name();
        node(i).journal.submit({ operation, kKey, "{}" });
      }
    }
  }

  void plannedStop(std::size_t aHost)
  {
    if (host(aHost).isFrozen()) {
      return;
    }
    simulation.trace([&] { return "planned stop of " + host(aHost).name(); });
    node(aHost).holder.release(host(aHost).clock());
    stopWhenReleased(aHost);
  }

  void stopWhenReleased(std::size_t aHost)
  {
    host(aHost).post(Seconds(1), [this, aHost] {
      if (node(aHost).holder.isReleased() || !inFaults()) {
        restart(aHost);
      } else {
        stopWhenReleased(aHost);
      }
    });
  }

  void check() override
  {
    std::string acting;
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (host(i).isFrozen() || !node(i).holder.mayAct(kKey, host(i).clock())) {
        continue;
      }
      if (!acting.empty()) {
        simulation.violation(acting + " and " + host(i).name() + " both act");
      }
      acting = host(i).name();
    }
  }

  void checkAtEnd() override
  {
    std::size_t acting = 0;
    for (std::size_t i = 0; i < hosts(); ++i) {
      acting += node(i).holder.mayAct(kKey, host(i).clock()) ? 1 : 0;
    }
    if (acting != 1) {
      simulation.violation(std::to_string(acting) + " instances hold the duty in the end");
    }
    if (const auto open = mReference.unresolved(); !open.empty()) {
      simulation.violation("order " + open[0].operation.str() + " is unresolved in the end");
    }
  }

  std::vector<std::unique_ptr<Node>> mNodes;
  LeaseTable mReferenceTable;
  OrderJournal mReference;
  Offset mHighestFence = 0;
  std::set<std::pair<OperationId, Offset>> mValidIntents;
  std::map<OperationId, std::string> mAskedOf;
  std::map<OperationId, std::string> mFirstWriter;
  std::uint64_t mOperations = 0;
};

}

std::unique_ptr<Scenario>
makeLeaseScenario(Simulation& aSimulation)
{
  return std::make_unique<LeaseScenario>(aSimulation);
}

}
