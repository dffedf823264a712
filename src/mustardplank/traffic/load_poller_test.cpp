#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;
using namespace mustardplank::traffic::test;

namespace {

void
answerJson(Connection& aConnection, const std::string& aBody)
{
  aConnection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
                   "\r\n\r\n" + aBody);
}

config::BackendServer
serverAt(const std::string& aId, const std::string& aPool, const std::string& aAddress)
{
  config::BackendServer server;
  server.id = BackendServerId(aId);
  server.pool = PoolId(aPool);
  server.address = aAddress;
  server.slots = 3;
  return server;
}

}

BOOST_AUTO_TEST_SUITE(load_poller)

BOOST_AUTO_TEST_CASE(reportsLoadAndCacheEvents)
{
  FakeBackend engine([](Connection& aConnection, const FakeBackend::Request& aRequest) {
    if (aRequest.target() == "/load") {
      answerJson(aConnection,
                 R"({"server_id":"e","incarnation":7,"state":"cold","slots":2,"running":1,)"
                 R"("waiting":4,"tokens_per_second":51.5,"age_ms":30})");
    } else if (aRequest.target() == "/cache/events?from=0") {
      answerJson(
        aConnection,
        R"({"next":13,"events":[{"seq":12,"type":"stored","hash":18446744073709551615}]})");
    } else {
      answerJson(aConnection, R"({"next":13,"events":[]})");
    }
  });
  Harness harness;
  harness.start();
  harness.post(WatchServers{ { serverAt("e1", "chat", engine.address()) } });
  BOOST_TEST(harness.waitFor<Load>(3));
  const auto report = harness.events<Load>().at(0).report;
  BOOST_TEST(report.server.str() == "e1");
  BOOST_TEST(report.incarnation == 7U);
  BOOST_TEST(report.cold);
  BOOST_TEST(report.slots == 2U);
  BOOST_TEST(report.waiting == 4U);
  BOOST_TEST(report.age.count() >= Duration(Millis(30)).count());
  BOOST_TEST(harness.events<CacheEvents>().size() == 1U);
  const auto cached = harness.events<CacheEvents>().at(0).events.at(0);
  BOOST_TEST(cached.hash == 18446744073709551615U);
  BOOST_TEST(cached.stored);
  BOOST_TEST(engine.connections() == 1U);
  harness.post(WatchServers{});
  std::this_thread::sleep_for(Millis(20));
  const auto before = harness.events<Load>().size();
  std::this_thread::sleep_for(Millis(250));
  BOOST_TEST(harness.events<Load>().size() == before);
}

// Guards against a server that hangs, answers garbage or is gone counting as reachable.
BOOST_AUTO_TEST_CASE(reportsUnreachable)
{
  std::atomic<bool> hang = true;
  FakeBackend hanging(
    [&](Connection&, const FakeBackend::Request&) { eventually([&] { return !hang; }); });
  FakeBackend garbled([](Connection& aConnection, const FakeBackend::Request&) {
    answerJson(aConnection, "{\"state\":");
  });
  Harness harness;
  harness.start();
  harness.post(WatchServers{ { serverAt("hanging", "chat", hanging.address()),
                               serverAt("garbled", "chat", garbled.address()),
                               serverAt("gone", "chat", "127.0.0.1:1") } });
  for (const char* id : { "hanging", "garbled", "gone" }) {
    BOOST_TEST(eventually([&] {
      const auto events = harness.events<Unreachable>();
      return std::any_of(
        events.begin(), events.end(), [&](const auto& aIt) { return aIt.server.str() == id; });
    }));
  }
  BOOST_TEST(harness.events<Load>().empty());
  hang = false;
}

// Guards against polls counting as calls of a plain service.
BOOST_AUTO_TEST_CASE(sendsNothingToPlainServices)
{
  FakeBackend desk([](Connection&, const FakeBackend::Request&) {});
  Harness harness;
  harness.start();
  harness.post(WatchServers{
    { serverAt("d1", "desk", desk.address()), serverAt("d2", "desk", "127.0.0.1:1") } });
  BOOST_TEST(harness.waitFor<Load>(2));
  BOOST_TEST(harness.events<Load>().at(0).report.slots == 3U);
  BOOST_TEST(harness.waitFor<Unreachable>(1));
  BOOST_TEST(desk.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
