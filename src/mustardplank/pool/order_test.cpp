#include "mustardplank/pool/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::pool;
using namespace mustardplank::pool::test;

namespace {

/// One instance; server b1 is warm.
TestFailureDomain
makeWarmDomain(std::uint32_t aSlots, const PoolView& aView, const OwnerOptions& aOwnerOptions = {})
{
  TestFailureDomain domain(1, aOwnerOptions);
  domain.setView(aView);
  domain.announceOwner("i0");
  domain.reportLoad(makeWarmReport("b1", aSlots));
  domain.advanceTime(Seconds(6));
  return domain;
}

PoolView
oneServerView(std::uint32_t aSlots)
{
  return makeView({ makeBackendServer("b1", aSlots, 1) });
}

std::string
lastStartedId(TestFailureDomain& aDomain)
{
  return aDomain.at("i0").started.back().id.str();
}

/// A request whose first token is due in aUntilDeadline.
RequestInfo
requestDueIn(const std::string& aId, std::uint32_t aTier, Duration aUntilDeadline)
{
  RequestInfo info = makeRequest(aId, aTier);
  info.untilDeadline = aUntilDeadline;
  return info;
}

/// Finishes requests of one organisation until the estimates have converged to 200 ms and 10
/// tokens.
void
trainEstimates(TestFailureDomain& aDomain, std::uint32_t aTier = 0)
{
  for (int i = 0; i < 20; ++i) {
    const std::string id = "settle" + std::to_string(i);
    aDomain.submit("i0", makeRequest(id, aTier));
    aDomain.endStream("i0", id);
  }
  aDomain.at("i0").started.clear();
}

std::size_t
countStartedWithIdPrefix(TestFailureDomain& aDomain, const std::string& aPrefix)
{
  std::size_t n = 0;
  for (const auto& it : aDomain.at("i0").started) {
    n += it.id.str().starts_with(aPrefix) ? 1 : 0;
  }
  return n;
}

bool
isRefused(TestFailureDomain& aDomain, const std::string& aId)
{
  for (const auto& it : aDomain.at("i0").refused) {
    if (it.id.str() == aId) {
      return true;
    }
  }
  return false;
}

}

BOOST_AUTO_TEST_SUITE(order)

// Guards against serving a low tier before a high one.
BOOST_AUTO_TEST_CASE(higherTierGoesFirst)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  domain.submit("i0", makeRequest("first", 2));
  domain.submit("i0", makeRequest("low", 2));
  domain.submit("i0", makeRequest("high", 0));
  domain.endStream("i0", "first");
  BOOST_TEST(lastStartedId(domain) == "high");
}

// Guards against answering a request late because one with a later deadline was served first.
BOOST_AUTO_TEST_CASE(earliestDeadlineGoesFirst)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  domain.submit("i0", makeRequest("first"));
  domain.submit("i0", requestDueIn("later", 0, Seconds(50)));
  domain.submit("i0", requestDueIn("sooner", 0, Seconds(20)));
  domain.endStream("i0", "first");
  BOOST_TEST(lastStartedId(domain) == "sooner");
}

// Guards against dividing the slots among organisations other than by weight, whatever the order in
// which they submit.
BOOST_AUTO_TEST_CASE(organisationsShareByWeight)
{
  PoolView view = oneServerView(1);
  config::Organisation smallOrganisation;
  smallOrganisation.id = OrganisationId("small");
  config::Organisation largeOrganisation;
  largeOrganisation.id = OrganisationId("large");
  largeOrganisation.weight = 3.0;
  view.organisations = { smallOrganisation, largeOrganisation };
  TestFailureDomain domain = makeWarmDomain(1, view);
  trainEstimates(domain);
  for (int i = 0; i < 200; ++i) {
    domain.submit("i0", makeRequest("l" + std::to_string(i), 0, "large"));
  }
  for (int i = 0; i < 200; ++i) {
    domain.submit("i0", makeRequest("s" + std::to_string(i), 0, "small"));
  }
  for (int i = 0; i < 80; ++i) {
    const std::string id = lastStartedId(domain);
    domain.endStream("i0", id);
  }
  const auto ratio = static_cast<double>(countStartedWithIdPrefix(domain, "s")) /
                     static_cast<double>(countStartedWithIdPrefix(domain, "l"));
  BOOST_TEST(ratio > 0.25);
  BOOST_TEST(ratio < 0.45);
}

