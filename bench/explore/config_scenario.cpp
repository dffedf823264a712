#include "mustardplank/config/store.hpp"
#include "record_text.hpp"
#include "scenario.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace explore {

using namespace mustardplank;
using namespace mustardplank::config;

namespace {

constexpr Duration kTombstoneRetry = Seconds(3);

/// The object that a change is about, as "kind/id".
std::string
objectOf(const nlohmann::json& aRecord)
{
  const auto change = aRecord.value("change", std::string());
  const auto& value = aRecord.at("value");
  const auto id = value.is_object() ? value.value("id", std::string()) : value.get<std::string>();
  const bool server = change == "set_server_draining";
  return (server ? "server" : change.substr(change.rfind('_') + 1)) + "/" + id;
}

/// Operators change few objects through four instances; withdrawals go from peer to peer when the
/// log is out.
///
/// Invariants: instances with equal log prefixes have equal configurations, also from snapshots;
/// none moves backwards; an accepted change had the revision that its operator expected; no
/// operation is accepted twice; a withdrawal is in force from the moment an instance knows it until
/// a later change in the log lifts it; in the end all are equal and no withdrawal is pending.
class ConfigScenario : public Scenario
{
public:
  explicit ConfigScenario(Simulation& aSimulation)
    : Scenario(aSimulation, 4, Seconds(50), Seconds(60))
    , mNodes(hosts())
    , mReference(storeOptions())
  {
    forgets = aSimulation.random.chance(0.4);
    mDigests.push_back(digest(*mReference.current()));
    appendFirstObjects();
  }

private:
  struct Node
  {
    explicit Node(StoreOptions aOptions)
      : store(aOptions)
    {
    }
    Store store;
    Offset highest = 0;
    Offset checked = 0;
    std::optional<TimePoint> lastTombstones;
    /// Withdrawals that this process has taken in.
    std::vector<ChangeRecord> known;
  };

  StoreOptions storeOptions() const
  {
    StoreOptions options;
    options.expectedRevisions = simulation.switches.isOn("expected-revision");
    options.tombstones = simulation.switches.isOn("tombstone");
    return options;
  }

  /// Of the objects; the remembered operations are compared in the end only, as they are many.
  static std::size_t digest(const State& aState)
  {
    auto snapshot = encodeSnapshot({ aState, {} });
    snapshot.erase("revision");
    return std::hash<std::string>()(snapshot.dump());
  }

  Store& store(std::size_t aHost) { return mNodes.at(aHost)->store; }

  OperationId nextOperation() { return OperationId("op" + std::to_string(++mOperations)); }

  void appendFirstObjects()
  {
    config::FailureDomain domain;
    domain.id = FailureDomainId("a");
    Pool pool;
    pool.id = PoolId("p");
    Organisation organisation;
    organisation.id = OrganisationId("o");
    for (const Change& it : std::vector<Change>{ PutFailureDomain{ domain },
                                                 PutPool{ pool },
                                                 PutOrganisation{ organisation },
                                                 PutKey{ key(0) },
                                                 PutServer{ server() } }) {
      log.appendNow({ encodeChange({ nextOperation(), "setup", {}, it }).dump() });
    }
  }

  static CallerKey key(std::uint64_t aNumber)
  {
    CallerKey key;
    key.id = KeyId("k" + std::to_string(aNumber));
    key.organisation = OrganisationId("o");
    key.hash = std::string(62, 'a') + std::to_string(10 + aNumber % 90);
    return key;
  }

  BackendServer server() const
  {
    BackendServer server;
    server.id = BackendServerId("s");
    server.failureDomain = FailureDomainId("a");
    server.pool = PoolId("p");
    server.address = "127.0.0.1:9000";
    server.slots = 1 + static_cast<std::uint32_t>(mOperations % 5);
    return server;
  }

  // Instances.

  void started(std::size_t aHost) override
  {
    mNodes[aHost] = std::make_unique<Node>(storeOptions());
    const auto peer = anyHost();
    if (peer != aHost && mNodes[peer] != nullptr && simulation.random.chance(0.5)) {
      Findings findings;
      store(aHost).adopt(store(peer).snapshot(), findings);
      for (const auto& it : store(peer).pendingTombstones()) {
        takeTombstone(aHost, it);
      }
    }
  }

  void entryRead(std::size_t aHost, const LogEntry& aEntry) override
  {
    if (store(aHost).apply(aEntry).take == Take::Adopted) {
      readFrom(aHost, store(aHost).next());
    }
  }

