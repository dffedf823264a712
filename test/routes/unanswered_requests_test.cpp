#include "deployment.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <mutex>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// LOST: a connection may end without an answer so long after the last byte of a whole request.
constexpr Millis kLossSlack{ 200 };

std::string
eventTexts(int aCount)
{
  std::string text;
  for (int i = 1; i <= aCount; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
  }
  return text;
}

/// Callers that press on one instance and note each request that got no complete answer.
class Callers
{
public:
  Callers(RouteDeployment& aDeployment, int aCount)
    : mDeployment(aDeployment)
  {
    for (int i = 0; i < aCount; ++i) {
      mThreads.emplace_back([this, i] { press(i); });
    }
  }
  ~Callers() { stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void stop()
  {
    mStop = true;
    for (auto& it : mThreads) {
      it.join();
    }
    mThreads.clear();
  }

  int answered() const { return mAnswered; }
  std::string lost() const
  {
    const std::lock_guard lock(mMutex);
    return mLost;
  }

private:
  void press(int aCaller)
  {
    static const char* const kPaths[] = {
      "/plain/ok",         "/twice/ok",     "/events/stream6", "/resume/silent3",
      "/plain/delayed700", "/events/slow3", "/resume/stream6", "/twice/delayed",
    };
    std::unique_ptr<CallerConnection> connection;
    for (std::size_t i = static_cast<std::size_t>(aCaller); !mStop; ++i) {
      auto call = callOf(kPaths[i % std::size(kPaths)]);
      call.deadlineMs = 2900;
      bool sent = false;
      try {
        if (!connection) {
          connection = std::make_unique<CallerConnection>(mDeployment.callers());
        }
        connection->send(call);
        sent = true;
        const auto answer = connection->read();
        ++mAnswered;
        if (!answer.keep_alive()) {
          connection.reset();
        }
      } catch (const boost::system::system_error&) {
        const bool passedOn = mDeployment.arrivals(call.attempt) > 0;
        connection.reset();
        if (sent && passedOn) {
          const std::lock_guard lock(mMutex);
          mLost += " " + call.path;
        }
      }
      // Some connections are idle for most of the time that the limit allows.
      std::this_thread::sleep_for(Millis(i % 7 == 0 ? 400 : 10));
    }
  }

  RouteDeployment& mDeployment;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mAnswered{ 0 };
  mutable std::mutex mMutex;
  std::string mLost;
  std::vector<std::thread> mThreads;
};

/// No request is unanswered while aChange is made three times beside callers.
void
checkAnswered(const std::string& aName, const std::function<void(RouteDeployment&, int)>& aChange)
{
  constexpr int kCallers = 16;
  RouteDeployment deployment(3, 1);
  deployment.setIdleTimeout(Millis(1000));
  deployment.configure();
  for (std::size_t i = 0; i < 3; ++i) {
    deployment.writeServer(i, "ready", R"({"slots": 64})");
  }
  Callers callers(deployment, kCallers);
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(Millis(900));
    aChange(deployment, i);
  }
  std::this_thread::sleep_for(Millis(1500));
  callers.stop();
  BOOST_TEST(callers.answered() > 50, aName << ": " << callers.answered());
  BOOST_TEST(callers.lost().empty(), aName << ":" << callers.lost());
  std::string reasons;
  for (const auto& [reason, n] : deployment.unanswered()) {
    reasons.append(" ").append(reason).append("=").append(std::to_string(n));
  }
  BOOST_TEST(reasons.empty(), aName << ":" << reasons);
  BOOST_TEST(deployment.instance(0).running(), aName);
}

double
mostResidentMb(int aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::strtod(line.c_str() + 6, nullptr) * 1024 / 1e6;
    }
  }
  return 0.0;
}

}

// Guards against requests without an answer in calm.
BOOST_AUTO_TEST_CASE(routes_no_request_is_unanswered_in_calm)
{
  checkAnswered("calm", [](RouteDeployment&, int) {});
}

// Guards against requests without an answer beside a change of the configuration.
BOOST_AUTO_TEST_CASE(routes_no_request_is_unanswered_beside_a_change_of_the_configuration)
{
  using Change = std::function<void(RouteDeployment&, int)>;
  const std::pair<const char*, Change> changes[] = {
    { "route", [](RouteDeployment& aDeployment, int) { aDeployment.configure(); } },
    { "route removed and added",
      [](RouteDeployment& aDeployment, int aStep) {
        aDeployment.configure("key-one", aStep % 2 != 0);
      } },
    { "timeout",
      [](RouteDeployment& aDeployment, int aStep) {
        aDeployment.setRouteTimeout(Millis(aStep % 2 == 0 ? 6000 : 3000));
        aDeployment.configure();
      } },
    { "idle",
      [](RouteDeployment& aDeployment, int aStep) {
        aDeployment.setIdleTimeout(Millis(aStep % 2 == 0 ? 3000 : 1000));
        aDeployment.configure();
      } },
    { "body limit",
      [](RouteDeployment& aDeployment, int aStep) {
        aDeployment.setMaxBodyBytes(aStep % 2 == 0 ? 1000000 : 100000);
        aDeployment.configure();
      } },
  };
  for (const auto& [name, change] : changes) {
    checkAnswered(name, change);
  }
}

