#include "benches.hpp"
#include "installation.hpp"
#include "support/caller.hpp"

#include <algorithm>
#include <iostream>
#include <thread>

namespace mustardplank::load {

namespace {

constexpr unsigned kServers[] = { 2, 75 };
/// Links, leases and pool owners have settled by then.
constexpr Duration kSettle = Seconds(8);
constexpr Duration kMeasured = Seconds(15);

support::Plan
planOf(unsigned aInstances, unsigned aServers)
{
  support::Plan plan = support::basicPlan();
  plan.instancesPerDomain = aInstances;
  for (unsigned i = 0; i < aServers; ++i) {
    support::BackendSpec spec;
    spec.id = "e" + std::to_string(i);
    plan.backends.push_back(spec);
  }
  return plan;
}

double
gaugeOf(const std::string& aAdmin, const std::string& aName)
{
  const auto text = support::callHttp({ aAdmin, "GET", "/metrics" }).body;
  const auto at = text.find("\nmustardplank_" + aName + " ");
  return at == std::string::npos ? 0.0 : std::stod(text.substr(text.find(' ', at)));
}

struct Sample
{
  double cpu = 0.0;
  double sent = 0.0;
};

Sample
sampleOf(Installation& aInstallation, const std::string& aId)
{
  return { cpuSeconds(aInstallation.instance(aId).id()),
           gaugeOf(aInstallation.instanceAdmin(aId), "peer_bytes_sent") };
}

void
print(const char* aMeasure, unsigned aInstances, unsigned aServers, double aValue)
{
  std::cout << aMeasure << '.' << aInstances << '.' << aServers << '=' << aValue << std::endl;
}

void
measure(unsigned aInstances, unsigned aServers)
{
  Installation installation(planOf(aInstances, aServers));
  const auto ids = installation.instances();
  std::this_thread::sleep_for(kSettle);
  std::vector<Sample> before;
  for (const auto& it : ids) {
    before.push_back(sampleOf(installation, it));
  }
  std::this_thread::sleep_for(kMeasured);
  const double seconds = toMillis(kMeasured) / 1000.0;
  double cpuSum = 0.0;
  double cpuMost = 0.0;
  double sentMost = 0.0;
  double memoryMost = 0.0;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const auto after = sampleOf(installation, ids[i]);
    const double cpu = 100.0 * (after.cpu - before[i].cpu) / seconds;
    cpuSum += cpu;
    cpuMost = std::max(cpuMost, cpu);
    sentMost = std::max(sentMost, (after.sent - before[i].sent) / seconds);
    memoryMost = std::max(memoryMost, residentMegabytes(installation.instance(ids[i]).id()));
  }
  print("cpu_percent_mean", aInstances, aServers, cpuSum / static_cast<double>(ids.size()));
  print("cpu_percent_most", aInstances, aServers, cpuMost);
  print("peer_bytes_sent_per_second_most", aInstances, aServers, sentMost);
  print("resident_mb_most", aInstances, aServers, memoryMost);
}

}

void
benchControl(const std::vector<unsigned>& aInstances)
{
  for (const unsigned instances : aInstances) {
    measure(instances, kServers[0]);
  }
  measure(aInstances.front(), kServers[1]);
}

}
