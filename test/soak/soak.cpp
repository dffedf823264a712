#include "soak.hpp"

#include "routes/deployment.hpp"
#include "routes/false_answers.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <latch>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>

namespace mustardplank::soak {

namespace {

using routes::Call;
using routes::CallerConnection;
using routes::RouteDeployment;

using Clock = std::chrono::steady_clock;

/// What a caller saw of one attempt.
struct Seen
{
  std::string attempt;
  std::string path;
  std::size_t instance = 0;
  Clock::time_point sent;
  Clock::time_point ended;
  /// 0 when the connection ended without a whole answer.
  unsigned status = 0;
  std::string body;
  /// Set if the server was to answer as false_answers.hpp has it.
  const routes::RequestForm* form = nullptr;
  const routes::FalseAnswer* answer = nullptr;
};

/// Time in which an instance was killed or paused.
struct Outage
{
  Clock::time_point from;
  Clock::time_point to;
};

/// Longest pause of an instance, and longest outage of the store, in milliseconds.
constexpr int kMaxPauseMs = 2500;
constexpr int kMaxOutageMs = 3000;
/// Age of the copy that the store comes back with, and longest time until the operator and the
/// servers have written again what it lacks, in milliseconds.
constexpr int kMinCopyAgeMs = 500;
constexpr int kMaxCopyAgeMs = 5000;
constexpr int kMaxRewriteMs = 2000;
/// Longest cut of an instance from the servers, and longest time between two, in milliseconds.
constexpr int kMaxCutMs = 3000;
constexpr int kMaxBetweenCutsMs = 2000;
constexpr std::uint64_t kCutSeed = 7'000'000;
/// A connection through another instance may be in use for so long after a cut.
constexpr Millis kTunnelSlack{ 5000 };
/// Time between two faults, in milliseconds.
constexpr int kMaxBetweenMs = 900;
/// Usage of the last windows is reported within this.
constexpr Millis kSettle{ 9000 };
constexpr Millis kRecoveryBound{ 12000 };
/// After faults, a change is in force in time once this has passed.
constexpr Millis kStabilityWindow{ 3000 };
constexpr Millis kApplyBound{ 2000 };
/// Deadline of a stream within which a server falls silent.
constexpr int kSilentDeadlineMs = 3000;
/// Series of faults that run at the same time.
constexpr int kFaultSeries = 2;
/// Longest time between two signals in a series, in milliseconds.
constexpr int kMaxBetweenSignalsMs = 1200;
/// Longest time for which a server states something on the requests that it takes, in milliseconds.
constexpr int kMaxStatementMs = 3000;
constexpr int kMaxThinkingMs = 5;
/// One request in so many is answered as false_answers.hpp has it, and one in so many of these may
/// have a large body.
constexpr int kFalseAnswerInterval = 4;
constexpr int kLargeBodyInterval = 20;
constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;
/// Time limit of a request with a false answer.
constexpr int kFalseAnswerDeadlineMs = 2000;
/// A request that was under way so long after an outage of its instance may suffer from it.
constexpr Millis kOutageSlack{ 1000 };
constexpr std::size_t kShownOutputBytes = 2000;
/// Of a run with many instances.
constexpr std::size_t kManyInstances = 24;
constexpr std::size_t kManyCallers = 24;

class Soak
{
public:
  explicit Soak(const Options& aOptions)
    : mOptions(aOptions)
    , mDeployment(aOptions.servers,
                  aOptions.instances,
                  routes::Clocks::OfTheMachine,
                  1,
                  RouteDeployment::kStopGrace,
                  {},
                  routes::Rollouts::NotStated,
                  routes::ServerLinks::Cuttable)
    , mInstanceMutexes(aOptions.instances)
  {
    mDeployment.setMaxBodyBytes(kMaxBodyBytes);
    mDeployment.configure();
  }