// Guards against starving a class while a higher tier is overloaded.
BOOST_AUTO_TEST_CASE(classKeepsItsMinimumShare)
{
  const auto classes = std::vector{ makeRequestClass("c0", 0), makeRequestClass("c2", 2, 0.1) };
  for (const bool enabled : { true, false }) {
    OwnerOptions options;
    options.minShare = enabled;
    TestFailureDomain domain =
      makeWarmDomain(1, makeView({ makeBackendServer("b1", 1, 1) }, classes), options);
    trainEstimates(domain);
    domain.submit("i0", makeRequest("h", 0));
    for (int i = 0; i < 200; ++i) {
      RequestInfo low = makeRequest("low" + std::to_string(i), 2);
      low.untilDeadline = Seconds(3600);
      domain.submit("i0", low);
    }
    for (int i = 0; i < 100; ++i) {
      RequestInfo high = makeRequest("h" + std::to_string(i), 0);
      high.untilDeadline = Seconds(3600);
      domain.submit("i0", high);
      domain.advanceTime(Millis(200));
      domain.endStream("i0", lastStartedId(domain));
    }
    const auto low = countStartedWithIdPrefix(domain, "low");
    if (enabled) {
      BOOST_TEST(low >= 5U);
      BOOST_TEST(low <= 15U);
    } else {
      BOOST_TEST(low == 0U);
    }
  }
}

// Guards against an urgent request that waits for long-running requests of lower tiers, and against
// preempting more of them than needed.
BOOST_AUTO_TEST_CASE(lowerTierIsPreempted)
{
  TestFailureDomain domain = makeWarmDomain(2, oneServerView(2));
  domain.submit("i0", makeRequest("low1", 2));
  domain.submit("i0", makeRequest("low2", 1));
  domain.advanceTime(Seconds(1));
  domain.submit("i0", requestDueIn("high", 0, Millis(100)));
  BOOST_REQUIRE(domain.at("i0").stopped.size() == 1U);
  BOOST_TEST(domain.at("i0").stopped[0].id.str() == "low1");
  domain.endStream("i0", "low1", SlotOutcome::Preempted);
  BOOST_TEST(lastStartedId(domain) == "high");
  // The preempted request resumes after the tokens already sent.
  RequestInfo resumed = makeRequest("low1", 2);
  resumed.attempt = 2;
  resumed.tokensSent = 10;
  resumed.untilDeadline = -Seconds(1);
  domain.submit("i0", resumed);
  domain.endStream("i0", "high");
  BOOST_TEST(lastStartedId(domain) == "low1");
  BOOST_TEST(!isRefused(domain, "low1"));
}

// Guards against preempting for requests of the same or a lower tier.
BOOST_AUTO_TEST_CASE(sameTierIsNotPreempted)
{
  TestFailureDomain domain = makeWarmDomain(2, oneServerView(2));
  domain.submit("i0", makeRequest("a", 1));
  domain.submit("i0", makeRequest("b", 1));
  domain.advanceTime(Seconds(1));
  domain.submit("i0", requestDueIn("c", 1, Millis(100)));
  domain.submit("i0", requestDueIn("d", 2, Millis(100)));
  BOOST_TEST(domain.at("i0").stopped.empty());
}

// Guards against preempting requests that cannot be repeated.
BOOST_AUTO_TEST_CASE(nonRepeatableIsNotPreempted)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  RequestInfo once = makeRequest("once", 2);
  once.repeatable = false;
  domain.submit("i0", once);
  domain.advanceTime(Seconds(1));
  domain.submit("i0", requestDueIn("high", 0, Millis(100)));
  BOOST_TEST(domain.at("i0").stopped.empty());
}

// Guards against queueing a request that can no longer meet its deadline.
BOOST_AUTO_TEST_CASE(unreachableDeadlineIsRefusedEarly)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  trainEstimates(domain);
  for (int i = 0; i < 30; ++i) {
    domain.submit("i0", requestDueIn("r" + std::to_string(i), 0, Seconds(1)));
  }
  // The requests take about 200 ms each and run one at a time.
  const auto refused = domain.at("i0").refused.size();
  BOOST_TEST(refused >= 22U);
  BOOST_TEST(refused <= 27U);
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::DeadlineUnreachable));
  BOOST_TEST((domain.at("i0").refused[0].retryAfter >= Seconds(1)));
}

