// Runs a small installation on this machine and prints what happens; started by scripts/demo.sh.

#include "standins/common/http_server.hpp"
#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>

using namespace mustardplank;
using namespace mustardplank::support;
using nlohmann::json;

namespace {

Plan
demoPlan()
{
  Plan plan = basicPlan();
  plan.failureDomains = 3;
  plan.instancesPerDomain = 2;
  for (const char* letter : { "a", "b", "c" }) {
    const std::string domain = std::string("fd-") + letter;
    plan.backends.push_back(engine(std::string("engine-") + letter, domain));
    plan.backends.push_back(service(std::string("permits-") + letter, domain));
  }
  return plan;
}

Chat
chat(Deployment& aDeployment,
     const std::string& aInstance,
     const std::string& aKey,
     const std::string& aClass,
     const std::string& aText)
{
  static unsigned number = 0;
  Chat result;
  result.address = aDeployment.instance(aInstance).callers;
  result.key = aKey;
  result.requestClass = aClass;
  result.prompt = aText + " OUTPUT-TOKENS=20 <demo-" + std::to_string(++number) + ">";
  return result;
}

std::string
enginesOf(Deployment& aDeployment, const std::string& aMark)
{
  std::string engines;
  for (const auto& run : aDeployment.runs(aMark)) {
    engines += (engines.empty() ? "" : ",") + run.value("server", "");
  }
  return engines.empty() ? "none" : engines;
}

void
show(Deployment& aDeployment, const std::string& aInstance, const ChatAnswer& aAnswer)
{
  const std::string mark = aAnswer.chat.prompt.substr(aAnswer.chat.prompt.rfind('<'));
  std::printf(
    "  at %s class %-6s -> %u %s, first token after %lld ms, whole answer: %s, ran on %s\n",
    aInstance.c_str(),
    aAnswer.chat.requestClass.c_str(),
    aAnswer.http.status,
    aAnswer.errorCode.empty() ? "ok" : aAnswer.errorCode.c_str(),
    static_cast<long long>(aAnswer.firstMillis()),
    aAnswer.whole() ? "yes" : "no",
    enginesOf(aDeployment, mark).c_str());
}

void
showRequests(Deployment& aDeployment)
{
  std::puts("\nRequests of two classes through two instances:");
  for (const char* at : { "a1", "b2" }) {
    for (const char* requestClass : { "urgent", "batch" }) {
      show(aDeployment,
           at,
           ask(chat(aDeployment, at, "key-authority", requestClass, "May lorry 7 cross?")));
    }
  }
}

HttpAnswer
issuePermit(Deployment& aDeployment, const std::string& aInstance)
{
  HttpCall call;
  call.address = aDeployment.instance(aInstance).callers;
  call.method = "POST";
  call.target = "/v1/services/permits/issue";
  call.headers = { { "Authorization", "Bearer key-authority" },
                   { "X-Request-Class", "permit" },
                   { "Idempotency-Key", "permit-7" } };
  call.body = "permit for lorry 7";
  return callHttp(call);
}

void
showPermit(Deployment& aDeployment)
{
  std::puts("\nThe same permit asked for twice, with one idempotency key, at a1 and at c1:");
  const auto first = issuePermit(aDeployment, "a1");
  const auto second = issuePermit(aDeployment, "c1");
  std::printf("  answers %u and %u, equal: %s; the permit services were called %zu time(s)\n",
              first.status,
              second.status,
              first.body == second.body ? "yes" : "no",
              aDeployment.calls("permit for lorry 7").size());
}

void
showWithdrawal(Deployment& aDeployment)
{
  std::puts("\nWithdraw bramwell's key at a1 (mustardplankctl key withdraw):");
  const auto start = standins::ledgerMillis();
  const auto result = aDeployment.ctl("a1", { "key", "withdraw", "key-bramwell-id" });
  std::printf("  exit status %d\n", result.exitCode.value_or(-1));
  for (const auto& id : aDeployment.instanceIds()) {
    ChatAnswer answer;
    const bool refused = waitUntil(Seconds(5), [&] {
      answer = ask(chat(aDeployment, id, "key-bramwell", "normal", "Assay lot 3"));
      return answer.errorCode == "key_withdrawn";
    });
    std::printf("  %s %s %lld ms after the command started\n",
                id.c_str(),
                refused ? "refuses the key" : "STILL TAKES THE KEY",
                static_cast<long long>(standins::ledgerMillis() - start));
  }
}

void
showTakeOut(Deployment& aDeployment)
{
  std::puts("\nTake out failure domain fd-b (mustardplankctl failure-domain take-out fd-b):");
  const auto result = aDeployment.ctl("a1", { "failure-domain", "take-out", "fd-b" });
  std::printf("  exit status %d\n", result.exitCode.value_or(-1));
  const auto start = standins::ledgerMillis();
  const bool left = waitUntil(Seconds(5), [&] {
    const auto answer = ask(chat(aDeployment, "b1", "key-authority", "normal", "Where?"));
    return enginesOf(aDeployment, answer.chat.prompt.substr(answer.chat.prompt.rfind('<'))) !=
           "engine-b";
  });
  std::printf("  engine-b %s within %lld ms\n",
              left ? "gets no more work" : "STILL GETS WORK",
              static_cast<long long>(standins::ledgerMillis() - start));
  for (const char* at : { "a1", "b1", "c1" }) {
    show(aDeployment, at, ask(chat(aDeployment, at, "key-authority", "normal", "Where?")));
  }
}

void
showStatus(Deployment& aDeployment)
{
  std::puts("\nmustardplankctl status, at c1:");
  std::cout << aDeployment.ctl("c1", { "status" }).output << std::flush;
}

void
stopInstances(Deployment& aDeployment)
{
  std::puts("\nStop all instances (SIGTERM to the process ids started here):");
  for (const auto& id : aDeployment.instanceIds()) {
    aDeployment.instance(id).process->signal(SIGTERM);
  }
  for (const auto& id : aDeployment.instanceIds()) {
    const auto code = aDeployment.instance(id).process->wait(Seconds(20));
    std::printf("  %s exit status %d\n", id.c_str(), code.value_or(-1));
  }
}

}

int
main()
{
  try {
    std::puts("Starting a platform, three failure domains with two instances, one engine and one "
              "permit service each.");
    Deployment deployment(demoPlan());
    deployment.startInstances();
    showRequests(deployment);
    showPermit(deployment);
    showWithdrawal(deployment);
    showTakeOut(deployment);
    showStatus(deployment);
    stopInstances(deployment);
    return 0;
  } catch (const std::exception& aError) {
    std::cerr << "demo: " << aError.what() << '\n';
    return 1;
  }
}
