// G8 and G13: cold, leaving and reclaimed backend servers, and pool owners that fail.

#include "proof.hpp"

#include <csignal>

namespace mustardplank::proof {

using nlohmann::json;

namespace {

support::BackendSpec
coldEngine(const char* aId)
{
  auto spec = engine(aId, "fd-a", { "--tokens-per-second", "50", "--cold-ms", "6000" });
  spec.coldSlots = 2;
  return spec;
}

}

// Guards against a cold engine being filled like a warm one, while the pool's owners are killed
// one after the other and engines end and come back cold without warning (G8).
MECHANISM(cold_limits)
BOOST_AUTO_TEST_CASE(cold_engine_is_not_overfilled)
{
  Plan plan = proof::plan(1, 3);
  plan.backends = { coldEngine("e1"), coldEngine("e2") };
  Deployment deployment(plan);
  deployment.startInstances();
  Load load(16, [&](unsigned) { return chatAt(deployment, "a1", "normal", "cold", 20); });
  pause(Millis(1500));
  deployment.instance("a2").process->kill();
  pause(Millis(1500));
  deployment.instance("a3").process->kill();
  pause(Seconds(3));
  for (const char* id : { "e1", "e2" }) {
    deployment.backend(id).kill();
    pause(Millis(300));
    BOOST_TEST(deployment.ledger(id == std::string("e1") ? "e2" : "e1").at("overfilled") == 0);
    deployment.restartBackend(id);
    pause(Seconds(2));
    BOOST_TEST(deployment.ledger(id).at("overfilled") == 0);
  }
  load.stop();
  for (const char* id : { "e1", "e2" }) {
    const auto ledger = deployment.ledger(id);
    BOOST_TEST(ledger.at("overfilled") == 0,
               id << " had " << ledger.at("max_concurrent_cold") << " at once while cold");
    BOOST_TEST(ledger.at("max_concurrent_cold") > 0, "no request ran while " << id << " was cold");
  }
}

// Guards against two owners that both fill a cold engine: each instance in turn, so also the
// owner, is stopped for longer than the heartbeat timeout and the slot lease, and goes on with what
// it knew (G8).
MECHANISM(epochs)
BOOST_AUTO_TEST_CASE(paused_owner_does_not_overfill)
{
  Plan plan = proof::plan(1, 3);
  auto cold = coldEngine("e1");
  cold.arguments = { "--tokens-per-second", "50", "--cold-ms", "60000" };
  plan.backends = { cold };
  Deployment deployment(plan);
  deployment.startInstances();
  const std::vector<std::string> at{ "a1", "a2", "a3" };
  Load load(12, [&](unsigned aNumber) {
    auto chat = chatAt(deployment, at[aNumber % 3], "normal", "paused", 25);
    chat.timeout = Seconds(12);
    return chat;
  });
  pause(Seconds(1));
  for (const auto& id : at) {
    deployment.instance(id).process->signal(SIGSTOP);
    pause(Millis(2500 + random()() % 1000));
    deployment.instance(id).process->signal(SIGCONT);
    pause(Millis(1500));
  }
  load.stop();
  const auto ledger = deployment.ledger("e1");
  BOOST_TEST(ledger.at("overfilled") == 0,
             "had " << ledger.at("max_concurrent_cold") << " at once while cold");
  BOOST_TEST(ledger.at("outcomes").value("finished", 0) > 0);
}

// Guards against work for an engine that an operator drains, and for cheap engines that the
// platform is about to take away, while load reports lag (G13).
BOOST_AUTO_TEST_CASE(leaving_engines_get_no_work)
{
  Plan plan = proof::plan(2, 2);
  for (const char* id : { "e1", "e2", "e3", "e4" }) {
    auto spec = engine(id, id[1] < '3' ? "fd-a" : "fd-b", { "--load-lag-ms", "1000" });
    spec.kind = id[1] % 2 == 0 ? config::ServerKind::Cheap : config::ServerKind::Regular;
    plan.backends.push_back(spec);
  }
  Deployment deployment(plan);
  deployment.startInstances();
  // More than the eight slots of one engine in each failure domain, so that all are used.
  Load load(24, [&](unsigned aNumber) {
    return chatAt(deployment, aNumber % 2 == 0 ? "a1" : "b1", "normal", "leaving", 20);
  });
  const bool allUsed = waitUntil(Seconds(10), [&] {
    return deployment.ledger("e2").at("requests").size() > 2 &&
           deployment.ledger("e3").at("requests").size() > 2 &&
           deployment.ledger("e4").at("requests").size() > 2;
  });
  BOOST_TEST(allUsed);
  deployment.controlPlatform(
    { { "reclaim", { { "failure_domain", "fd-a" }, { "in_ms", 20'000 } } } });
  const auto result = deployment.ctl("a1", { "server", "drain", "e3" });
  BOOST_TEST((result.exitCode == 0), result.output);
  const auto since = nowMillis() + kSeconds.count();
  pause(kSeconds + Seconds(2));
  const auto lost = notWhole(load.stop());
  BOOST_TEST(lost.empty(), joined(lost));
  for (const auto& run : takenRuns(deployment, "<leaving")) {
    const std::string server = run.at("server");
    if (server == "e2" || server == "e3") {
      BOOST_TEST(run.at("start_ms").get<std::int64_t>() <= since, server << " got new work");
      // Leaving interrupts nothing that the notice leaves time for.
      BOOST_TEST(run.at("outcome") == "finished", run.dump());
    }
  }
}

}
