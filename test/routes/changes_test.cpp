#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <set>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

unsigned
statusOf(RouteDeployment& aDeployment, const Call& aCall, std::size_t aInstance = 0)
{
  try {
    CallerConnection connection(aDeployment.callers(aInstance));
    return connection.call(aCall).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

/// Requests of the first organisation in all usage windows reported.
std::uint64_t
usageReported(RouteDeployment& aDeployment)
{
  std::map<std::uint64_t, std::uint64_t> windows;
  for (const auto& it : aDeployment.store().dutyCalls()) {
    if (it.path == "/usage") {
      windows[it.body.at("windowId").get<std::uint64_t>()] =
        it.body.at("counts").value("one", std::uint64_t(0));
    }
  }
  std::uint64_t sum = 0;
  for (const auto& [window, requests] : windows) {
    sum += requests;
  }
  return sum;
}

}

// Guards against a key or a route that works on after it was taken away, also on a connection that
// is open already.
BOOST_AUTO_TEST_CASE(routes_change_of_configuration_is_in_force_within_two_seconds)
{
  RouteDeployment deployment(1, 1);
  CallerConnection connection(deployment.callers());
  BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
  deployment.configure("key-new", false);
  BOOST_TEST(waitUntil(Millis(2000),
                       [&] { return connection.call(callOf("/twice/ok")).result_int() == 401U; }));
  auto call = callOf("/plain/ok");
  call.key = "key-new";
  BOOST_TEST(connection.call(call).result_int() == 404U);
}

// Guards against an older configuration after the store has dropped its history.
BOOST_AUTO_TEST_CASE(routes_configuration_survives_the_loss_of_history)
{
  RouteDeployment deployment(1, 1);
  deployment.configure("key-new");
  deployment.store().compact("keyed.op");
  deployment.store().compact("keyed.servers");
  auto call = callOf("/twice/ok");
  call.key = "key-new";
  BOOST_TEST(waitUntil(Millis(2000), [&] { return statusOf(deployment, call) == 200U; }));
  deployment.configure("key-newer");
  call.key = "key-newer";
  BOOST_TEST(waitUntil(Millis(2000), [&] { return statusOf(deployment, call) == 200U; }));
}

BOOST_AUTO_TEST_CASE(routes_malformed_records_change_nothing)
{
  RouteDeployment deployment(1, 1);
  deployment.store().put("keyed.op", "config", "{\"version\":\"new\"}");
  deployment.store().put("keyed.servers", "server0", "\xff\xfe");
  deployment.store().put("keyed.servers", "other", R"({"service":"svc","address":"127.0.0.1:9"})");
  std::this_thread::sleep_for(Millis(2000));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  }
}

// Guards against work for servers that leave or have gone, and domains that are out.
BOOST_AUTO_TEST_CASE(routes_leaving_servers_get_no_new_work)
{
  RouteDeployment deployment(3, 1);
  deployment.writeServer(0, "draining");
  deployment.removeServer(1);
  std::this_thread::sleep_for(Millis(2000));
  const auto before =
    deployment.server(0).arrivals().size() + deployment.server(1).arrivals().size();
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  }
  BOOST_TEST(deployment.server(0).arrivals().size() + deployment.server(1).arrivals().size() ==
             before);
  deployment.store().put("keyed.op", "evacuate/fd-a", "{}");
  BOOST_TEST(
    waitUntil(Millis(2000), [&] { return statusOf(deployment, callOf("/plain/ok")) == 503U; }));
  deployment.store().put("keyed.op", "evacuate/fd-a", std::nullopt);
  BOOST_TEST(
    waitUntil(Millis(2000), [&] { return statusOf(deployment, callOf("/plain/ok")) == 200U; }));
}

// Guards against an outage of the store that stops the service.
BOOST_AUTO_TEST_CASE(routes_service_goes_on_without_the_store)
{
  RouteDeployment deployment(1, 1);
  deployment.store().setDown(true);
  std::this_thread::sleep_for(Millis(3000));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  }
  BOOST_TEST(deployment.readinessStatus() == 200);
  deployment.configure("key-new");
  deployment.store().setDown(false);
  auto call = callOf("/twice/ok");
  call.key = "key-new";
  BOOST_TEST(waitUntil(Millis(2500), [&] { return statusOf(deployment, call) == 200U; }));
}