  Violations run()
  {
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < mOptions.callers; ++i) {
      callers.emplace_back([this, i] { call(i); });
    }
    std::latch injected(kFaultSeries);
    std::latch checked(1);
    std::vector<std::thread> series;
    for (int i = 0; i < kFaultSeries; ++i) {
      series.emplace_back([&, i] {
        inject(i);
        injected.count_down();
        // The instances that a thread has started end with it.
        checked.wait();
      });
    }
    std::thread cuts([this] { injectCuts(); });
    injected.wait();
    cuts.join();
    repair();
    mStop = true;
    for (auto& it : callers) {
      it.join();
    }
    checkRecovery();
    checkUnanswered();
    checkChange();
    std::this_thread::sleep_for(kSettle);
    checkAnswers();
    checkDuties();
    checked.count_down();
    for (auto& it : series) {
      it.join();
    }
    return mViolations;
  }

private:
  using Random = std::mt19937_64;

  static int pick(Random& aRandom, int aBelow)
  {
    return static_cast<int>(aRandom() % static_cast<unsigned>(aBelow));
  }

  /// Whether the server falls silent for a while within the stream.
  static bool isSilent(const std::string& aPath)
  {
    return aPath.find("/silent") != std::string::npos;
  }

  /// A request that a server answers as false_answers.hpp has it.
  static void chooseFalseAnswer(Random& aRandom, Seen& aSeen)
  {
    const auto& forms = routes::requestForms();
    const auto& answers = routes::falseAnswers();
    const bool mayBeLarge = pick(aRandom, kLargeBodyInterval) == 0;
    do {
      aSeen.form = &forms[aRandom() % forms.size()];
    } while (aSeen.form->isLarge() && !mayBeLarge);
    do {
      aSeen.answer = &answers[aRandom() % answers.size()];
    } while (aSeen.answer->group == "late");
    aSeen.path = routes::pathOf(*aSeen.form, *aSeen.answer);
  }

  void note(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    std::cout << "seed=" << mOptions.seed << " fault=" << aText << "\n";
  }

  void violate(const std::string& aText)
  {
    const std::lock_guard lock(mMutex);
    mViolations.push_back(aText);
  }

  void call(std::size_t aCaller)
  {
    std::mt19937_64 random(mOptions.seed * 1000 + aCaller);
    static const char* const kPaths[] = {
      "/plain/ok",          "/plain/cut",       "/plain/not_run",       "/twice/ok",
      "/twice/error",       "/twice/cut",       "/twice/late",          "/twice/surplus",
      "/events/stream4",    "/resume/broken2",  "/resume/stream6",      "/open/ok",
      "/plain/old_refusal", "/twice/head_cut2", "/resume/no_resume200", "/events/silent2",
      "/resume/silent3"
    };
    // Callers keep a connection until the other side closes it.
    std::unique_ptr<CallerConnection> connection;
    std::size_t instance = 0;
    while (!mStop) {
      Seen seen;
      seen.attempt = routes::newAttempt();
      if (pick(random, kFalseAnswerInterval) == 0) {
        chooseFalseAnswer(random, seen);
      } else {
        seen.path = kPaths[random() % std::size(kPaths)];
      }
      seen.sent = Clock::now();
      try {
        if (!connection) {
          instance = random() % mOptions.instances;
          connection = std::make_unique<CallerConnection>(mDeployment.callers(instance));
        }
        Call request;
        request.path = seen.path;
        request.attempt = seen.attempt;
        request.body = "body of " + seen.attempt;
        if (isSilent(seen.path)) {
          request.deadlineMs = kSilentDeadlineMs;
        }
        if (seen.form) {
          request.method = seen.form->method;
          request.body = seen.form->body(seen.attempt);
          request.deadlineMs = kFalseAnswerDeadlineMs;
        }
        connection->send(request);
        const auto answer = connection->read();
        seen.status = answer.result_int();
        seen.body = answer.body();
        if (!answer.keep_alive()) {
          connection.reset();
        }
      } catch (const boost::system::system_error&) {
        // Killed or stopped instances break connections.
        connection.reset();
      }
      seen.instance = instance;
      seen.ended = Clock::now();
      {
        const std::lock_guard lock(mMutex);
        mSeen.push_back(std::move(seen));
      }
      std::this_thread::sleep_for(Millis(pick(random, kMaxThinkingMs)));
    }
  }

