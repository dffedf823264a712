// G10, G11, G12 and requests that crash backend servers.

#include "proof.hpp"

#include <csignal>

namespace mustardplank::proof {

using nlohmann::json;

namespace {

Plan
threeEngines()
{
  Plan result = plan(1, 2);
  for (const char* id : { "e1", "e2", "e3" }) {
    result.backends.push_back(engine(id, "fd-a", { "--tokens-per-second", "100" }));
  }
  return result;
}

}

// Guards against answers cut short, mixed up or started again from the beginning when engines
// break connections, end, and answer late, all at once (G10).
MECHANISM(resume)
BOOST_AUTO_TEST_CASE(whole_answers_from_failing_engines)
{
  Deployment deployment(threeEngines());
  deployment.startInstances();
  Load load(12, [&](unsigned aNumber) {
    auto chat = chatAt(deployment, aNumber % 2 == 0 ? "a1" : "a2", "normal", "whole", 60);
    chat.stream = aNumber % 5 != 0;
    return chat;
  });
  pause(Millis(500));
  deployment.fault(">e2", { { "delay_ms", 60 } });
  for (int round = 0; round < 3; ++round) {
    deployment.controlBackend("e1", { { "break_after", 1 + random()() % 40 } });
    pause(Millis(400));
    deployment.fault(">e2", { { "drop", true } });
    pause(Millis(400));
  }
  deployment.backend("e3").kill();
  pause(Millis(800));
  deployment.restartBackend("e3");
  pause(Millis(800));
  const auto answers = load.stop();
  const auto wrong = wrongAnswers(answers);
  BOOST_TEST(wrong.empty(), joined(wrong));
  // Two engines with 16 slots were up all the time, so nothing had to be given up.
  const auto lost = notWhole(answers);
  BOOST_TEST(lost.empty(), joined(lost) << " of " << answers.size());
  BOOST_TEST(answers.size() >= 24u);
  for (const char* id : { "e1", "e2", "e3" }) {
    BOOST_TEST(deployment.ledger(id).at("bad_resumes") == 0);
  }
}

// Guards against garbage from an engine being passed on as an answer (G10).
BOOST_AUTO_TEST_CASE(garbage_is_not_an_answer)
{
  Deployment deployment(threeEngines());
  deployment.startInstances();
  std::vector<ChatAnswer> answers;
  for (int i = 0; i < 9; ++i) {
    deployment.controlBackend("e" + std::to_string(1 + i % 3), { { "garbage", true } });
    answers.push_back(ask(chatAt(deployment, "a1", "normal", "garbage", 10)));
  }
  const auto wrong = wrongAnswers(answers);
  BOOST_TEST(wrong.empty(), joined(wrong));
}

// Guards against "not_run" for a request that an engine took, under overload while engines end and
// the pool owner may be the instance that is killed (G11).
BOOST_AUTO_TEST_CASE(not_run_is_true)
{
  Plan plan = threeEngines();
  plan.instancesPerDomain = 3;
  plan.backends.push_back(service("s1", "fd-a"));
  classOf(plan, "normal").firstTokenTarget = Millis(800);
  Deployment deployment(plan);
  deployment.startInstances();
  Load load(60, [&](unsigned) { return chatAt(deployment, "a1", "normal", "notrun", 40); });
  pause(Seconds(1));
  deployment.backend("e1").kill();
  pause(Millis(300));
  deployment.instance(random()() % 2 == 0 ? "a2" : "a3").process->kill();
  pause(Millis(700));
  deployment.controlPlatform({ { "outage", { "log" } } });
  pause(Millis(300));
  const auto permit = callPermits(deployment, "a1", "<permit-in-outage>", "key-in-outage");
  deployment.restartBackend("e1");
  pause(Seconds(1));
  const auto answers = load.stop();
  std::vector<std::string> untrue;
  unsigned refused = 0;
  for (const auto& it : answers) {
    if (it.runState != "not_run") {
      continue;
    }
    ++refused;
    if (!takenRuns(deployment, markOf(it.chat.prompt)).empty()) {
      untrue.push_back(it.describe());
    }
  }
  BOOST_TEST(untrue.empty(), joined(untrue));
  BOOST_TEST(refused > 0u, "the overload led to no refusal, so nothing was tested");
  BOOST_TEST(permit.errorCode == "log_unavailable");
  BOOST_TEST(permit.runState == "not_run");
  BOOST_TEST(deployment.calls("<permit-in-outage>").empty());
  const auto wrong = wrongAnswers(answers);
  BOOST_TEST(wrong.empty(), joined(wrong));
}

// Guards against a permit issued twice: the instance that runs the call is killed, the caller
// resends it with the same idempotency key at two others at once, and appends lose their answers
// (G12).
MECHANISM(intents)
BOOST_AUTO_TEST_CASE(permit_is_issued_at_most_once)
{
  Plan plan = proof::plan(1, 3);
  plan.backends = { service("s1", "fd-a"), service("s2", "fd-a") };
  Deployment deployment(plan);
  deployment.startInstances();
  waitForPermits(deployment);
  constexpr unsigned kRounds = 6;
  constexpr Duration kPatience = Seconds(3);
  const auto bodyOf = [](unsigned aRound) { return "<permit-" + std::to_string(aRound) + ">"; };
  const auto keyOf = [](unsigned aRound) { return "idem-" + std::to_string(aRound); };
  for (unsigned round = 0; round < kRounds; ++round) {
    const std::string body = bodyOf(round);
    const auto call = [&](const std::string& aInstance) {
      return callPermits(deployment, aInstance, body, keyOf(round), 400, kPatience);
    };
    const std::string victim = "a" + std::to_string(1 + round % 3);
    const std::string second = "a" + std::to_string(1 + (round + 1) % 3);
    const std::string third = "a" + std::to_string(1 + (round + 2) % 3);
    if (round % 2 == 1) {
      deployment.controlPlatform({ { "lose_answers", 1 } });
    }
    auto first = std::async(std::launch::async, [&] { return call(victim); });
    pause(Millis(random()() % 300));
    const bool kill = round % 3 != 2;
    if (kill) {
      deployment.instance(victim).process->kill();
    }
    auto again = std::async(std::launch::async, [&] { return call(second); });
    const auto other = call(third);
    const auto repeat = again.get();
    first.get();
    const auto calls = deployment.calls(body);
    BOOST_TEST(calls.size() <= 1u, body << " ran " << calls.size() << " times");
    // Whoever got an answer got the answer of the one run.
    if (other.done && repeat.done) {
      BOOST_TEST(other.http.body == repeat.http.body);
    }
    if (other.errorCode == "outcome_unknown") {
      BOOST_TEST(other.runState != "not_run", other.describe());
    }
    const auto conflict =
      callPermits(deployment, third, body + " changed", keyOf(round), 0, kPatience);
    BOOST_TEST(!conflict.done, "another body under the same idempotency key was answered");
    BOOST_TEST(deployment.calls(body + " changed").empty());
    if (kill) {
      deployment.startInstance(victim);
      BOOST_REQUIRE(waitUntil(Seconds(20), [&] { return deployment.ready(victim); }));
    }
  }
  // Every caller that keeps asking is told something in the end: the outcome, or that it is not
  // known (60 s after the last sign of the run, by the at-most-once module).
  for (unsigned round = 0; round < kRounds; ++round) {
    ChatAnswer answer;
    const bool told = waitUntil(Seconds(75), [&] {
      answer = callPermits(deployment, "a1", bodyOf(round), keyOf(round), 400, kPatience);
      return answer.done || answer.errorCode == "outcome_unknown";
    });
    BOOST_TEST(told, answer.describe());
    BOOST_TEST(deployment.calls(bodyOf(round)).size() <= 1u);
  }
}

// Guards against a service that takes a call and loses the answer being called again (G12).
BOOST_AUTO_TEST_CASE(lost_service_answer_is_not_run_again)
{
  Plan plan = proof::plan(1, 2);
  plan.backends = { service("s1", "fd-a"), service("s2", "fd-a") };
  Deployment deployment(plan);
  deployment.startInstances();
  waitForPermits(deployment);
  for (const char* id : { "s1", "s2" }) {
    deployment.controlBackend(id, { { "lose_answers", 1 } });
  }
  // Without an idempotency key it is tried once.
  const auto plain = callPermits(deployment, "a1", "<plain>", "");
  BOOST_TEST(!plain.done);
  BOOST_TEST(plain.runState != "not_run");
  BOOST_TEST(deployment.calls("<plain>").size() == 1u,
             deployment.calls("<plain>").size() << " calls, " << plain.describe());
  const auto keyed = callPermits(deployment, "a1", "<keyed>", "idem-lost");
  const auto repeat = callPermits(deployment, "a2", "<keyed>", "idem-lost");
  BOOST_TEST(deployment.calls("<keyed>").size() == 1u,
             deployment.calls("<keyed>").size() << " calls, " << keyed.describe());
  BOOST_TEST(keyed.runState != "not_run");
  BOOST_TEST(repeat.runState != "not_run");
}

// Guards against one request ending one engine after another when its caller resends it, and
// against its neighbours being lost with it.
MECHANISM(crash_isolation)
BOOST_AUTO_TEST_CASE(crashing_request_ends_at_most_two_engines)
{
  Plan plan = proof::plan(2, 2);
  for (const char* id : { "e1", "e2", "e3", "e4" }) {
    const bool first = id[1] < '3';
    plan.backends.push_back(engine(id, first ? "fd-a" : "fd-b", { "--tokens-per-second", "100" }));
  }
  Deployment deployment(plan);
  deployment.startInstances();
  Load load(6, [&](unsigned aNumber) {
    auto chat = chatAt(deployment, aNumber % 2 == 0 ? "a1" : "b1", "normal", "neighbour", 30);
    chat.timeout = Seconds(15);
    return chat;
  });
  auto crash = chatAt(deployment, "a1", "normal", "crash");
  crash.prompt = "CRASH-ENGINE " + crash.prompt;
  // With every engine ended it would wait for its deadline.
  crash.timeout = Seconds(4);
  const std::vector<std::string> engines{ "e1", "e2", "e3", "e4" };
  unsigned ended = 0;
  const auto countEnded = [&] {
    for (const auto& id : engines) {
      if (!deployment.backend(id).running()) {
        ++ended;
        deployment.restartBackend(id);
      }
    }
  };
  ChatAnswer last;
  for (unsigned resend = 0; resend < 6; ++resend) {
    const char* at[] = { "a1", "a2", "b1", "b2" };
    crash.address = deployment.instance(at[resend % 4]).callers;
    last = ask(crash);
    countEnded();
    pause(Millis(500));
  }
  countEnded();
  BOOST_TEST(ended <= 2u, ended << " engines ended");
  BOOST_TEST(ended >= 1u);
  BOOST_TEST(last.errorCode == "crash_suspect", last.describe());
  const auto lost = notWhole(load.stop());
  BOOST_TEST(lost.empty(), joined(lost));
}

}