// Guards against the fault in which a read that was sent while the store was silent was waited for
// long after its return, so that a change came into force late.
BOOST_AUTO_TEST_CASE(routes_change_is_in_force_soon_after_a_silent_store_returns)
{
  RouteDeployment deployment(1, 1);
  deployment.configure("key-two-new");
  auto call = callOf("/twice/ok");
  call.key = "key-two-new";
  BOOST_TEST(waitUntil(Millis(2000), [&] { return statusOf(deployment, call) == 200U; }));
  deployment.store().setSilent(true);
  std::this_thread::sleep_for(Millis(3600));
  deployment.configure("key-new");
  deployment.store().setSilent(false);
  call.key = "key-new";
  BOOST_TEST(waitUntil(Millis(2000), [&] { return statusOf(deployment, call) == 200U; }));
}

// Guards against an instance that serves, or says that it is ready, without a configuration.
BOOST_AUTO_TEST_CASE(routes_instance_without_configuration_is_not_ready)
{
  RouteDeployment deployment(1, 1);
  deployment.store().setDown(true);
  deployment.instance(0).kill();
  deployment.startInstance(0);
  BOOST_TEST(waitUntil(Millis(3000), [&] { return deployment.readinessStatus() == 503; }));
  BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 503U);
  deployment.store().setDown(false);
  BOOST_TEST(
    waitUntil(Millis(3000), [&] { return statusOf(deployment, callOf("/plain/ok")) == 200U; }));
}

// Guards against a planned stop that cuts answers, takes requests until its end, or never ends.
BOOST_AUTO_TEST_CASE(routes_planned_stop_cuts_nothing_and_ends)
{
  RouteDeployment deployment(1, 1);
  CallerConnection idle(deployment.callers());
  BOOST_TEST(idle.call(callOf("/plain/ok")).result_int() == 200U);
  auto stream = std::async(std::launch::async, [&] {
    CallerConnection connection(deployment.callers());
    return connection.call(callOf("/events/stream30")).body();
  });
  std::this_thread::sleep_for(Millis(300));
  deployment.instance(0).signal(SIGTERM);
  BOOST_TEST(waitUntil(Millis(1000), [&] { return deployment.readinessStatus() == 503; }));
  // Callers that come before the balancer has noticed are served.
  const auto answer = idle.call(callOf("/plain/ok"));
  BOOST_TEST(answer.result_int() == 200U);
  BOOST_TEST(!answer.keep_alive());
  BOOST_TEST(stream.get().ends_with("id: 30\ndata: t30\n\n"));
  const auto code = deployment.instance(0).wait(Millis(4000));
  BOOST_TEST_REQUIRE(code.has_value());
  BOOST_TEST(*code == 0);
}

// Guards against memory that is used after it was freed as an instance ends with connections to the
// others open. Any exit status but 0 is a fault; the address sanitizer names it.
BOOST_AUTO_TEST_CASE(routes_instances_that_stop_one_after_the_other_end_in_order)
{
  constexpr std::size_t kInstances = 5;
  RouteDeployment deployment(1, kInstances);
  for (std::size_t i = 0; i < kInstances; ++i) {
    deployment.instance(i).signal(SIGTERM);
    std::this_thread::sleep_for(Millis(370));
  }
  for (std::size_t i = 0; i < kInstances; ++i) {
    const auto code = deployment.instance(i).wait(Millis(8000));
    BOOST_TEST_REQUIRE(code.has_value());
    BOOST_TEST(*code == 0, deployment.instance(i).errors().substr(0, 6000));
  }
}

