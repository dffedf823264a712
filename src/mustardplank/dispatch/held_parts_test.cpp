#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/dispatch/held_parts.hpp"
#include "test_support.hpp"

#include "mustardplank/base/hash.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;
using namespace mustardplank::dispatch::test;

namespace {

const std::vector<PromptPart> kPrompt{ { 0xa1, 800 }, { 0xa2, 5500 }, { 0xa3, 2890 } };

Job
jobOf(const std::vector<PromptPart>& aPrompt)
{
  Job job;
  job.prompt = aPrompt;
  job.promptTokens = 9190;
  return job;
}

ServerState
serverThatHolds(const std::vector<std::uint64_t>& aParts, bool aComplete, TimePoint aAt)
{
  auto held = std::make_shared<HeldParts>();
  held->clear(aComplete);
  for (const auto it : aParts) {
    held->add(partKeyOf(it));
  }
  held->confirm(aAt);
  ServerState server{ route::BackendServer{} };
  server.prefixCache.setCapacity(100'000);
  server.heldParts = std::move(held);
  return server;
}

}

BOOST_AUTO_TEST_SUITE(held_parts)

// Load pattern: a quarter of the long requests had their shared parts prefilled again at servers
// that had evicted them. Guards against counting evicted parts as cached.
BOOST_AUTO_TEST_CASE(reported_parts_replace_the_guess)
{
  const auto now = atMillis(10'000);
  auto server = serverThatHolds({ 0xa1 }, true, now);
  server.prefixCache.recordPrompt(kPrompt);
  BOOST_TEST(countUncachedTokens(jobOf(kPrompt), server, now) == 9190U - 800U);
}

// Guards against a part that is counted although the one before it is missing: an engine uses
// leading parts only.
BOOST_AUTO_TEST_CASE(part_after_a_missing_one_does_not_count)
{
  const auto now = atMillis(10'000);
  const auto server = serverThatHolds({ 0xa2, 0xa3 }, true, now);
  BOOST_TEST(countUncachedTokens(jobOf(kPrompt), server, now) == 9190U);
}

// Guards against old knowledge that replaces the guess for ever when the agents are silent.
BOOST_AUTO_TEST_CASE(old_knowledge_gives_way_to_the_guess)
{
  const auto at = atMillis(10'000);
  auto server = serverThatHolds({}, true, at);
  server.prefixCache.recordPrompt(kPrompt);
  const auto job = jobOf(kPrompt);
  BOOST_TEST(countUncachedTokens(job, server, at + HeldParts::kMaxAge) == 9190U);
  BOOST_TEST(countUncachedTokens(job, server, at + HeldParts::kMaxAge + Millis(1)) == 0U);
}

// Guards against a server with lost reports that seems to hold nothing.
BOOST_AUTO_TEST_CASE(guess_counts_as_well_after_lost_reports)
{
  const auto now = atMillis(10'000);
  auto server = serverThatHolds({ 0xa1 }, false, now);
  server.prefixCache.recordPrompt({ { 0xa1, 800 }, { 0xa2, 5500 } });
  BOOST_TEST(countUncachedTokens(jobOf(kPrompt), server, now) == 2890U);
}

// Load pattern: a burst of prompts that share a part. Guards against placing them on as many
// servers, as reports of the first ones arrive late.
BOOST_AUTO_TEST_CASE(parts_sent_within_the_last_second_count_as_held)
{
  const auto now = atMillis(10'000);
  auto server = serverThatHolds({}, true, now);
  server.recentParts.record({ { 0xa1, 800 }, { 0xa2, 5500 } }, now);
  const auto job = jobOf(kPrompt);
  BOOST_TEST(countUncachedTokens(job, server, now + Millis(1000)) == 2890U);
  BOOST_TEST(countUncachedTokens(job, server, now + Millis(1001)) == 9190U);
}

// Guards against a table that is lost when a server's registry entry is replaced, and against one
// that stays when the server is no longer followed.
BOOST_AUTO_TEST_CASE(dispatcher_uses_the_table_for_servers_added_later)
{
  auto dispatcher = makeDispatcher(makeConfig());
  auto held = std::make_shared<HeldParts>();
  held->add(partKeyOf(1));
  held->confirm(atMillis(0));
  const BackendServerId id("e1");
  dispatcher.setHeldParts({ { static_cast<ServerKey>(stableHash(id.str())), held } });
  for (const bool known : { true, false }) {
    if (!known) {
      dispatcher.setHeldParts({});
    }
    auto entry = makeServer("e1", "a");
    entry.startTimeMs = known ? 1 : 2;
    dispatcher.updateServer(entry, atMillis(0));
    Effects effects;
    auto job = makeEngineJob(known ? 1 : 2, 5000, 1, atMillis(1));
    job.prompt = { { 1, 5000 } };
    dispatcher.submit(job, atMillis(1), effects);
    const auto* grant = findGrant(effects, job.id);
    BOOST_TEST_REQUIRE((grant != nullptr));
    BOOST_TEST(grant->prefillTokens == (known ? 0U : 5000U));
  }
}

// Guards against calls to servers of deployments that do not offer reports of held parts: without
// a stated number of calls, or without work factors, nobody is followed.
BOOST_AUTO_TEST_CASE(only_servers_that_offer_reports_are_followed)
{
  for (const bool offers : { false, true }) {
    for (const bool states : { false, true }) {
      auto config = makeConfig();
      config.services.at(route::ServiceId("llm")).engine->maxReportCalls = offers ? 1 : 0;
      auto dispatcher = makeDispatcher(config);
      dispatcher.updateServer(makeServer("e1", "a"), atMillis(0));
      dispatcher.updateServer(makeServer("e2", "a"), atMillis(0));
      dispatcher.updateServer(makeServer("e3", "b"), atMillis(0));
      if (states) {
        dispatcher.recordWorkFactor(BackendServerId("e3"), 1.2, atMillis(1));
      }
      BOOST_TEST(dispatcher.heldPartsReporters().size() == (offers && states ? 2U : 0U));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