  void chunkRead(std::size_t aHost, Offset, bool) override
  {
    auto& node = *mNodes[aHost];
    const Offset next = node.store.next();
    if (next < node.highest) {
      simulation.violation(host(aHost).name() + " moved back to " + std::to_string(next));
    }
    node.highest = next;
    if (next != node.checked && simulation.random.chance(0.2)) {
      node.checked = next;
      checkPrefix(aHost);
    }
    checkWithdrawals(aHost);
  }

  void checkPrefix(std::size_t aHost)
  {
    const Offset next = store(aHost).next();
    // Pending withdrawals lie over the state of the log.
    const bool comparable = store(aHost).pendingTombstones().empty();
    if (comparable && digest(*store(aHost).current()) != mDigests.at(next)) {
      simulation.violation(host(aHost).name() + " differs from the log at " + std::to_string(next));
    }
  }

  static bool isInForce(const Change& aChange, const State& aState)
  {
    if (const auto* key = std::get_if<WithdrawKey>(&aChange)) {
      const auto it = aState.keys().find(key->key);
      return it == aState.keys().end() || it->second.withdrawn;
    }
    if (const auto* server = std::get_if<WithdrawServer>(&aChange)) {
      const auto it = aState.servers().find(server->server);
      return it == aState.servers().end() || it->second.withdrawn;
    }
    const auto& domain = std::get<TakeOutFailureDomain>(aChange).failureDomain;
    const auto it = aState.failureDomains().find(domain);
    return it == aState.failureDomains().end() || it->second.out;
  }

  void checkWithdrawals(std::size_t aHost)
  {
    const auto state = store(aHost).current();
    for (const auto& it : mNodes[aHost]->known) {
      const bool inLog = store(aHost).find(it.operation).has_value();
      const bool final = std::holds_alternative<WithdrawKey>(it.change);
      if ((final || !inLog) && !isInForce(it.change, *state)) {
        simulation.violation("withdrawal " + it.operation.str() + " is not in force on " +
                             host(aHost).name());
      }
    }
  }

  void takeTombstone(std::size_t aHost, const ChangeRecord& aRecord)
  {
    const bool isNew = store(aHost).addTombstone(aRecord);
    if (!isNew) {
      return;
    }
    mNodes[aHost]->known.push_back(aRecord);
    checkWithdrawals(aHost);
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (i != aHost && simulation.random.chance(0.8)) {
        host(i).post(simulation.random.between(Millis(1), Seconds(5)),
                     [this, i, aRecord] { takeTombstone(i, aRecord); });
      }
    }
  }

  void ticked(std::size_t aHost) override
  {
    auto& node = *mNodes[aHost];
    const auto now = host(aHost).clock();
    if (node.lastTombstones && now - *node.lastTombstones < kTombstoneRetry) {
      return;
    }
    node.lastTombstones = now;
    for (const auto& it : node.store.pendingTombstones()) {
      log.append(host(aHost), { encodeTombstone(it).dump() }, [](const Result<Appended>&) {});
    }
    if (inFaults() && simulation.random.chance(0.1)) {
      log.append(host(aHost), { node.store.snapshot().dump() }, [](const Result<Appended>&) {});
    }
  }

  // Operators.

  Change randomChange(const State& aState, std::optional<Revision>& aExpected)
  {
    auto& random = simulation.random;
    const auto revisionIn = [&](const auto& aMap, const auto& aId) {
      const auto it = aMap.find(aId);
      return it == aMap.end() ? Revision(0) : it->second.revision;
    };
    const FailureDomainId domain("a");
    aExpected.reset();
    const bool names = random.chance(0.7);
    const auto expect = [&](Revision aRevision) {
      aExpected = names ? std::optional(aRevision) : std::nullopt;
    };
    switch (random.below(8)) {
      case 0:
        return TakeOutFailureDomain{ domain };
      case 1:
        expect(revisionIn(aState.failureDomains(), domain));
        return BringBackFailureDomain{ domain };
      case 2: {
        const auto one = key(random.below(4));
        expect(revisionIn(aState.keys(), one.id));
        return PutKey{ one };
      }
      case 3: {
        // Operators cannot withdraw a key that their instance does not know.
        const auto known = random.below(aState.keys().size());
        return WithdrawKey{
          std::next(aState.keys().begin(), static_cast<std::ptrdiff_t>(known))->first
        };
      }
      case 4:
        return WithdrawServer{ BackendServerId("s") };
      case 5:
        expect(revisionIn(aState.servers(), BackendServerId("s")));
        return PutServer{ server() };
      case 6:
        expect(revisionIn(aState.servers(), BackendServerId("s")));
        return SetServerDraining{ BackendServerId("s"), random.chance(0.5) };
      default: {
        Organisation organisation;
        organisation.id = OrganisationId("o");
        organisation.weight = 1.0 + static_cast<double>(random.below(9));
        expect(revisionIn(aState.organisations(), organisation.id));
        return PutOrganisation{ organisation };
      }
    }
  }

