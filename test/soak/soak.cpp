#include "soak.hpp"

#include "routes/deployment.hpp"

#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace mustardplank::soak {

namespace {

using routes::Call;
using routes::CallerConnection;
using routes::RouteDeployment;

/// What a caller saw of one attempt.
struct Seen
{
  std::string attempt;
  std::string path;
  /// 0 when the connection ended without a whole answer.
  unsigned status = 0;
  std::string body;
};

/// Longest pause of an instance, and longest outage of the store, in milliseconds.
constexpr int kMostPauseMs = 2500;
constexpr int kMostOutageMs = 3000;
/// Time between two faults, in milliseconds.
constexpr int kMostBetweenMs = 900;
/// Usage of the last windows is reported within this.
constexpr Millis kSettle{ 9000 };
constexpr Millis kRecoveryBound{ 12000 };

class Soak
{
public:
  explicit Soak(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mDeployment(aOptions.servers, aOptions.instances)
  {
  }

  Violations run()
  {
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < mOptions.callers; ++i) {
      callers.emplace_back([this, i] { call(i); });
    }
    const auto until = std::chrono::steady_clock::now() + Seconds(mOptions.seconds);
    while (std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(Millis(50 + pick(kMostBetweenMs)));
      fault();
    }
    repair();
    mStop = true;
    for (auto& it : callers) {
      it.join();
    }
    checkRecovery();
    std::this_thread::sleep_for(kSettle);
    checkAnswers();
    checkDuties();
    return mViolations;
  }

private:
  int pick(int aBelow) { return static_cast<int>(mRandom() % static_cast<unsigned>(aBelow)); }

  void note(const std::string& aText)
  {
    std::cout << "seed=" << mOptions.seed << " fault=" << aText << "\n";
  }

  void call(std::size_t aCaller)
  {
    std::mt19937_64 random(mOptions.seed * 1000 + aCaller);
    static const char* const kPaths[] = { "/plain/ok",       "/plain/cut",      "/plain/not_run",
                                          "/twice/ok",       "/twice/error",    "/twice/cut",
                                          "/twice/late",     "/twice/surplus",  "/events/stream4",
                                          "/resume/broken2", "/resume/stream6", "/open/ok" };
    while (!mStop) {
      Seen seen;
      seen.attempt = routes::newAttempt();
      seen.path = kPaths[random() % std::size(kPaths)];
      try {
        CallerConnection connection(mDeployment.callers(random() % mOptions.instances));
        Call request;
        request.path = seen.path;
        request.attempt = seen.attempt;
        request.body = "body of " + seen.attempt;
        connection.send(request);
        const auto answer = connection.read();
        seen.status = answer.result_int();
        seen.body = answer.body();
      } catch (const boost::system::system_error&) {
        // Killed or stopped instances break connections.
      }
      const std::lock_guard lock(mMutex);
      mSeen.push_back(std::move(seen));
    }
  }

  void fault()
  {
    const auto instance = static_cast<std::size_t>(pick(static_cast<int>(mOptions.instances)));
    const auto server = static_cast<std::size_t>(pick(static_cast<int>(mOptions.servers)));
    switch (pick(8)) {
      case 0:
        note("kill instance" + std::to_string(instance));
        mDeployment.instance(instance).kill();
        mDeployment.startInstance(instance);
        return;
      case 1:
        pause(instance);
        return;
      case 2:
        note("stop instance" + std::to_string(instance));
        mDeployment.instance(instance).signal(SIGTERM);
        if (!mDeployment.instance(instance).wait(Millis(8000))) {
          mViolations.push_back("an instance did not end after SIGTERM");
          mDeployment.instance(instance).kill();
        }
        mDeployment.startInstance(instance);
        return;
      case 3:
        note("store down");
        mDeployment.store().setDown(true);
        std::this_thread::sleep_for(Millis(pick(kMostOutageMs)));
        mDeployment.store().setDown(false);
        return;
      case 4:
        note("store loses answers");
        mDeployment.store().loseAnswers(1 + pick(4));
        return;
      case 5:
        note("history forgotten");
        mDeployment.store().compact(pick(2) == 0 ? "keyed.op" : "keyed.servers");
        return;
      case 6:
        note("server" + std::to_string(server) + " leaves and returns");
        mDeployment.writeServer(server, "draining");
        std::this_thread::sleep_for(Millis(pick(1500)));
        mDeployment.writeServer(server);
        return;
      default:
        note("configuration changes");
        mDeployment.configure();
        mDeployment.instance(instance).signal(SIGHUP);
        return;
    }
  }

  void pause(std::size_t aInstance)
  {
    note("pause instance" + std::to_string(aInstance));
    mDeployment.instance(aInstance).signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(pick(kMostPauseMs)));
    mDeployment.instance(aInstance).signal(SIGCONT);
  }

  void repair()
  {
    mDeployment.store().setDown(false);
    for (std::size_t i = 0; i < mOptions.servers; ++i) {
      mDeployment.writeServer(i);
    }
  }

  void checkRecovery()
  {
    for (std::size_t i = 0; i < mOptions.instances; ++i) {
      const bool serves = support::waitUntil(kRecoveryBound, [&] {
        try {
          CallerConnection connection(mDeployment.callers(i));
          Call request;
          request.path = "/twice/ok";
          return connection.call(request).result_int() == 200;
        } catch (const boost::system::system_error&) {
          return false;
        }
      });
      if (!serves) {
        mViolations.push_back("instance" + std::to_string(i) + " does not serve after the faults");
      }
    }
  }

  void checkAnswers()
  {
    std::map<std::string, int> arrivals;
    std::map<std::string, bool> ran;
    for (std::size_t i = 0; i < mOptions.servers; ++i) {
      for (const auto& it : mDeployment.server(i).arrivals()) {
        ++arrivals[it.attempt];
        ran[it.attempt] = ran[it.attempt] || !it.path.ends_with("not_run");
        if (it.headers.contains("Authorization")) {
          mViolations.push_back("a server saw the key of " + it.attempt);
        }
        if (it.body != "body" && it.body != "body of " + it.attempt) {
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
    if (aSeen.status == 401 || aSeen.status == 404) {
      mViolations.push_back(what + " was refused although it is allowed");
    }
    if (aSeen.status != 200) {
      return;
    }
    const bool stream = aSeen.path.starts_with("/events/") || aSeen.path.starts_with("/resume/");
    std::string expected = "answer to " + aSeen.attempt;
    if (stream) {
      expected.clear();
      const int events = aSeen.path.starts_with("/events/") ? 4 : 6;
      for (int i = 1; i <= events; ++i) {
        expected += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
      }
    }
    if (aSeen.body != expected) {
      mViolations.push_back(what + " got a wrong answer: " + aSeen.body);
    }
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
  std::mt19937_64 mRandom;
  RouteDeployment mDeployment;
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::vector<Seen> mSeen;
  Violations mViolations;
};

}

Violations
run(const Options& aOptions)
{
  return Soak(aOptions).run();
}

}