  /// A series of faults; each waits for the one before in its series only.
  void inject(int aSeries)
  {
    Random random(mOptions.seed * kFaultSeries + static_cast<std::uint64_t>(aSeries));
    const auto until = Clock::now() + Seconds(mOptions.seconds);
    while (Clock::now() < until) {
      std::this_thread::sleep_for(Millis(50 + pick(random, kMaxBetweenMs)));
      fault(random);
    }
  }

  /// A series of its own, so that the others are those of the same seed without it: instances are
  /// cut off from all servers, one at a time.
  void injectCuts()
  {
    Random random(mOptions.seed + kCutSeed);
    const auto until = Clock::now() + Seconds(mOptions.seconds);
    while (Clock::now() < until) {
      std::this_thread::sleep_for(Millis(pick(random, kMaxBetweenCutsMs)));
      const auto instance =
        static_cast<std::size_t>(pick(random, static_cast<int>(mOptions.instances)));
      const bool resets = pick(random, 2) == 0;
      note("instance" + std::to_string(instance) + " is cut off from the servers, " +
           (resets ? "reset" : "new connections refused"));
      const auto from = Clock::now();
      mDeployment.cutFromServers(instance,
                                 resets ? routes::CutKind::Reset : routes::CutKind::RefuseNew);
      std::this_thread::sleep_for(Millis(pick(random, kMaxCutMs)));
      mDeployment.restoreServerLinks(instance);
      const std::lock_guard lock(mMutex);
      mCuts[instance].push_back({ from, Clock::now() });
    }
  }

  void fault(Random& aRandom)
  {
    const auto instance =
      static_cast<std::size_t>(pick(aRandom, static_cast<int>(mOptions.instances)));
    const auto server = static_cast<std::size_t>(pick(aRandom, static_cast<int>(mOptions.servers)));
    switch (pick(aRandom, 10)) {
      case 0: {
        const std::lock_guard lock(mInstanceMutexes[instance]);
        note("kill instance" + std::to_string(instance));
        const auto from = Clock::now();
        mDeployment.instance(instance).kill();
        mDeployment.startInstance(instance);
        noteOutage(instance, from);
        return;
      }
      case 1:
        pause(instance, Millis(pick(aRandom, kMaxPauseMs)));
        return;
      case 2:
        stop(instance, aRandom);
        return;
      case 3: {
        const std::lock_guard lock(mStoreMutex);
        note("store down");
        mDeployment.store().setDown(true);
        std::this_thread::sleep_for(Millis(pick(aRandom, kMaxOutageMs)));
        mDeployment.store().setDown(false);
        return;
      }
      case 4:
        note("store loses answers");
        mDeployment.store().loseAnswers(1 + pick(aRandom, 4));
        return;
      case 5:
        note("history forgotten");
        mDeployment.store().compact(pick(aRandom, 2) == 0 ? "keyed.op" : "keyed.servers");
        return;
      case 6:
        note("server" + std::to_string(server) + " leaves and returns");
        mDeployment.writeServer(server, "draining");
        std::this_thread::sleep_for(Millis(pick(aRandom, 1500)));
        mDeployment.writeServer(server);
        return;
      case 7:
        state(server, aRandom);
        return;
      case 8:
        restoreStore(aRandom);
        return;
      default: {
        const std::lock_guard lock(mStoreMutex);
        note("configuration changes");
        mDeployment.configure();
        signal(instance, SIGHUP);
        return;
      }
    }
  }

