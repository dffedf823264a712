// G6 and G7: orders and usage reports come from one process at a time.

#include "proof.hpp"

#include <csignal>
#include <map>
#include <set>

namespace mustardplank::proof {

using nlohmann::json;

namespace {

/// Instance that wrote the newest claim or renewal of a duty.
std::string
holderOf(Deployment& aDeployment, const std::string& aDuty)
{
  std::string holder;
  for (const auto& entry : aDeployment.logRecords()) {
    const auto& record = entry.at("record");
    const std::string kind = record.value("kind", "");
    if ((kind == "lease.claim" || kind == "lease.renew") && record.value("duty", "") == aDuty) {
      holder = record.value("instance", "");
    }
  }
  return holder;
}

/// Orders or reports that came from another instance than the one whose claim is the fencing token,
/// or after one with a newer fencing token.
std::vector<std::string>
wrongFences(Deployment& aDeployment, const json& aEntries)
{
  std::map<std::uint64_t, std::string> claimants;
  for (const auto& entry : aDeployment.logRecords()) {
    if (entry.at("record").value("kind", "") == "lease.claim") {
      claimants[entry.at("offset")] = entry.at("record").value("instance", "");
    }
  }
  std::vector<std::string> wrong;
  std::map<std::string, std::uint64_t> newest;
  for (const auto& it : aEntries) {
    // Window ids start with the failure domain.
    const std::string window = it.value("window_id", "");
    auto& fence = newest[it.value("failure_domain", "") + window.substr(0, window.find('/'))];
    const auto own = it.value("fence", std::uint64_t{ 0 });
    if (own < fence || claimants[own] != it.at("instance")) {
      wrong.push_back(it.dump());
    }
    fence = std::max(fence, own);
  }
  return wrong;
}

}

// Guards against two processes that order backend servers: the holder of the duty is stopped for
// longer than its lease and goes on, while appends and orders lose their answers (G6).
MECHANISM(leases)
BOOST_AUTO_TEST_CASE(orders_come_from_one_holder)
{
  Plan plan = proof::plan(1, 3);
  plan.settings["order_servers"] = true;
  auto first = engine("e1", "fd-a", { "--tokens-per-second", "50" });
  first.slots = 2;
  plan.backends.push_back(first);
  for (int i = 2; i <= 7; ++i) {
    auto spare = engine("e" + std::to_string(i), "fd-a", { "--tokens-per-second", "50" });
    spare.slots = 2;
    spare.configured = false;
    plan.backends.push_back(spare);
  }
  Deployment deployment(plan);
  deployment.startInstances();
  Load load(16, [&](unsigned aNumber) {
    return chatAt(deployment, aNumber % 2 == 0 ? "a1" : "a2", "batch", "orders", 50);
  });
  const auto orderCount = [&] { return deployment.platformLedger().at("orders").size(); };
  BOOST_TEST(waitUntil(Seconds(20), [&] { return orderCount() > 0; }), "no order came");
  deployment.controlPlatform({ { "lose_answers", 3 } });
  const auto paused = holderOf(deployment, "order_servers");
  const auto stopped = deployment.instance(paused.empty() ? "a3" : paused).process.get();
  stopped->signal(SIGSTOP);
  const auto before = orderCount();
  waitUntil(Seconds(16), [&] { return orderCount() > before; });
  pause(Seconds(11));
  stopped->signal(SIGCONT);
  pause(Seconds(5));
  load.stop();
  const auto ledger = deployment.platformLedger();
  const auto stale = wrongFences(deployment, ledger.at("orders"));
  BOOST_TEST(stale.empty(), joined(stale));
  // Every order was in the log before it was given, and took effect once.
  std::set<std::string> intents;
  for (const auto& entry : deployment.logRecords()) {
    if (entry.at("record").value("kind", "") == "order.intent") {
      intents.insert(entry.at("record").value("operation", ""));
    }
  }
  for (const auto& order : ledger.at("orders")) {
    BOOST_TEST(intents.contains(order.value("operation_id", "")), order.dump());
  }
}

// Guards against a usage window reported twice with different figures, reports from a holder whose
// lease has gone, and requests billed twice or not at all; with lost answers and a killed instance
// (G7).
MECHANISM(leases)
BOOST_AUTO_TEST_CASE(usage_windows_are_reported_once)
{
  Plan plan = proof::plan(1, 3);
  plan.settings["usage_window_ms"] = 2000;
  plan.backends = { engine("e1", "fd-a", { "--tokens-per-second", "100" }) };
  Deployment deployment(plan);
  deployment.startInstances();
  Load load(6, [&](unsigned aNumber) {
    auto chat = chatAt(deployment, "a" + std::to_string(1 + aNumber % 2), "normal", "usage", 10);
    chat.key = aNumber % 3 == 0 ? "key-bramwell" : "key-authority";
    return chat;
  });
  const auto reports = [&] { return deployment.platformLedger().at("reports"); };
  BOOST_TEST(waitUntil(Seconds(20), [&] { return !reports().empty(); }), "no report came");
  deployment.controlPlatform({ { "lose_answers", 4 } });
  const auto holder = holderOf(deployment, "close_usage");
  auto& stopped = *deployment.instance(holder.empty() ? "a3" : holder).process;
  load.stop();
  stopped.signal(SIGSTOP);
  Load later(4, [&](unsigned) {
    auto chat = chatAt(deployment, holder == "a1" ? "a2" : "a1", "normal", "usage", 10);
    return chat;
  });
  pause(Seconds(14));
  const auto second = later.stop();
  stopped.signal(SIGCONT);
  std::map<std::string, unsigned> answered;
  for (const auto& answers : { load.stop(), second }) {
    for (const auto& it : answers) {
      answered[it.chat.key] += it.whole() ? 1 : 0;
    }
  }
  const auto billed = [&](const char* aOrganisation) {
    std::map<std::string, unsigned> windows;
    for (const auto& report : reports()) {
      for (const auto& line : report.at("organisations")) {
        if (line.at("organisation") == aOrganisation) {
          windows[report.at("window_id")] = line.at("requests");
        }
      }
    }
    unsigned sum = 0;
    for (const auto& [window, requests] : windows) {
      sum += requests;
    }
    return sum;
  };
  const bool all = waitUntil(Seconds(20), [&] {
    return billed("authority") == answered["key-authority"] &&
           billed("bramwell") == answered["key-bramwell"];
  });
  BOOST_TEST(all,
             "billed " << billed("authority") << " and " << billed("bramwell") << " of "
                       << answered["key-authority"] << " and " << answered["key-bramwell"]);
  const auto stale = wrongFences(deployment, reports());
  BOOST_TEST(stale.empty(), joined(stale));
  std::map<std::string, json> figures;
  for (const auto& report : reports()) {
    const std::string window = report.at("window_id");
    const auto [it, fresh] = figures.emplace(window, report.at("organisations"));
    BOOST_TEST(it->second == report.at("organisations"), window << " has two figures");
  }
}

}
