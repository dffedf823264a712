#include "mustardplank/agent/sync_server.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::agent;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

struct Server
{
  KeyedView operators;
  KeyedView servers;
  UpdateRelay relay;
  SyncServer server{ operators, servers, relay, 1, [](bool) { return SyncState{}; } };
};

/// An instance that asks again as soon as it has a reply.
class Asker
{
public:
  explicit Asker(Server& aServer)
    : mServer(aServer)
  {
  }

  void ask(TimePoint aNow)
  {
    SyncRequest request;
    request.agentIncarnation = 1;
    request.crashesSeen = mCrashesSeen;
    request.operatorsNext = mServer.operators.next();
    request.serversNext = mServer.servers.next();
    request.maxHold = Millis(400);
    mWaits = true;
    mServer.server.receive(std::move(request), {}, aNow, [this](const std::string& aReply) {
      Findings findings;
      mCrashesSeen = decodeReply(aReply, findings).value().crashesSeen;
      mWaits = false;
      ++mReplies;
    });
  }
  bool waits() const { return mWaits; }
  int replies() const { return mReplies; }
  std::uint64_t crashesSeen() const { return mCrashesSeen; }

private:
  Server& mServer;
  bool mWaits = false;
  int mReplies = 0;
  std::uint64_t mCrashesSeen = 0;
};

}

BOOST_AUTO_TEST_SUITE(sync_server)

// Load pattern: sound servers reset hundreds of connections a second. Guards against an agent that
// does nothing but answer the instances of its failure domain, once for each.
BOOST_AUTO_TEST_CASE(crashes_are_handed_on_together)
{
  constexpr int kEndMs = 2000;
  constexpr int kMaxRepliesPerSecond = 5;
  Server agent;
  Asker asker(agent);
  for (int now = 0; now < kEndMs; now += 5) {
    agent.server.addCrash(
      { std::uint64_t(now), BackendServerId("s"), 1, now, now, dispatch::DigestSharing::Rare });
    if (!asker.waits()) {
      asker.ask(at(now));
    }
    agent.server.answerDue(at(now));
  }
  BOOST_TEST(asker.replies() <= kMaxRepliesPerSecond * kEndMs / 1000);
  BOOST_TEST(asker.replies() > 0);
}

// Guards against a crash that waits for the end of the hold.
BOOST_AUTO_TEST_CASE(crash_is_handed_on_before_the_hold_ends)
{
  Server agent;
  Asker asker(agent);
  asker.ask(at(0));
  agent.server.addCrash({ 7, BackendServerId("s"), 1, 0, 0, dispatch::DigestSharing::Rare });
  const auto next = agent.server.answerDue(at(10));
  BOOST_TEST_REQUIRE(next.has_value());
  BOOST_TEST((*next <= at(250)));
  agent.server.answerDue(*next);
  BOOST_TEST(asker.replies() == 1);
  BOOST_TEST(asker.crashesSeen() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
