// G3, G4 and G5: caller keys.

#include "proof.hpp"

#include "mustardplank/base/hash.hpp"

#include <fstream>
#include <sstream>

namespace mustardplank::proof {

using nlohmann::json;

namespace {

Plan
domainsWithEngines(unsigned aDomains, unsigned aInstances)
{
  Plan result = plan(aDomains, aInstances);
  for (unsigned d = 0; d < aDomains; ++d) {
    const std::string letter(1, static_cast<char>('a' + d));
    result.backends.push_back(
      engine("e" + letter, "fd-" + letter, { "--tokens-per-second", "100" }));
  }
  return result;
}

std::string
readAll(const std::filesystem::path& aFile)
{
  std::ostringstream text;
  text << std::ifstream(aFile).rdbuf();
  return text.str();
}

}

// Guards against requests that run without the key of an organisation that may use the class,
// also while the log is down and an instance has just restarted without it (G3).
BOOST_AUTO_TEST_CASE(runs_only_for_the_keys_organisation)
{
  Plan plan = domainsWithEngines(1, 2);
  plan.organisations.back().allowedClasses = { ClassId("normal") };
  config::RequestClass open = classOf(plan, "batch");
  open.id = ClassId("open-batch");
  open.open = true;
  plan.classes.push_back(open);
  Deployment deployment(plan);
  deployment.startInstances();
  const auto check = [&] {
    const std::vector<std::pair<std::string, std::string>> refused{
      { "", "missing_key" },
      { "key-unknown", "unknown_key" },
      { "key-authority ", "unknown_key" },
      { sha256Hex("key-authority"), "unknown_key" },
    };
    for (const auto& [key, code] : refused) {
      auto chat = chatAt(deployment, "a2", "normal", "refused");
      chat.key = key;
      const auto answer = ask(chat);
      // Trailing space is no part of a header value, so "key-authority " may pass as the key.
      if (key != "key-authority ") {
        BOOST_TEST(answer.errorCode == code, key << ": " << answer.describe());
        BOOST_TEST(takenRuns(deployment, markOf(chat.prompt)).empty());
      }
    }
    auto other = chatAt(deployment, "a2", "urgent", "otherclass");
    other.key = "key-bramwell";
    BOOST_TEST(ask(other).errorCode == "class_not_allowed");
    BOOST_TEST(takenRuns(deployment, "<otherclass").empty());
    auto openChat = chatAt(deployment, "a2", "open-batch", "open");
    openChat.key = "";
    const auto answer = ask(openChat);
    BOOST_TEST(answer.whole(), answer.describe());
    BOOST_TEST(ask(chatAt(deployment, "a2", "normal", "own")).whole());
  };
  check();
  deployment.controlPlatform({ { "outage", { "log" } } });
  deployment.instance("a2").process->kill();
  deployment.startInstance("a2");
  BOOST_REQUIRE(waitUntil(Seconds(20), [&] { return deployment.ready("a2"); }));
  check();
}

// Guards against a caller key, or its hash, that reaches a backend server or a log file, also on
// retries and resumes (G4).
BOOST_AUTO_TEST_CASE(no_server_sees_a_caller_key)
{
  Plan plan = domainsWithEngines(2, 1);
  plan.backends.push_back(service("s1", "fd-a"));
  Deployment deployment(plan);
  deployment.startInstances();
  for (int i = 0; i < 6; ++i) {
    deployment.controlBackend("ea", { { "break_after", 3 } });
    auto chat = chatAt(deployment, i % 2 == 0 ? "a1" : "b1", "normal", "secret");
    chat.idempotencyKey = "idem-" + std::to_string(i);
    ask(chat);
    callPermits(deployment, "a1", "<permit>", "idem-permit-" + std::to_string(i));
  }
  std::string seen = deployment.ledger("ea").dump() + deployment.ledger("eb").dump();
  BOOST_REQUIRE(seen.find("<secret") != std::string::npos);
  seen += deployment.ledger("s1").dump();
  for (const auto& id : deployment.instanceIds()) {
    seen += readAll(deployment.folder() / (id + ".1.err"));
    seen += readAll(deployment.folder() / (id + ".1.out"));
  }
  for (const std::string key : { "key-authority", "key-bramwell" }) {
    // "key-authority-id" is the name under which operators know the key, not the key.
    for (std::size_t at = 0; (at = seen.find(key, at)) != std::string::npos; at += key.size()) {
      BOOST_TEST(seen.compare(at + key.size(), 3, "-id") == 0, seen.substr(at - 40, 100));
    }
    BOOST_TEST(seen.find(sha256Hex(key)) == std::string::npos);
  }
  BOOST_TEST(seen.find("\"authorization\"") == std::string::npos);
}

// Guards against a withdrawn key that goes on working, or keeps its streams, while the log is down
// and two failure domains do not reach each other (G5).
MECHANISM(tombstones)
BOOST_AUTO_TEST_CASE(withdrawn_key_stops_without_the_log)
{
  Deployment deployment(domainsWithEngines(3, 2));
  deployment.startInstances();
  deployment.controlPlatform({ { "outage", { "log" } } });
  deployment.fault("a.>b.|b.>a.", { { "cut", "both" } });
  const std::vector<std::string> at{ "a1", "a2", "b1", "b2", "c1", "c2" };
  std::vector<std::future<ChatAnswer>> streams;
  for (const auto& id : at) {
    // Runs for 60 s unless the withdrawal ends it.
    streams.push_back(askLater(chatAt(deployment, id, "batch", "stream", 6000)));
  }
  Load withdrawn(6, [&](unsigned aNumber) {
    return chatAt(deployment, at[aNumber % 6], "normal", "withdrawn", 5);
  });
  Load other(3, [&](unsigned aNumber) {
    auto chat = chatAt(deployment, at[aNumber % 6], "normal", "other", 5);
    chat.key = "key-bramwell";
    return chat;
  });
  pause(Seconds(1));
  const auto result = deployment.ctl("a1", { "key", "withdraw", "key-authority-id" });
  BOOST_TEST((result.exitCode == 0), result.output);
  const auto since = nowMillis() + kSeconds.count();
  for (auto& it : streams) {
    const bool ended = it.wait_for(kSeconds) == std::future_status::ready;
    BOOST_TEST(ended, "a stream of the withdrawn key goes on");
  }
  while (nowMillis() < since + 1000) {
    pause(Millis(100));
  }
  withdrawn.stop();
  for (const auto& run : deployment.runs("<withdrawn")) {
    const bool late = run.at("start_ms").get<std::int64_t>() > since;
    BOOST_TEST(!late, "ran after the withdrawal: " << run.dump());
    if (late) {
      break;
    }
  }
  const auto lost = notWhole(other.stop());
  BOOST_TEST(lost.empty(), joined(lost));
  // The withdrawal survives in the log once that is back.
  deployment.controlPlatform({ { "outage", json::array() } });
  const bool logged = waitUntil(kSeconds, [&] {
    return deployment.logRecords().dump().find("withdraw_key") != std::string::npos;
  });
  BOOST_TEST(logged);
  // The instances are destroyed with the deployment, so streams that still run end here.
}

}