// Guards against refusing a request because its prompt alone takes longer than the time until its
// deadline, although the pool is idle.
BOOST_AUTO_TEST_CASE(longPromptIsServedByAnIdlePool)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  trainEstimates(domain);
  RequestInfo longPrompt = requestDueIn("long", 0, Millis(10));
  longPrompt.promptTokens = 100000;
  domain.submit("i0", longPrompt);
  BOOST_TEST(domain.startedCount("i0") == 1U);
}

// Guards against shedding requests of a tier while requests of a lower tier wait.
BOOST_AUTO_TEST_CASE(lowerTierIsShedFirst)
{
  TestFailureDomain domain = makeWarmDomain(1, oneServerView(1));
  trainEstimates(domain);
  domain.submit("i0", makeRequest("busy", 0));
  for (int i = 0; i < 4; ++i) {
    domain.submit("i0", makeRequest("low" + std::to_string(i), 2));
  }
  for (int i = 0; i < 20; ++i) {
    domain.submit("i0", requestDueIn("high" + std::to_string(i), 0, Seconds(1)));
  }
  std::size_t lowRefused = 0;
  for (const auto& it : domain.at("i0").refused) {
    if (it.id.str().starts_with("low")) {
      ++lowRefused;
    } else {
      // All requests of the lower tier must have been shed before.
      BOOST_TEST(lowRefused == 4U);
    }
  }
  BOOST_TEST(lowRefused == 4U);
  BOOST_TEST(domain.at("i0").refused.size() > 8U);
}

// Guards against an organisation that exceeds its concurrency or rate limit.
BOOST_AUTO_TEST_CASE(organisationLimitsAreEnforced)
{
  PoolView view = oneServerView(8);
  config::Organisation concurrencyLimited;
  concurrencyLimited.id = OrganisationId("limited");
  concurrencyLimited.maxConcurrent = 2;
  config::Organisation rateLimited;
  rateLimited.id = OrganisationId("slow");
  rateLimited.requestRate = 1.0;
  view.organisations = { concurrencyLimited, rateLimited };
  TestFailureDomain domain = makeWarmDomain(8, view);
  for (int i = 0; i < 4; ++i) {
    domain.submit("i0", makeRequest("l" + std::to_string(i), 0, "limited"));
  }
  BOOST_TEST(countStartedWithIdPrefix(domain, "l") == 2U);
  domain.submit("i0", makeRequest("s1", 0, "slow"));
  domain.submit("i0", makeRequest("s2", 0, "slow"));
  BOOST_TEST(countStartedWithIdPrefix(domain, "s") == 1U);
  BOOST_REQUIRE(isRefused(domain, "s2"));
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::RateLimited));
  domain.endStream("i0", "l0");
  BOOST_TEST(countStartedWithIdPrefix(domain, "l") == 3U);
}

// Guards against a caller that is told to come back at once, as the wait at a rate near zero
// exceeds what an integer can hold.
BOOST_AUTO_TEST_CASE(rateNearZeroStatesTheLongestWait)
{
  for (const double rate : { 1e-3, 1e-15, 1e-300 }) {
    PoolView view = oneServerView(8);
    config::Organisation organisation;
    organisation.id = OrganisationId("slow");
    organisation.requestRate = rate;
    view.organisations = { organisation };
    TestFailureDomain domain = makeWarmDomain(8, view);
    domain.submit("i0", makeRequest("s1", 0, "slow"));
    domain.submit("i0", makeRequest("s2", 0, "slow"));
    BOOST_REQUIRE(isRefused(domain, "s2"));
    BOOST_TEST((domain.at("i0").refused[0].retryAfter == Seconds(60)));
  }
}

// Guards against endless retries on failing servers.
BOOST_AUTO_TEST_CASE(retriesAreBounded)
{
  TestFailureDomain domain = makeWarmDomain(4, oneServerView(4));
  std::size_t sent = 0;
  for (int i = 0; i < 200 && domain.at("i0").refused.empty(); ++i) {
    RequestInfo retry = makeRequest("r" + std::to_string(i));
    retry.attempt = 2;
    retry.failedServers = { BackendServerId("other") };
    domain.submit("i0", retry);
    ++sent;
  }
  BOOST_REQUIRE(!domain.at("i0").refused.empty());
  BOOST_TEST((domain.at("i0").refused[0].code == ErrorCode::BackendFailed));
  BOOST_TEST(sent > 40U);
}

BOOST_AUTO_TEST_SUITE_END()