  /// The store goes back to an older copy, unless the other series has one made already.
  void restoreStore(Random& aRandom)
  {
    const Millis age(kMinCopyAgeMs + pick(aRandom, kMaxCopyAgeMs - kMinCopyAgeMs));
    const Millis away(pick(aRandom, kMaxOutageMs));
    const Millis rewrite(pick(aRandom, kMaxRewriteMs));
    const std::unique_lock copyLock(mCopyMutex, std::try_to_lock);
    if (!copyLock) {
      return;
    }
    auto& store = mDeployment.store();
    store.snapshot();
    std::this_thread::sleep_for(age);
    {
      const std::lock_guard lock(mStoreMutex);
      note("store restored as of " + std::to_string(age.count()) + " ms before");
      store.setDown(true);
      std::this_thread::sleep_for(away);
      store.restore();
      store.setDown(false);
    }
    std::this_thread::sleep_for(rewrite);
    store.rewriteOperators();
  }

  /// The instance's process may be replaced meanwhile, so its lock is held by the caller or taken.
  void signal(std::size_t aInstance, int aSignal)
  {
    const std::unique_lock lock(mInstanceMutexes[aInstance], std::try_to_lock);
    if (lock) {
      mDeployment.instance(aInstance).signal(aSignal);
    }
  }

  void pause(std::size_t aInstance, Millis aTime)
  {
    const std::lock_guard lock(mInstanceMutexes[aInstance]);
    note("pause instance" + std::to_string(aInstance));
    const auto from = Clock::now();
    mDeployment.instance(aInstance).signal(SIGSTOP);
    std::this_thread::sleep_for(aTime);
    mDeployment.instance(aInstance).signal(SIGCONT);
    noteOutage(aInstance, from);
  }

  /// SIGTERM, at times with more signals before and after it.
  void stop(std::size_t aInstance, Random& aRandom)
  {
    const std::lock_guard lock(mInstanceMutexes[aInstance]);
    note("stop instance" + std::to_string(aInstance));
    auto& process = mDeployment.instance(aInstance);
    const int signals[] = { SIGHUP, SIGTERM, SIGHUP, SIGTERM };
    for (int i = pick(aRandom, 2); i <= 1 + pick(aRandom, 3); ++i) {
      process.signal(signals[i]);
      std::this_thread::sleep_for(Millis(pick(aRandom, kMaxBetweenSignalsMs)));
    }
    if (!process.wait(Millis(8000))) {
      violate("an instance did not end after SIGTERM");
      process.kill();
    }
    mDeployment.startInstance(aInstance);
  }

  /// The server states for a while which requests it takes.
  void state(std::size_t aServer, Random& aRandom)
  {
    static const char* const kStatements[] = { "Server-Limit: 5.0\r\n",
                                               "Server-Leaving: 1\r\n",
                                               "Retry-After: 1.5\r\n" };
    const std::string statement =
      kStatements[pick(aRandom, static_cast<int>(std::size(kStatements)))];
    note("server" + std::to_string(aServer) + " states " +
         statement.substr(0, statement.find('\r')));
    mDeployment.server(aServer).setMoreFields(statement);
    std::this_thread::sleep_for(Millis(pick(aRandom, kMaxStatementMs)));
    mDeployment.server(aServer).setMoreFields("");
    // A server that has left comes back as another incarnation.
    mDeployment.writeServer(aServer, "ready", R"({"born": )" + std::to_string(++mBorn) + "}");
  }

  void noteOutage(std::size_t aInstance, Clock::time_point aFrom)
  {
    const std::lock_guard lock(mMutex);
    mOutages[aInstance].push_back({ aFrom, Clock::now() });
  }

  void repair()
  {
    mDeployment.store().setDown(false);
    for (std::size_t i = 0; i < mOptions.servers; ++i) {
      mDeployment.server(i).setMoreFields("");
      mDeployment.writeServer(i, "ready", R"({"born": )" + std::to_string(++mBorn) + "}");
    }
  }

  bool serves(std::size_t aInstance, const std::string& aKey)
  {
    try {
      CallerConnection connection(mDeployment.callers(aInstance));
      Call request;
      request.path = "/twice/ok";
      request.key = aKey;
      return connection.call(request).result_int() == 200;
    } catch (const boost::system::system_error&) {
      return false;
    }
  }

