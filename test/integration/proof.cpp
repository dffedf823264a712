#include "proof.hpp"

#include "standins/common/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mustardplank::proof {

using nlohmann::json;

std::mt19937&
random()
{
  static std::mt19937 generator = [] {
    const char* given = std::getenv("MUSTARDPLANK_SEED");
    const auto seed = given != nullptr ? std::strtoul(given, nullptr, 10) : std::random_device{}();
    std::cout << "MUSTARDPLANK_SEED=" << seed << std::endl;
    return std::mt19937(static_cast<std::uint32_t>(seed));
  }();
  return generator;
}

Plan
plan(unsigned aFailureDomains, unsigned aInstancesPerDomain)
{
  random();
  Plan plan = support::basicPlan();
  plan.failureDomains = aFailureDomains;
  plan.instancesPerDomain = aInstancesPerDomain;
  if (const char* off = std::getenv("MUSTARDPLANK_OFF"); off != nullptr) {
    plan.settings["mechanisms"][off] = false;
  }
  return plan;
}

Deployment::~Deployment()
{
  for (const auto& id : instanceIds()) {
    const auto& process = instance(id).process;
    const auto code = process ? process->wait(Duration::zero()) : std::nullopt;
    const bool crashed = code == 128 + SIGABRT || code == 128 + SIGSEGV || code == 128 + SIGBUS;
    BOOST_TEST(
      !crashed,
      id << " crashed: "
         << process->errors().substr(process->errors().size() -
                                     std::min<std::size_t>(300, process->errors().size())));
  }
}

config::RequestClass&
classOf(Plan& aPlan, const std::string& aId)
{
  for (auto& it : aPlan.classes) {
    if (it.id.str() == aId) {
      return it;
    }
  }
  throw std::out_of_range("no class " + aId);
}

std::string
uniquePrompt(const std::string& aMark, unsigned aOutputTokens)
{
  static std::atomic<unsigned> number{ 0 };
  return "OUTPUT-TOKENS=" + std::to_string(aOutputTokens) + " <" + aMark + "-" +
         std::to_string(++number) + ">";
}

std::string
markOf(const std::string& aPrompt)
{
  return aPrompt.substr(aPrompt.rfind('<'));
}

Chat
chatAt(Deployment& aDeployment,
       const std::string& aInstance,
       const std::string& aClass,
       const std::string& aMark,
       unsigned aOutputTokens)
{
  Chat chat;
  chat.address = aDeployment.instance(aInstance).callers;
  chat.key = "key-authority";
  chat.requestClass = aClass;
  chat.prompt = uniquePrompt(aMark, aOutputTokens);
  return chat;
}

ChatAnswer
callPermits(Deployment& aDeployment,
            const std::string& aInstance,
            const std::string& aBody,
            const std::string& aIdempotencyKey,
            unsigned aDelayMillis,
            Duration aTimeout)
{
  support::HttpCall call;
  call.address = aDeployment.instance(aInstance).callers;
  call.method = "POST";
  call.target = "/v1/services/permits/issue?delay_ms=" + std::to_string(aDelayMillis);
  call.headers = { { "Authorization", "Bearer key-authority" }, { "X-Request-Class", "permit" } };
  if (!aIdempotencyKey.empty()) {
    call.headers["Idempotency-Key"] = aIdempotencyKey;
  }
  call.body = aBody;
  call.timeout = aTimeout;
  ChatAnswer answer;
  answer.chat.prompt = aBody;
  answer.http = support::callHttp(call);
  const json body = json::parse(answer.http.body, nullptr, false);
  if (body.is_object() && body.contains("error")) {
    answer.errorCode = body["error"].value("code", "");
    answer.runState = body["error"].value("run_state", "");
  }
  answer.done = answer.http.status == 200 && answer.http.complete;
  return answer;
}

void
waitForPermits(Deployment& aDeployment)
{
  for (const auto& id : aDeployment.instanceIds()) {
    ChatAnswer answer;
    const bool served = waitUntil(Seconds(10), [&] {
      answer = callPermits(aDeployment, id, "<probe>", "");
      return answer.done;
    });
    BOOST_REQUIRE_MESSAGE(served, id << ": " << answer.describe());
  }
}

std::vector<json>
takenRuns(Deployment& aDeployment, const std::string& aMark)
{
  auto runs = aDeployment.runs(aMark);
  std::erase_if(runs, [](const json& aRun) { return aRun.at("outcome") == "refused"; });
  return runs;
}

std::vector<std::string>
wrongAnswers(const std::vector<ChatAnswer>& aAnswers)
{
  std::vector<std::string> wrong;
  for (const auto& it : aAnswers) {
    const bool claimsWhole = it.http.status == 200 && it.http.complete && it.errorCode.empty();
    if (claimsWhole && !it.whole()) {
      wrong.push_back(it.describe());
    }
  }
  return wrong;
}

std::vector<std::string>
notWhole(const std::vector<ChatAnswer>& aAnswers)
{
  std::vector<std::string> lines;
  for (const auto& it : aAnswers) {
    if (!it.whole()) {
      lines.push_back(it.describe());
    }
  }
  return lines;
}

std::string
joined(const std::vector<std::string>& aLines)
{
  constexpr std::size_t kShown = 5;
  std::string text = std::to_string(aLines.size()) + " lines";
  for (std::size_t i = 0; i < aLines.size() && i < kShown; ++i) {
    text += "\n  " + aLines[i];
  }
  return text;
}

std::int64_t
nowMillis()
{
  return standins::ledgerMillis();
}

void
pause(Duration aDuration)
{
  std::this_thread::sleep_for(aDuration);
}

}
