#include "mustardplank/base/hash.hpp"
#include "mustardplank/once/at_most_once.hpp"
#include "scenario.hpp"

#include <map>
#include <set>

namespace explore {

using namespace mustardplank;
using namespace mustardplank::once;

namespace {

constexpr Duration kProbeAfter = Seconds(60);

/// Callers send and repeat requests with few idempotency keys to three instances.
///
/// Invariants: each key runs at most once; a request that was answered "not run" never ran; a
/// replay is the answer of the run and for the same body; a conflict has another body; each request
/// gets one decision; in the end every stored answer is replayed by every instance.
class OnceScenario : public Scenario
{
public:
  explicit OnceScenario(Simulation& aSimulation)
    : Scenario(aSimulation, 3, Seconds(80), Seconds(100))
    , mNodes(hosts())
  {
    forgets = aSimulation.random.chance(0.3);
  }

private:
  struct Request
  {
    std::string key;
    std::string body;
    std::size_t host = 0;
    std::uint64_t incarnation = 0;
    bool decided = false;
    bool toldNotRun = false;
    bool probe = false;
  };
  struct Key
  {
    std::set<std::string> bodies;
    int runs = 0;
    std::string ranBody;
    std::string answer;
    bool stored = false;
    /// Log position when the first request came; all its records are later.
    Offset begun = 0;
  };

  void started(std::size_t aHost) override
  {
    Options options;
    options.instance = InstanceId(host(aHost).name());
    options.incarnation = host(aHost).incarnation();
    options.unknownAfter = Seconds(20);
    options.intents = simulation.switches.isOn("intent");
    if (simulation.random.chance(0.3)) {
      options.maxBodyBytes = 10;
    }
    mNodes[aHost] = std::make_unique<AtMostOnce>(options);
  }

  void entryRead(std::size_t aHost, const LogEntry& aEntry) override
  {
    handle(aHost, mNodes[aHost]->apply(aEntry, host(aHost).clock()));
  }
  void chunkRead(std::size_t aHost, Offset aFirst, bool) override
  {
    mNodes[aHost]->retained(aFirst);
  }
  void ticked(std::size_t aHost) override
  {
    handle(aHost, mNodes[aHost]->tick(host(aHost).clock()));
  }
  void appended(const LogEntry&) override {}

  void handle(std::size_t aHost, const Effects& aEffects)
  {
    for (const auto& it : aEffects) {
      if (const auto* append = std::get_if<Append>(&it)) {
        log.append(host(aHost),
                   append->records,
                   [this, aHost, ticket = append->ticket](const Result<Appended>& aResult) {
                     handle(aHost, mNodes[aHost]->appended(ticket, aResult, host(aHost).clock()));
                   });
      } else if (const auto* decision = std::get_if<Decision>(&it)) {
        decided(aHost, *decision);
      } else if (const auto* stored = std::get_if<Stored>(&it)) {
        mKeys[mRequests.at(stored->id).key].stored |= stored->inLog;
      } else if (const auto* fetch = std::get_if<Fetch>(&it)) {
        host(aHost).post(Millis(20),
                         [this, aHost, offset = fetch->offset] { fetched(aHost, offset); });
      }
    }
  }

  void fetched(std::size_t aHost, Offset aOffset)
  {
    const bool readable = !log.isOut() && aOffset >= log.first();
    handle(aHost, mNodes[aHost]->fetched(aOffset, readable ? &log.entry(aOffset) : nullptr));
  }

  void decided(std::size_t aHost, const Decision& aDecision)
  {
    auto& request = mRequests.at(aDecision.id);
    auto& key = mKeys[request.key];
    simulation.trace([&] {
      return host(aHost).name() + " answers " + aDecision.id.str() + " " +
             std::string(kAnswerNames.name(aDecision.answer));
    });
    if (request.decided) {
      simulation.violation("two decisions for " + aDecision.id.str());
    }
    request.decided = true;
    switch (aDecision.answer) {
      case Answer::Run:
        host(aHost).post(simulation.random.between(Duration{}, Millis(100)),
                         [this, aHost, id = aDecision.id] { run(aHost, id); });
        break;
      case Answer::Replay:
        if (key.runs == 0 || key.answer != aDecision.response.body || key.ranBody != request.body) {
          simulation.violation("wrong replay for " + aDecision.id.str());
        }
        break;
      case Answer::Conflict:
        if (key.bodies.size() < 2) {
          simulation.violation("conflict without another body for " + aDecision.id.str());
        }
        break;
      case Answer::LogUnavailable:
        request.toldNotRun = true;
        break;
      case Answer::Unknown:
        break;
    }
    if (request.probe && key.stored && !key.answer.empty() && key.ranBody == request.body &&
        aDecision.answer != Answer::Replay) {
      simulation.violation("stored answer not replayed for " + aDecision.id.str());
    }
  }