  void checkRecovery()
  {
    for (std::size_t i = 0; i < mOptions.instances; ++i) {
      if (!support::waitUntil(kRecoveryBound, [&] { return serves(i, "key-one"); })) {
        const auto output = mDeployment.instance(i).output();
        const auto begin = output.size() - std::min<std::size_t>(output.size(), kShownOutputBytes);
        mViolations.push_back("instance" + std::to_string(i) +
                              " does not serve after the faults: " + output.substr(begin) +
                              mDeployment.instance(i).errors());
      }
    }
  }

  /// Connections may end without an answer as servers break off or callers leave, but not so.
  void checkUnanswered()
  {
    static const char* const kNeverExcused[] = {
      "idle", "write_failed", "output_dropped", "after_last_response", "memory_exceeded",
    };
    for (std::size_t i = 0; i < mOptions.instances; ++i) {
      const auto counts = mDeployment.unanswered(i);
      for (const auto* reason : kNeverExcused) {
        if (const auto it = counts.find(reason); it != counts.end()) {
          mViolations.push_back(std::to_string(it->second) + " requests without an answer (" +
                                reason + ") at instance" + std::to_string(i));
        }
      }
    }
  }

  void checkChange()
  {
    std::this_thread::sleep_for(kStabilityWindow);
    mDeployment.configure("key-last");
    std::set<std::size_t> late;
    for (std::size_t i = 0; i < mOptions.instances; ++i) {
      late.insert(i);
    }
    support::waitUntil(kApplyBound, [&] {
      std::erase_if(late, [&](auto aInstance) { return serves(aInstance, "key-last"); });
      return late.empty();
    });
    for (const auto it : late) {
      mViolations.push_back("a change was not in force in time at instance" + std::to_string(it));
    }
  }

  void checkAnswers()
  {
    std::map<std::string, int> arrivals;
    std::map<std::string, bool> ran;
    std::map<std::string, const routes::RequestForm*> forms;
    for (const auto& it : mSeen) {
      if (it.form) {
        forms[it.attempt] = it.form;
      }
    }
    for (std::size_t i = 0; i < mOptions.servers; ++i) {
      for (const auto& it : mDeployment.server(i).arrivals()) {
        ++arrivals[it.attempt];
        ran[it.attempt] = ran[it.attempt] || !it.path.ends_with("not_run");
        if (it.headers.contains("Authorization")) {
          mViolations.push_back("a server saw the key of " + it.attempt);
        }
        const auto form = forms.find(it.attempt);
        const auto body =
          form == forms.end() ? "body of " + it.attempt : form->second->body(it.attempt);
        if (it.whole && it.body != "body" && it.body != body) {
          mViolations.push_back("the body of " + it.attempt + " was changed");
        }
      }
    }
    for (const auto& it : mSeen) {
      checkAnswer(it, arrivals[it.attempt], ran[it.attempt]);
    }
  }

