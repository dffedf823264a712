// G9, G14 and G15: failure domains and instances that leave, and configuration.

#include "proof.hpp"

#include <csignal>

namespace mustardplank::proof {

using nlohmann::json;

namespace {

Plan
domains(unsigned aDomains, unsigned aInstances)
{
  Plan result = plan(aDomains, aInstances);
  for (unsigned d = 0; d < aDomains; ++d) {
    const std::string letter(1, static_cast<char>('a' + d));
    result.backends.push_back(
      engine("e" + letter, "fd-" + letter, { "--tokens-per-second", "100" }));
  }
  return result;
}

/// An instance that a load balancer would pick now.
std::string
readyInstance(Deployment& aDeployment, unsigned aNumber)
{
  const auto ids = aDeployment.instanceIds();
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const auto& id = ids[(aNumber + i) % ids.size()];
    if (aDeployment.ready(id)) {
      return id;
    }
  }
  return ids[aNumber % ids.size()];
}

/// Whether a new caller key works at an instance.
bool
keyWorks(Deployment& aDeployment, const std::string& aInstance, const std::string& aKey)
{
  return support::callHttp({ .address = aDeployment.instance(aInstance).callers,
                             .target = "/v1/models",
                             .headers = { { "Authorization", "Bearer " + aKey } } })
           .status == 200;
}

}

// Guards against new work in a failure domain that was taken out while the log is down and one of
// the two other domains does not reach it (G9).
MECHANISM(tombstones)
BOOST_AUTO_TEST_CASE(domain_taken_out_gets_no_work)
{
  Deployment deployment(domains(3, 2));
  deployment.startInstances();
  Load load(9, [&](unsigned aNumber) {
    const char* at[] = { "a1", "b1", "c1", "a2", "c2" };
    return chatAt(deployment, at[aNumber % 5], "normal", "out", 10);
  });
  pause(Seconds(1));
  deployment.controlPlatform({ { "outage", { "log" } } });
  deployment.fault("a.>b.|b.>a.", { { "cut", "both" } });
  const auto result = deployment.ctl("a1", { "failure-domain", "take-out", "fd-b" });
  BOOST_TEST((result.exitCode == 0), result.output);
  const auto since = nowMillis() + kSeconds.count();
  pause(kSeconds + Seconds(2));
  deployment.healAll();
  deployment.controlPlatform({ { "outage", json::array() } });
  const auto back = nowMillis();
  std::size_t runs = 0;
  for (const auto& run : deployment.runs("<out")) {
    const auto start = run.at("start_ms").get<std::int64_t>();
    const bool inside = run.at("server") == "eb" && start > since && start <= back;
    BOOST_TEST(!inside, "fd-b got new work: " << run.dump());
    runs += run.at("server") == "eb" ? 1 : 0;
  }
  BOOST_TEST(runs > 0u, "fd-b had no work before");
  const auto bring = deployment.ctl("c1", { "failure-domain", "bring-back", "fd-b" });
  BOOST_TEST((bring.exitCode == 0), bring.output);
  const auto count = [&] { return deployment.ledger("eb").at("requests").size(); };
  const auto before = count();
  BOOST_TEST(waitUntil(Seconds(15), [&] { return count() > before; }), "fd-b stays without work");
  const auto wrong = wrongAnswers(load.stop());
  BOOST_TEST(wrong.empty(), joined(wrong));
}