// Guards against requests that are cut off without an answer because the listener closes while the
// kernel holds their connections.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_connections_that_wait)
{
  RouteDeployment deployment(1, 1);
  auto& instance = deployment.instance(0);
  instance.signal(SIGTERM);
  std::this_thread::sleep_for(Millis(1500));
  instance.signal(SIGSTOP);
  std::vector<std::unique_ptr<CallerConnection>> connections;
  for (int i = 0; i < 20; ++i) {
    connections.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    connections.back()->send(callOf("/plain/ok"));
  }
  std::this_thread::sleep_for(Millis(2000));
  instance.signal(SIGCONT);
  int unanswered = 0;
  for (auto& it : connections) {
    try {
      const auto status = it->read().result_int();
      BOOST_TEST((status == 200U || status == 503U), status);
    } catch (const boost::system::system_error&) {
      ++unanswered;
    }
  }
  BOOST_TEST(unanswered == 0, instance.output());
}

BOOST_AUTO_TEST_CASE(routes_reload_disturbs_nothing)
{
  RouteDeployment deployment(1, 1);
  auto stream = std::async(std::launch::async, [&] {
    CallerConnection connection(deployment.callers());
    return connection.call(callOf("/events/stream10")).body();
  });
  std::this_thread::sleep_for(Millis(100));
  deployment.instance(0).signal(SIGHUP);
  BOOST_TEST(stream.get().ends_with("id: 10\ndata: t10\n\n"));
  BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
}

// Guards against usage that is missed while the store turns one instance away and serves the
// others.
BOOST_AUTO_TEST_CASE(routes_usage_of_an_instance_turned_away_reaches_the_store)
{
  RouteDeployment deployment(1, 3);
  deployment.restartOnOtherAddress(2);
  std::this_thread::sleep_for(Millis(4500));
  deployment.store().turnAway(true);
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok"), 2) == 200U);
    std::this_thread::sleep_for(Millis(100));
  }
  BOOST_TEST(waitUntil(Millis(9000), [&] { return usageReported(deployment) >= kCalls; }));
}

// Guards against usage that is lost with an instance that ends while the store is out.
BOOST_AUTO_TEST_CASE(routes_usage_of_an_instance_that_ends_in_an_outage_is_reported)
{
  RouteDeployment deployment(1, 3);
  std::this_thread::sleep_for(Millis(4500));
  deployment.store().setDown(true);
  constexpr int kCalls = 15;
  for (int i = 0; i < kCalls; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok"), 2) == 200U);
    std::this_thread::sleep_for(Millis(50));
  }
  std::this_thread::sleep_for(Millis(1500));
  deployment.instance(2).kill();
  deployment.store().setDown(false);
  BOOST_TEST(waitUntil(Millis(9000), [&] { return usageReported(deployment) >= kCalls; }));
}

// Guards against updates that reach the store late after an outage, as windows wait for them.
BOOST_AUTO_TEST_CASE(routes_updates_reach_the_store_soon_after_an_outage)
{
  // A lost store is tried once a second.
  constexpr auto kBound = Millis(1250);
  RouteDeployment deployment(1, 1);
  std::this_thread::sleep_for(Millis(2000));
  for (const int outageMs : { 5000, 5500, 6000, 6500 }) {
    deployment.store().setDown(true);
    std::this_thread::sleep_for(Millis(outageMs));
    const auto before = deployment.store().logEnd("board");
    deployment.store().setDown(false);
    BOOST_TEST(waitUntil(kBound, [&] { return deployment.store().logEnd("board") > before; }),
               "outage of " << outageMs << " ms");
    std::this_thread::sleep_for(Millis(1000));
  }
}

// Guards against usage that is lost when all instances of a failure domain stop while the store is
// out: what they counted last reaches instances of other domains.
BOOST_AUTO_TEST_CASE(routes_usage_of_a_domain_that_stops_in_an_outage_is_reported)
{
  constexpr std::size_t kDomains = 2;
  constexpr std::size_t kInstances = 4;
  constexpr auto kPause = Millis(20);
  RouteDeployment deployment(1, kInstances, Clocks::OfTheMachine, kDomains);
  std::this_thread::sleep_for(Millis(4500));
  std::string staying;
  for (std::size_t i = 0; i < kInstances; ++i) {
    if (deployment.adminPage(i, "/status").find("lease held") != std::string::npos) {
      staying = deployment.domainOf(i);
    }
  }
  BOOST_TEST_REQUIRE(!staying.empty());
  deployment.store().setDown(true);
  std::vector<std::future<std::uint64_t>> callers;
  for (std::size_t i = 0; i < kInstances; ++i) {
    if (deployment.domainOf(i) == staying) {
      continue;
    }
    deployment.instance(i).signal(SIGTERM);
    // Until it takes no requests any more.
    callers.push_back(std::async(std::launch::async, [&, i] {
      std::uint64_t served = 0;
      while (statusOf(deployment, callOf("/plain/ok"), i) == 200U) {
        ++served;
        std::this_thread::sleep_for(kPause);
      }
      BOOST_TEST(deployment.instance(i).wait(Millis(8000)).has_value());
      return served;
    }));
  }
  std::uint64_t served = 0;
  for (auto& it : callers) {
    served += it.get();
  }
  deployment.store().setDown(false);
  BOOST_TEST(served > 0U);
  BOOST_TEST(waitUntil(Millis(9000), [&] { return usageReported(deployment) >= served; }),
             usageReported(deployment) << " of " << served);
}