// Guards against requests without an answer beside many configurations, large ones and changes of
// the settings file.
BOOST_AUTO_TEST_CASE(routes_no_request_is_unanswered_in_a_storm_of_configurations)
{
  const auto storm = [](RouteDeployment& aDeployment) {
    for (int i = 0; i < 20; ++i) {
      aDeployment.configure();
      std::this_thread::sleep_for(Millis(20));
    }
  };
  checkAnswered("storm", [&](RouteDeployment& aDeployment, int) { storm(aDeployment); });
  checkAnswered("storm beside 400 more routes", [&](RouteDeployment& aDeployment, int) {
    aDeployment.setMoreRoutes(400);
    storm(aDeployment);
  });
  checkAnswered("settings file", [](RouteDeployment& aDeployment, int) {
    std::ofstream(aDeployment.settingsFile(0), std::ios::app) << "\n";
    aDeployment.instance(0).signal(SIGHUP);
  });
}

// Guards against requests without an answer in a planned stop beside a change of the configuration.
BOOST_AUTO_TEST_CASE(routes_no_request_is_unanswered_in_a_planned_stop_beside_changes)
{
  RouteDeployment deployment(3, 1);
  for (std::size_t i = 0; i < 3; ++i) {
    deployment.writeServer(i, "ready", R"({"slots": 64})");
  }
  Callers callers(deployment, 16);
  std::this_thread::sleep_for(Millis(1000));
  deployment.instance(0).signal(SIGTERM);
  for (int i = 0; i < 8; ++i) {
    deployment.setIdleTimeout(Millis(i % 2 == 0 ? 1000 : 3000));
    deployment.configure();
    std::this_thread::sleep_for(Millis(250));
  }
  BOOST_TEST(deployment.instance(0).wait(RouteDeployment::kStopGrace).has_value());
  callers.stop();
  BOOST_TEST(callers.lost().empty(), callers.lost());
}

// Guards against a request that is read after the last answer of its connection, and whose
// connection ends late.
BOOST_AUTO_TEST_CASE(routes_request_after_the_last_answer_ends_its_connection_soon)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  auto call = callOf("/plain/ok");
  call.fields.emplace_back("Connection", "close");
  BOOST_TEST(connection.call(call).result_int() == 200U);
  const auto late = callOf("/plain/ok");
  connection.send(late);
  const auto sentAt = bootNow();
  bool ended = false;
  // Bytes on a connection that has ended are answered by a reset.
  while (!ended && bootNow() < sentAt + Millis(900)) {
    std::this_thread::sleep_for(Millis(20));
    try {
      connection.sendText("G");
    } catch (const boost::system::system_error&) {
      ended = true;
    }
  }
  const auto elapsed = duration_cast<Millis>(bootNow() - sentAt);
  BOOST_TEST(elapsed <= kLossSlack, "ended after " << elapsed.count() << " ms");
  BOOST_TEST(deployment.arrivals(late.attempt) == 0U);
}

// Guards against an idle connection that is closed while a request waits in its receive buffer, as
// the instance is busy at the idle limit.
BOOST_AUTO_TEST_CASE(routes_request_at_the_idle_limit_of_a_busy_instance_is_answered)
{
  constexpr int kConnections = 60;
  constexpr Millis kIdle{ 1500 };
  RouteDeployment deployment(1, 1);
  deployment.setIdleTimeout(kIdle);
  deployment.configure();
  deployment.writeServer(0, "ready", R"({"slots": 64})");
  std::this_thread::sleep_for(Millis(1000));
  deployment.setMoreRoutes(3000);
  int unanswered = 0;
  for (int round = 0; round < 4; ++round) {
    std::vector<std::unique_ptr<CallerConnection>> connections;
    std::vector<TimePoint> calledAt;
    for (int i = 0; i < kConnections; ++i) {
      connections.push_back(std::make_unique<CallerConnection>(deployment.callers()));
      calledAt.push_back(bootNow());
      BOOST_TEST(connections.back()->call(callOf("/plain/ok")).result_int() == 200U);
    }
    // The instance reads the new configuration as the idle limits of the connections pass.
    const auto configureAt = calledAt.front() + kIdle - Millis(30 * round);
    auto configured = std::async(std::launch::async, [&] {
      std::this_thread::sleep_for(configureAt - bootNow());
      deployment.configure();
    });
    std::vector<bool> sent(connections.size(), false);
    for (std::size_t i = 0; i < connections.size(); ++i) {
      std::this_thread::sleep_for(calledAt[i] + kIdle - Millis(20) - bootNow());
      sent[i] = bootNow() < calledAt[i] + kIdle - Millis(10);
      try {
        connections[i]->send(callOf("/plain/ok"));
      } catch (const boost::system::system_error&) {
        unanswered += sent[i] ? 1 : 0;
        sent[i] = false;
      }
    }
    for (std::size_t i = 0; i < connections.size(); ++i) {
      try {
        connections[i]->read();
      } catch (const boost::system::system_error&) {
        unanswered += sent[i] ? 1 : 0;
      }
    }
  }
  BOOST_TEST(unanswered == 0);
}