  void checkAnswer(const Seen& aSeen, int aArrivals, bool aRan)
  {
    const auto what = aSeen.attempt + " " + aSeen.path;
    const bool once = aSeen.path.starts_with("/plain/") || aSeen.path.starts_with("/events/");
    if (once && aArrivals > 1) {
      mViolations.push_back(what + " was sent " + std::to_string(aArrivals) + " times");
    }
    if (aArrivals > 2) {
      mViolations.push_back(what + " was sent more often than its route allows");
    }
    if (once && aRan && (aSeen.status == 503 || aSeen.status == 429)) {
      mViolations.push_back(what + " ran although its caller was told that it did not");
    }
    const bool isSound = aSeen.path.ends_with("/ok") || isSilent(aSeen.path);
    if (aSeen.status == 0 && aArrivals > 0 && isSound && !hadOutage(aSeen)) {
      mViolations.push_back(what + " reached a server and got no answer");
    }
    if (aSeen.status == 401 || aSeen.status == 404) {
      mViolations.push_back(what + " was refused although it is allowed");
    }
    if (aSeen.status != 200) {
      return;
    }
    if (aSeen.answer) {
      const routes::Outcome outcome{ aSeen.status, aSeen.body };
      const auto misfit = misfitOf(*aSeen.form, *aSeen.answer, aSeen.attempt, outcome);
      if (!misfit.empty()) {
        mViolations.push_back(what + " got a false answer: " + misfit);
      }
      return;
    }
    const bool stream = aSeen.path.starts_with("/events/") || aSeen.path.starts_with("/resume/");
    std::string expected = "answer to " + aSeen.attempt;
    if (stream) {
      expected.clear();
      const int events = aSeen.path == "/events/stream4" ? 4 : 6;
      for (int i = 1; i <= events; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
      }
    }
    if (aSeen.body != expected) {
      mViolations.push_back(what + " got a wrong answer: " + aSeen.body);
    }
  }

  /// An outage of its instance, or of the one that connected to the server for it.
  bool hadOutage(const Seen& aSeen) const
  {
    const bool isCut = overlaps(mCuts, aSeen.instance, aSeen, kTunnelSlack);
    return std::any_of(mOutages.begin(), mOutages.end(), [&](const auto& aItem) {
      return (isCut || aItem.first == aSeen.instance) &&
             overlaps(mOutages, aItem.first, aSeen, kOutageSlack);
    });
  }

  static bool overlaps(const std::map<std::size_t, std::vector<Outage>>& aOutages,
                       std::size_t aInstance,
                       const Seen& aSeen,
                       Millis aSlack)
  {
    const auto it = aOutages.find(aInstance);
    return it != aOutages.end() &&
           std::any_of(it->second.begin(), it->second.end(), [&](const auto& aOutage) {
             return aSeen.sent < aOutage.to + aSlack && aSeen.ended > aOutage.from;
           });
  }

  void checkDuties()
  {
    std::map<std::uint64_t, std::string> windows;
    std::uint64_t fence = 0;
    std::map<std::uint64_t, std::string> holders;
    for (const auto& it : mDeployment.store().dutyCalls()) {
      if (it.fence < fence) {
        mViolations.push_back("a duty call of " + it.holder + " with a lower fence");
      }
      fence = std::max(fence, it.fence);
      if (holders.emplace(it.fence, it.holder).first->second != it.holder) {
        mViolations.push_back("two holders with fence " + std::to_string(it.fence));
      }
      if (it.path != "/usage") {
        continue;
      }
      const auto window = it.body.at("windowId").get<std::uint64_t>();
      const auto counts = it.body.at("counts").dump();
      if (windows.emplace(window, counts).first->second != counts) {
        mViolations.push_back("window " + std::to_string(window) +
                              " was reported with two figures");
      }
    }
    if (windows.empty()) {
      mViolations.push_back("no usage was reported");
    }
  }

  Options mOptions;
  RouteDeployment mDeployment;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mBorn{ 1 };
  /// Held while an instance's process is changed, and while the store is.
  std::vector<std::mutex> mInstanceMutexes;
  std::mutex mStoreMutex;
  /// Held from the time at which a copy of the store is made until nothing is missing any more.
  std::mutex mCopyMutex;
  std::mutex mMutex;
  std::vector<Seen> mSeen;
  std::map<std::size_t, std::vector<Outage>> mOutages;
  /// When each instance was cut off from the servers.
  std::map<std::size_t, std::vector<Outage>> mCuts;
  Violations mViolations;
};

}

Options
optionsOfSeed(std::uint64_t aSeed)
{
  Options options;
  options.seed = aSeed;
  if (aSeed % 10 == 0) {
    options.instances = kManyInstances;
    options.callers = kManyCallers;
  }
  return options;
}

Violations
run(const Options& aOptions)
{
  return Soak(aOptions).run();
}

}