// Guards against usage that is lost, reported twice with other figures, or by two holders, while
// the holder is killed and answers of the store are lost.
BOOST_AUTO_TEST_CASE(routes_usage_of_a_window_is_reported_once)
{
  RouteDeployment deployment(1, 3);
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    statusOf(deployment, callOf("/plain/ok"), static_cast<std::size_t>(i % 3));
    std::this_thread::sleep_for(Millis(100));
    if (i == 20) {
      deployment.store().loseAnswers(3);
    }
    if (i == 40) {
      std::string holder;
      for (const auto& it : deployment.store().dutyCalls()) {
        holder = it.holder;
      }
      if (!holder.empty()) {
        deployment.instance(static_cast<std::size_t>(holder.back() - '0')).kill();
        deployment.startInstance(static_cast<std::size_t>(holder.back() - '0'));
      }
    }
  }
  std::this_thread::sleep_for(Millis(9000));
  std::map<std::uint64_t, std::string> windows;
  std::uint64_t fence = 0;
  std::uint64_t reported = 0;
  for (const auto& it : deployment.store().dutyCalls()) {
    if (it.path != "/usage") {
      continue;
    }
    BOOST_TEST(it.fence >= fence);
    fence = it.fence;
    const auto window = it.body.at("windowId").get<std::uint64_t>();
    const auto counts = it.body.at("counts").dump();
    const auto [known, isNew] = windows.emplace(window, counts);
    BOOST_TEST(known->second == counts);
    if (isNew) {
      reported += it.body.at("counts").value("one", 0);
    }
  }
  BOOST_TEST(windows.size() >= 2U);
  BOOST_TEST(reported >= 40U);
}

// Guards against a stream that a caller takes up at the service that began it after a change has
// set its weight in the route to 0.
BOOST_AUTO_TEST_CASE(routes_stream_taken_up_does_not_go_on_at_a_service_of_weight_0)
{
  RouteDeployment deployment(2, 1);
  deployment.writeServer(1, "ready", R"({"service": "other"})");
  deployment.setWeights(1, 1);
  deployment.configure();
  std::this_thread::sleep_for(Millis(1500));
  const auto reachedFirst = [&](const Call& aCall) {
    const auto arrivals = deployment.server(0).arrivals();
    return std::any_of(arrivals.begin(), arrivals.end(), [&](const auto& aArrival) {
      return aArrival.attempt == aCall.attempt;
    });
  };
  auto first = callOf("/resume/stream6");
  for (int i = 0; i < 20 && !reachedFirst(first); ++i) {
    first = callOf("/resume/stream6");
    CallerConnection(deployment.callers()).call(first);
  }
  BOOST_TEST_REQUIRE(reachedFirst(first));
  deployment.setWeights(0, 1);
  deployment.configure();
  std::this_thread::sleep_for(Millis(1500));
  const auto before = deployment.server(0).arrivals().size();
  auto second = callOf("/resume/stream6");
  second.fields = { { "Last-Event-Id", "2" }, { "Resumes", first.attempt } };
  const auto answer = CallerConnection(deployment.callers()).call(second);
  BOOST_TEST(answer.result_int() == 503U);
  BOOST_TEST(deployment.server(0).arrivals().size() == before);
}