// Guards against planned stops that cut streams off, while the log is down for a part of them
// (G14).
MECHANISM(drain)
BOOST_AUTO_TEST_CASE(planned_stop_interrupts_no_request)
{
  Deployment deployment(domains(2, 2));
  deployment.startInstances();
  Load load(10, [&](unsigned aNumber) {
    return chatAt(deployment, readyInstance(deployment, aNumber), "normal", "stop", 150);
  });
  pause(Seconds(1));
  bool outage = false;
  for (const auto& id : deployment.instanceIds()) {
    outage = !outage;
    deployment.controlPlatform({ { "outage", outage ? json{ "log" } : json::array() } });
    deployment.listInstance(id, "leaving");
    auto& process = *deployment.instance(id).process;
    process.signal(SIGTERM);
    const auto code = process.wait(Seconds(30));
    BOOST_TEST((code == 0), id << " ended with " << code.value_or(-1));
    deployment.listInstance(id, "live");
    deployment.startInstance(id);
    BOOST_REQUIRE(waitUntil(Seconds(20), [&] { return deployment.ready(id); }));
  }
  const auto answers = load.stop();
  std::vector<std::string> interrupted;
  for (const auto& it : answers) {
    // A caller that was not taken, or told so, goes elsewhere; one whose answer began gets it all.
    const bool taken = it.http.status == 200 || (it.http.status != 0 && it.runState != "not_run");
    if (taken && !it.whole()) {
      interrupted.push_back(it.describe());
    }
  }
  BOOST_TEST(interrupted.empty(), joined(interrupted) << " of " << answers.size());
  BOOST_TEST(answers.size() > 20u);
}

// Guards against accepted configuration that is not in force everywhere within seconds, or is
// forgotten by an instance that starts again while the log is down (G15).
BOOST_AUTO_TEST_CASE(accepted_configuration_holds)
{
  Deployment deployment(domains(3, 1));
  deployment.startInstances();
  deployment.fault("b1>platform", { { "cut", "both" } });
  deployment.controlPlatform({ { "lose_answers", 2 } });
  const auto result =
    deployment.ctl("a1", { "key", "create", "new-key", "--organisation", "authority", "--json" });
  BOOST_REQUIRE_MESSAGE(result.exitCode == 0, result.output);
  const auto printed = json::parse(result.output, nullptr, false);
  BOOST_REQUIRE_MESSAGE(printed.is_object() && printed.contains("key"), result.output);
  const std::string key = printed.at("key");
  const bool everywhere = waitUntil(kSeconds, [&] {
    return keyWorks(deployment, "a1", key) && keyWorks(deployment, "b1", key) &&
           keyWorks(deployment, "c1", key);
  });
  BOOST_TEST(everywhere);
  deployment.healAll();
  deployment.controlPlatform({ { "outage", { "log" } } });
  for (const char* id : { "a1", "b1", "c1" }) {
    deployment.instance(id).process->kill();
    deployment.startInstance(id);
    BOOST_REQUIRE(waitUntil(Seconds(20), [&] { return deployment.ready(id); }));
    BOOST_TEST(keyWorks(deployment, id, key), id << " forgot the key");
  }
}

// Guards against operators overwriting each other's changes (G15).
MECHANISM(expected_revisions)
BOOST_AUTO_TEST_CASE(racing_operators_do_not_overwrite)
{
  Deployment deployment(domains(3, 1));
  deployment.startInstances();
  deployment.controlPlatform({ { "delay_ms", 30 } });
  for (int round = 0; round < 5; ++round) {
    const std::string id = "org-" + std::to_string(round);
    const auto put = [&](const char* aInstance, const char* aWeight, const char* aExpected) {
      return deployment.ctl(aInstance,
                            { "organisation",
                              "put",
                              id,
                              "--weight",
                              aWeight,
                              "--class",
                              "normal",
                              "--default-class",
                              "normal",
                              "--expected-revision",
                              aExpected });
    };
    std::vector<std::future<Deployment::CtlResult>> racing;
    const char* instances[] = { "a1", "b1", "c1" };
    const char* weights[] = { "2", "3", "4" };
    for (int i = 0; i < 3; ++i) {
      racing.push_back(
        std::async(std::launch::async, [&, i] { return put(instances[i], weights[i], "0"); }));
    }
    unsigned accepted = 0;
    std::string output;
    for (auto& it : racing) {
      const auto result = it.get();
      accepted += result.exitCode == 0 ? 1 : 0;
      output += result.output;
    }
    BOOST_TEST(accepted == 1u,
               accepted << " operators were told that they created " << id << ": " << output);
  }
}

}
