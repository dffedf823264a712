#include "benches.hpp"
#include "installation.hpp"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

namespace mustardplank::load {

namespace {

// Scaled down from section 1.6 so that all runs take minutes: one failure domain, times in seconds.
constexpr unsigned kInstances = 2;
constexpr unsigned kEngines = 3;
constexpr unsigned kSlots = 8;
constexpr double kTokensPerSecond = 50;
constexpr double kCapacity = kEngines * kSlots * kTokensPerSecond;
constexpr double kRunSeconds = 8;
constexpr double kBurstFrom = 1.5;
constexpr double kBurstTo = 6.5;
constexpr auto kFaultAt = Millis(3000);

struct Work
{
  const char* requestClass;
  /// Part of the capacity that it takes when calm.
  double share;
  unsigned tokens;
  double burstFactor;
};

struct Kind
{
  const char* name;
  std::vector<Work> works;
};

/// In a burst the demand is twice the capacity; the top tier's part fits.
const std::vector<Kind>&
kinds()
{
  static const std::vector<Kind> kKinds = {
    { "authority",
      { { "urgent", 0.30, 24, 1 }, { "normal", 0.20, 64, 8 }, { "batch", 0.10, 160, 1 } } },
    { "bramwell",
      { { "urgent", 0.15, 16, 1 }, { "normal", 0.40, 160, 4.5 }, { "batch", 0.05, 160, 1 } } },
  };
  return kKinds;
}

const std::vector<std::string> kOrganisations = { "authority", "bramwell", "ferry" };

double
targetMillis(const std::string& aClass)
{
  return aClass == "urgent" ? 790 : aClass == "normal" ? 2000 : 8000;
}

support::Plan
planOf(const std::string& aPolicy)
{
  support::Plan plan = support::basicPlan();
  plan.instancesPerDomain = kInstances;
  plan.settings["policy"] = aPolicy;
  for (auto& it : plan.classes) {
    it.firstTokenTarget = Millis(static_cast<std::int64_t>(targetMillis(it.id.str())));
  }
  auto ferry = plan.organisations.front();
  ferry.id = OrganisationId("ferry");
  plan.organisations.push_back(ferry);
  plan.keys["key-ferry"] = "ferry";
  for (unsigned i = 0; i < kEngines; ++i) {
    support::BackendSpec spec;
    spec.id = "e" + std::to_string(i);
    spec.slots = kSlots;
    spec.arguments = { "--tokens-per-second", "50", "--load-lag-ms", "300", "--queue", "100" };
    plan.backends.push_back(spec);
  }
  return plan;
}

std::vector<std::string>
loadOf(const Installation& aInstallation, const Kind& aKind, bool aBurst, unsigned aSeed)
{
  std::vector<std::string> arguments;
  for (const auto& it : aInstallation.callers()) {
    arguments.insert(arguments.end(), { "--target", it });
  }
  for (const auto& work : aKind.works) {
    for (const auto& organisation : kOrganisations) {
      std::ostringstream flow;
      flow << "org=" << organisation << ",key=key-" << organisation
           << ",class=" << work.requestClass << ",tokens=" << work.tokens
           << ",target_ms=" << targetMillis(work.requestClass) << ",rate="
           << work.share * kCapacity / work.tokens / static_cast<double>(kOrganisations.size());
      if (aBurst) {
        flow << ",burst=" << work.burstFactor << ",burst_from=" << kBurstFrom
             << ",burst_to=" << kBurstTo;
      }
      arguments.insert(arguments.end(), { "--flow", flow.str() });
    }
  }
  std::ostringstream seconds;
  seconds << kRunSeconds;
  arguments.insert(arguments.end(), { "--seconds", seconds.str(), "--wait-seconds", "8" });
  arguments.insert(arguments.end(), { "--seed", std::to_string(aSeed) });
  return arguments;
}

double
tokensOf(const Installation& aInstallation, const std::string& aEngine)
{
  return aInstallation.ledger(aEngine).at("tokens_sent").get<double>();
}

double
attained(const Values& aValues, const std::string& aName)
{
  const double requests = aValues.at(aName + ".requests");
  return requests > 0 ? aValues.at(aName + ".attained") / requests : 1;
}

Values
measuresOf(const Kind& aKind, const Values& aLoad, double aEngineTokens)
{
  Values result;
  double demand = 0;
  double worst = 1;
  unsigned zero = 0;
  for (const auto& work : aKind.works) {
    double requests = 0;
    double good = 0;
    double ok = 0;
    double sum = 0;
    double lowest = 1;
    for (const auto& organisation : kOrganisations) {
      const std::string name = organisation + "." + work.requestClass;
      requests += aLoad.at(name + ".requests");
      good += aLoad.at(name + ".attained");
      ok += aLoad.at(name + ".ok");
      sum += attained(aLoad, name);
      lowest = std::min(lowest, attained(aLoad, name));
    }
    demand += requests * work.tokens;
    const double mean = sum / static_cast<double>(kOrganisations.size());
    worst = std::min(worst, mean > 0 ? lowest / mean : 0);
    zero += requests > 0 && ok == 0 ? 1 : 0;
    result["attainment_" + std::string(work.requestClass)] = requests > 0 ? good / requests : 1;
  }
  const double goodTokens = aLoad.at("good_tokens");
  result["goodput"] = goodTokens / std::min(demand, kCapacity * kRunSeconds);
  const double whole = aLoad.at("whole_tokens");
  result["wasted_work"] =
    aEngineTokens > 0 ? std::max(0.0, aEngineTokens - whole) / aEngineTokens : 0;
  for (const char* code : { "overloaded", "deadline_unreachable", "no_backend_server" }) {
    const auto it = aLoad.find(std::string("refused.") + code);
    result[std::string("refused_") + code] = it == aLoad.end() ? 0 : it->second;
  }
  result["worst_organisation"] = worst;
  result["classes_at_zero"] = zero;
  result["broken_or_wrong"] = aLoad.at("broken") + aLoad.at("wrong");
  return result;
}

/// One engine crashes, and at the same time another one becomes cold. Returns the tokens of the
/// crashed one, whose ledger is gone then.
double
injectFaults(Installation& aInstallation)
{
  std::this_thread::sleep_for(kFaultAt);
  const double tokens = tokensOf(aInstallation, "e0");
  aInstallation.engine("e0").kill();
  aInstallation.control("e1", { { "cold", 1500 } });
  return tokens;
}

/// Taken before a run, as the ledgers include the warm-up.
std::map<std::string, double>
tokensOfAll(const Installation& aInstallation)
{
  std::map<std::string, double> tokens;
  for (unsigned i = 0; i < kEngines; ++i) {
    const std::string id = "e" + std::to_string(i);
    tokens[id] = tokensOf(aInstallation, id);
  }
  return tokens;
}

/// New engines count as cold until their owner has seen them work; the runs start after that.
void
warmUp(const Installation& aInstallation)
{
  std::vector<std::string> arguments;
  for (const auto& it : aInstallation.callers()) {
    arguments.insert(arguments.end(), { "--target", it });
  }
  const std::string flow = "org=authority,key=key-authority,class=batch,tokens=16,streams=" +
                           std::to_string(kEngines * kSlots);
  arguments.insert(arguments.end(), { "--flow", flow, "--seconds", "4" });
  runLoad(arguments, Seconds(30));
}

Values
runOnce(const Kind& aKind, const std::string& aLoad, const std::string& aPolicy, unsigned aSeed)
{
  Installation installation(planOf(aPolicy));
  warmUp(installation);
  double tokens = 0;
  for (const auto& [id, count] : tokensOfAll(installation)) {
    tokens -= count;
  }
  const auto arguments = loadOf(installation, aKind, aLoad != "calm", aSeed);
  auto load = std::async(std::launch::async, [&] { return runLoad(arguments, Seconds(60)); });
  if (aLoad == "two_faults") {
    tokens += injectFaults(installation);
  }
  const Values values = load.get();
  for (unsigned i = aLoad == "two_faults" ? 1 : 0; i < kEngines; ++i) {
    tokens += tokensOf(installation, "e" + std::to_string(i));
  }
  return measuresOf(aKind, values, tokens);
}

double
median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

}

void
benchPolicy(unsigned aSeeds)
{
  for (const auto& kind : kinds()) {
    for (const std::string load : { "calm", "burst", "two_faults" }) {
      for (const std::string policy : { "owner", "two_choices", "least_load" }) {
        std::map<std::string, std::vector<double>> measures;
        for (unsigned seed = 1; seed <= aSeeds; ++seed) {
          for (const auto& [name, value] : runOnce(kind, load, policy, seed)) {
            measures[name].push_back(value);
          }
        }
        for (const auto& [name, values] : measures) {
          std::cout << kind.name << '.' << load << '.' << policy << '.' << name << '='
                    << median(values) << std::endl;
        }
      }
    }
  }
}

}