// Guards against a stream that is cut at a time limit that is no longer in force.
BOOST_AUTO_TEST_CASE(routes_longer_time_limit_holds_for_streams_in_progress)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  auto call = callOf("/events/slow7");
  call.deadlineMs = 8000;
  connection.send(call);
  std::this_thread::sleep_for(Millis(500));
  deployment.setRouteTimeout(Millis(9000));
  deployment.configure();
  try {
    BOOST_TEST(connection.read().body() == eventTexts(7));
  } catch (const boost::system::system_error&) {
    BOOST_ERROR("broken off after " << connection.partialBody());
  }
}

// Guards against a stream that goes on at another server and is given the older time limit there.
BOOST_AUTO_TEST_CASE(routes_longer_time_limit_holds_for_streams_that_are_resumed)
{
  RouteDeployment deployment(2, 1);
  CallerConnection connection(deployment.callers());
  auto call = callOf("/resume/slow_broken4+stream6");
  call.deadlineMs = 8000;
  connection.send(call);
  std::this_thread::sleep_for(Millis(500));
  deployment.setRouteTimeout(Millis(9000));
  deployment.configure();
  BOOST_TEST(connection.read().body() == eventTexts(6));
  int mostLeftMs = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    for (const auto& it : deployment.server(i).arrivals()) {
      if (it.attempt == call.attempt && it.headers.contains("Last-Event-Id")) {
        mostLeftMs = std::atoi(it.headers.at("X-Deadline-Ms").c_str());
      }
    }
  }
  BOOST_TEST(mostLeftMs > 4000);
  BOOST_TEST(mostLeftMs < 8000);
}

// Guards against an answer that its caller does not take and that nobody sees.
BOOST_AUTO_TEST_CASE(routes_answer_that_is_not_taken_is_counted)
{
  RouteDeployment deployment(1, 1);
  deployment.setIdleTimeout(Millis(60000));
  deployment.configure();
  std::this_thread::sleep_for(Millis(1000));
  CallerConnection connection(deployment.callers());
  connection.send(callOf("/plain/large15000"));
  BOOST_TEST(
    waitUntil(Millis(30000), [&] { return deployment.unanswered()["write_failed"] == 1; }));
}

// Guards against an instance that runs out of memory, as streams in progress keep the
// configurations under which they arrived.
BOOST_AUTO_TEST_CASE(routes_storm_of_large_configurations_keeps_the_memory_limit)
{
  // Of the smallest instances of the users' platform, and what is left for other work at a storm.
  constexpr double kMemoryMb = 88.0;
  constexpr int kVersions = 120;
  RouteDeployment deployment(1, 1);
  deployment.writeServer(0, "ready", R"({"slots": 512})");
  deployment.setRouteTimeout(Millis(15000));
  deployment.setMoreRoutes(450);
  deployment.configure();
  std::this_thread::sleep_for(Millis(1000));
  std::vector<std::unique_ptr<CallerConnection>> streams;
  for (int i = 0; i < kVersions; ++i) {
    deployment.configure();
    std::this_thread::sleep_for(Millis(50));
    streams.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    auto call = callOf("/events/slow12");
    call.deadlineMs = 14000;
    streams.back()->send(call);
  }
  int whole = 0;
  for (auto& it : streams) {
    try {
      whole += it->read().body() == eventTexts(12) ? 1 : 0;
    } catch (const boost::system::system_error&) {
    }
  }
  BOOST_TEST(whole == kVersions);
  BOOST_TEST_REQUIRE(deployment.instance(0).running());
  const auto mb = mostResidentMb(deployment.instance(0).id());
  BOOST_TEST_MESSAGE("most memory " << mb << " MB");
  BOOST_TEST(mb < kMemoryMb, mb << " MB");
}

// Guards against requests that reach a server after their callers have left, as the instance did
// not run meanwhile.
BOOST_AUTO_TEST_CASE(routes_request_of_a_caller_that_has_left_is_not_sent_on)
{
  RouteDeployment deployment(1, 1);
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (int i = 0; i < 10; ++i) {
    connections.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    BOOST_TEST(connections.back()->call(callOf("/twice/ok")).result_int() == 200U);
  }
  deployment.instance(0).signal(SIGSTOP);
  std::vector<Call> calls;
  for (auto& it : connections) {
    calls.push_back(callOf("/twice/ok"));
    it->send(calls.back());
    it->close();
  }
  std::this_thread::sleep_for(Millis(1200));
  deployment.instance(0).signal(SIGCONT);
  std::this_thread::sleep_for(Millis(1000));
  std::size_t arrivals = 0;
  for (const auto& it : calls) {
    arrivals += deployment.arrivals(it.attempt);
  }
  BOOST_TEST(arrivals == 0U);
}