  void run(std::size_t aHost, const RequestId& aId)
  {
    auto& request = mRequests.at(aId);
    auto& key = mKeys[request.key];
    if (simulation.random.chance(0.1)) {
      finish(aHost, { aId, Execution::NotRun, {} });
      return;
    }
    simulation.trace([&] { return "run " + aId.str() + " key " + request.key; });
    if (++key.runs > 1) {
      simulation.violation("key " + request.key + " runs twice, now by " + aId.str());
    }
    if (request.toldNotRun) {
      simulation.violation(aId.str() + " runs after it was told not run");
    }
    key.ranBody = request.body;
    key.answer = "answer to " + aId.str();
    Outcome outcome{ aId, Execution::Known, { 200, "text/plain", key.answer } };
    if (simulation.random.chance(0.15)) {
      outcome.execution = Execution::Unknown;
      key.answer.clear();
    }
    const auto length = simulation.random.chance(0.1)
                          ? simulation.random.between(Seconds(10), Seconds(30))
                          : simulation.random.between(Millis(10), Seconds(3));
    host(aHost).post(length, [this, aHost, outcome] { finish(aHost, outcome); });
  }

  void finish(std::size_t aHost, const Outcome& aOutcome)
  {
    handle(aHost, mNodes[aHost]->outcome(aOutcome, host(aHost).clock()));
  }

  void begin(std::size_t aHost, const std::string& aKey, const std::string& aBody, bool aProbe)
  {
    const RequestId id("r" + std::to_string(mRequests.size()));
    mRequests[id] = { aKey, aBody, aHost, host(aHost).incarnation(), false, false, aProbe };
    if (!mKeys.contains(aKey)) {
      mKeys[aKey].begun = log.end();
    }
    mKeys[aKey].bodies.insert(aBody);
    simulation.trace([&] {
      return id.str() + " begins on " + host(aHost).name() + " key " + aKey + " body " + aBody;
    });
    const Begin begin{ id, OrganisationId("o"), aKey, sha256Hex(aBody) };
    handle(aHost, mNodes[aHost]->begin(begin, host(aHost).clock()));
  }

  void work() override
  {
    auto& random = simulation.random;
    mLastKey += random.chance(0.3) ? 1 : 0;
    const auto key = "k" + std::to_string(mLastKey - std::min(mLastKey, random.below(3)));
    const std::string body = random.chance(0.1) ? "other" : "usual";
    const auto first = anyHost();
    const auto copies = random.chance(0.4) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto index = (first + static_cast<std::size_t>(i)) % hosts();
      if (!host(index).isFrozen()) {
        begin(index, key, body, false);
      }
    }
  }

  /// Only keys that callers no longer use: a key runs at most once as long as the log holds it.
  Offset forgettable() const override
  {
    Offset first = log.end();
    for (std::uint64_t i = mLastKey - std::min<std::uint64_t>(mLastKey, 2); i <= mLastKey; ++i) {
      if (const auto it = mKeys.find("k" + std::to_string(i)); it != mKeys.end()) {
        first = std::min(first, it->second.begun);
      }
    }
    return first;
  }

  /// When all is quiet, every instance is asked for every key.
  void faultsEnded() override
  {
    simulation.after(kProbeAfter, [this] {
      const auto keys = mKeys;
      for (const auto& [name, key] : keys) {
        const bool retained = key.runs > 0 && key.begun >= log.first();
        for (std::size_t i = 0; retained && i < hosts(); ++i) {
          begin(i, name, key.ranBody, true);
        }
      }
    });
  }

  void checkAtEnd() override
  {
    for (const auto& [id, request] : mRequests) {
      if (!request.decided && request.incarnation == host(request.host).incarnation()) {
        simulation.violation("no decision for " + id.str());
      }
    }
    for (const auto& it : mNodes) {
      if (it->active() > 0) {
        simulation.violation("requests are left in memory");
      }
    }
  }

  std::vector<std::unique_ptr<AtMostOnce>> mNodes;
  std::map<RequestId, Request> mRequests;
  std::map<std::string, Key> mKeys;
  std::uint64_t mLastKey = 0;
};

}

std::unique_ptr<Scenario>
makeOnceScenario(Simulation& aSimulation)
{
  return std::make_unique<OnceScenario>(aSimulation);
}

}