  void work() override
  {
    const auto index = anyHost();
    if (host(index).isFrozen()) {
      return;
    }
    ChangeRecord record{ nextOperation(), "operator", {}, {} };
    if (store(index).current()->keys().empty()) {
      return;
    }
    record.change = randomChange(*store(index).current(), record.expected);
    submit(index, record, 3);
    if (simulation.random.chance(0.3)) {
      // Another operator asks another instance for a change at the same time.
      const auto other = anyHost();
      record.operation = nextOperation();
      submit(other, record, 3);
    }
  }

  void submit(std::size_t aHost, const ChangeRecord& aRecord, int aTries)
  {
    if (aTries == 0) {
      return;
    }
    log.append(host(aHost),
               { encodeChange(aRecord).dump() },
               [this, aHost, aRecord, aTries](const Result<Appended>& aResult) {
                 if (std::holds_alternative<Appended>(aResult)) {
                   return;
                 }
                 if (isWithdrawal(aRecord.change)) {
                   takeTombstone(aHost, aRecord);
                   return;
                 }
                 // Repeated under the same operation id, through any instance.
                 const auto next = simulation.random.chance(0.5) ? aHost : anyHost();
                 host(next).post(Seconds(2), [this, next, aRecord, aTries] {
                   if (!store(next).find(aRecord.operation)) {
                     submit(next, aRecord, aTries - 1);
                   }
                 });
               });
  }

  // The log.

  void appended(const LogEntry& aEntry) override
  {
    const auto result = mReference.apply(aEntry).operation;
    const bool changed = mReference.changes() != mReferenceChanges;
    mReferenceChanges = mReference.changes();
    mDigests.push_back(changed ? digest(*mReference.current()) : mDigests.back());
    if (textOf(aEntry, "kind") == "config.snapshot") {
      mForgettable =
        std::max(mForgettable, std::min<Offset>(numberOf(aEntry, "revision"), aEntry.offset));
    }
    if (result && result->outcome == ChangeOutcome::Accepted) {
      noteAccepted(*aEntry.record, result->operation, aEntry.offset + 1);
    }
  }

  void noteAccepted(const nlohmann::json& aRecord,
                    const OperationId& aOperation,
                    Revision aRevision)
  {
    auto& revision = mRevisions[objectOf(aRecord)];
    if (const auto it = aRecord.find("expected"); it != aRecord.end() && *it != revision) {
      simulation.violation("change " + aOperation.str() + " overwrites revision " +
                           std::to_string(revision) + " that its operator did not know");
    }
    revision = aRevision;
    if (!mAccepted.insert(aOperation).second) {
      simulation.violation("operation " + aOperation.str() + " was accepted twice");
    }
  }

  Offset forgettable() const override { return mForgettable; }

  void checkAtEnd() override
  {
    for (std::size_t i = 0; i < hosts(); ++i) {
      if (store(i).next() != log.end()) {
        simulation.violation(host(i).name() + " stopped at " + std::to_string(store(i).next()));
        return;
      }
      if (store(i).snapshot() != mReference.snapshot()) {
        simulation.violation(host(i).name() + " differs from the log in the end");
      }
      checkWithdrawals(i);
      if (!store(i).pendingTombstones().empty()) {
        simulation.violation("withdrawals are pending on " + host(i).name());
      }
    }
  }

  std::vector<std::unique_ptr<Node>> mNodes;
  Store mReference;
  std::uint64_t mReferenceChanges = 0;
  /// Of the reference's state after each offset.
  std::vector<std::size_t> mDigests;
  std::map<std::string, Revision> mRevisions;
  std::set<OperationId> mAccepted;
  Offset mForgettable = 0;
  std::uint64_t mOperations = 0;
};

}

std::unique_ptr<Scenario>
makeConfigScenario(Simulation& aSimulation)
{
  return std::make_unique<ConfigScenario>(aSimulation);
}

}
