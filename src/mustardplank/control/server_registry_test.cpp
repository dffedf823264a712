#include "mustardplank/control/server_registry.hpp"

#include "mustardplank/base/hash.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

/// Values are "STATE" or "STATE START", where START is the start time in ms; "bad" is malformed.
std::optional<route::BackendServer>
decode(const Record& aRecord, Findings& aFindings)
{
  if (!aRecord.value || *aRecord.value == "bad") {
    aFindings.add("server", "malformed");
    return std::nullopt;
  }
  route::BackendServer server;
  server.id = BackendServerId(aRecord.key);
  server.service = route::ServiceId("s");
  // All servers with a start time, as in "ready 7", share an address.
  const auto space = aRecord.value->find(' ');
  server.address = "10.0.0.1:" + (space == std::string::npos ? aRecord.key : std::string("80"));
  server.startTimeMs = space == std::string::npos ? 0 : std::stoll(aRecord.value->substr(space));
  server.draining = aRecord.value->starts_with("draining");
  server.coldRemaining = aRecord.value->starts_with("cold") ? Seconds(5) : Duration{};
  return server;
}

StoreDialect
makeDialect()
{
  StoreDialect dialect{};
  dialect.decodeServer = decode;
  dialect.serverDigest = [](const Record& aRecord) {
    return stableHash(aRecord.value.value_or(std::string()));
  };
  return dialect;
}

std::size_t
countRemoved(const std::vector<ServerEvent>& aEvents)
{
  std::size_t n = 0;
  for (const auto& it : aEvents) {
    n += std::holds_alternative<ServerRemoved>(it) ? 1 : 0;
  }
  return n;
}

}

BOOST_AUTO_TEST_SUITE(server_registry)

BOOST_AUTO_TEST_CASE(entries_add_and_remove_servers)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  BOOST_TEST(registry.servers().size() == 2U);
  registry.recordRead(at(100));
  BOOST_TEST(countRemoved(registry.apply({ { 2, "a", {} } }, makeDialect(), at(100))) == 1U);
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against events for renewals without changes, whose cost grows with the number of servers:
// at 3,000 servers an instance used 41 % of a core.
BOOST_AUTO_TEST_CASE(renewal_without_changes_gives_no_event)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  BOOST_TEST(registry.apply({ { 0, "a", "ready" } }, makeDialect(), at(0)).size() == 1U);
  BOOST_TEST(registry.apply({ { 1, "a", "ready" } }, makeDialect(), at(10)).empty());
  BOOST_TEST(registry.apply({ { 2, "a", "draining" } }, makeDialect(), at(20)).size() == 1U);
  registry.apply({ { 3, "a", {} } }, makeDialect(), at(30));
  BOOST_TEST(registry.apply({ { 4, "a", "draining" } }, makeDialect(), at(40)).size() == 1U);
}

// Guards against requests sent to the old entry of a server that has restarted under another id: it
// answers 421 to them until that entry expires.
BOOST_AUTO_TEST_CASE(server_started_later_replaces_the_one_at_its_address)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "old", "ready 5" } }, makeDialect(), at(0));
  const auto events = registry.apply({ { 1, "new", "ready 7" } }, makeDialect(), at(10));
  BOOST_TEST(countRemoved(events) == 1U);
  BOOST_TEST(events.size() == 2U);
  BOOST_TEST(registry.servers().size() == 1U);
  BOOST_TEST(registry.servers().begin()->first.str() == "new");
  // Late records of the old server change nothing, neither a renewal nor the removal.
  BOOST_TEST(registry.apply({ { 2, "old", "ready 5" } }, makeDialect(), at(20)).empty());
  BOOST_TEST(registry.apply({ { 3, "old", {} } }, makeDialect(), at(30)).empty());
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against removing a live server after an outage because its renewal has no changes.
BOOST_AUTO_TEST_CASE(renewal_without_changes_cancels_the_deferred_removal)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" } }, makeDialect(), at(0));
  registry.recordRead(at(10000));
  BOOST_TEST(registry.apply({ { 1, "a", {} } }, makeDialect(), at(10000)).empty());
  BOOST_TEST(registry.apply({ { 2, "a", "ready" } }, makeDialect(), at(10500)).empty());
  BOOST_TEST(registry.tick(makeDialect(), at(13000)).empty());
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against a malformed entry that removes a working server.
BOOST_AUTO_TEST_CASE(malformed_entry_changes_nothing)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" } }, makeDialect(), at(0));
  BOOST_TEST(
    registry.apply({ { 1, "a", "bad" }, { 2, "c", "bad" } }, makeDialect(), at(10)).empty());
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against requests to a server whose entry is malformed for good, as another writer renews
// it, and against a server that does not come back when it writes its entry again.
BOOST_AUTO_TEST_CASE(server_whose_entry_stays_malformed_is_removed)
{
  const auto end = at(10) + ServerRegistry::kMalformedGrace;
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  registry.apply({ { 2, "a", "bad" }, { 3, "b", "bad" } }, makeDialect(), at(10));
  registry.apply({ { 4, "a", "bad" } }, makeDialect(), at(1000));
  // A renewal without changes keeps the server.
  registry.apply({ { 5, "b", "ready" } }, makeDialect(), at(1100));
  for (auto now = at(1000); now < end; now += Millis(1000)) {
    registry.recordRead(now);
    BOOST_TEST(registry.tick(makeDialect(), now).empty());
  }
  BOOST_TEST(registry.tick(makeDialect(), end).empty());
  registry.recordRead(end);
  BOOST_TEST(countRemoved(registry.tick(makeDialect(), end)) == 1U);
  BOOST_TEST(registry.servers().count(BackendServerId("b")) == 1U);
  BOOST_TEST(registry.servers().size() == 1U);
  BOOST_TEST(registry.apply({ { 6, "a", "ready" } }, makeDialect(), end + Millis(10)).size() == 1U);
  BOOST_TEST(registry.tick(makeDialect(), end + Seconds(60)).empty());
  BOOST_TEST(registry.servers().size() == 2U);
}

// Guards against a server that is removed in an outage, in which it cannot write its entry again.
BOOST_AUTO_TEST_CASE(server_with_a_malformed_entry_is_not_removed_in_an_outage)
{
  const auto end = at(10) + ServerRegistry::kMalformedGrace;
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  registry.apply({ { 2, "a", "bad" }, { 3, "b", "bad" } }, makeDialect(), at(10));
  BOOST_TEST(registry.tick(makeDialect(), end + Seconds(20)).empty());
  const auto back = end + Seconds(30);
  registry.recordRead(back);
  BOOST_TEST(registry.tick(makeDialect(), back).empty());
  registry.apply({ { 4, "a", "ready" } }, makeDialect(), back + Millis(500));
  const auto later = back + ServerRegistry::kReappearGrace;
  BOOST_TEST(countRemoved(registry.tick(makeDialect(), later)) == 1U);
  BOOST_TEST(registry.servers().count(BackendServerId("a")) == 1U);
}

// Guards against a deployment without servers after a store outage in which entries expired.
BOOST_AUTO_TEST_CASE(entries_that_expired_in_an_outage_may_reappear)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply(
    { { 0, "a", "ready" }, { 1, "b", "ready" }, { 2, "c", "draining" } }, makeDialect(), at(0));
  registry.recordRead(at(9000));
  const auto events =
    registry.apply({ { 3, "a", {} }, { 4, "b", {} }, { 5, "c", {} } }, makeDialect(), at(9000));
  BOOST_TEST(countRemoved(events) == 1U);
  BOOST_TEST(registry.servers().size() == 2U);
  registry.recordRead(at(10000));
  registry.apply({ { 6, "a", "ready" } }, makeDialect(), at(10000));
  BOOST_TEST(countRemoved(registry.tick(makeDialect(), at(10900))) == 0U);
  BOOST_TEST(countRemoved(registry.tick(makeDialect(), at(11100))) == 1U);
  BOOST_TEST(registry.servers().count(BackendServerId("a")) == 1U);
}

BOOST_AUTO_TEST_CASE(full_list_removes_servers_that_are_not_in_it)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  registry.recordRead(at(500));
  const auto events = registry.applyFullList({ { 5, "b", "ready" } }, makeDialect(), at(500));
  BOOST_TEST(countRemoved(events) == 1U);
  BOOST_TEST(registry.servers().count(BackendServerId("b")) == 1U);
}

// Guards against requests to servers that leave or have left, as a restored store shows them as
// they were before.
BOOST_AUTO_TEST_CASE(restored_copy_brings_no_leaving_server_back)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply(
    { { 0, "a", "draining" }, { 1, "b", "ready" }, { 2, "c", "ready" } }, makeDialect(), at(0));
  registry.apply({ { 3, "b", {} } }, makeDialect(), at(500));
  const auto events =
    registry.apply({ { 10, "a", "ready" }, { 11, "b", "ready" }, { 12, "d", "ready" } },
                   makeDialect(),
                   at(1000),
                   RecordSource::RestoredCopy);
  BOOST_TEST(events.size() == 1U);
  BOOST_TEST(registry.servers().at(BackendServerId("a")).draining);
  BOOST_TEST(registry.servers().count(BackendServerId("b")) == 0U);
  // They are written again as they were last.
  registry.apply({ { 13, "a", "draining" }, { 14, "b", {} } }, makeDialect(), at(1800));
  registry.tick(makeDialect(), at(1000) + ServerRegistry::kRestoreGrace);
  BOOST_TEST(registry.servers().at(BackendServerId("a")).draining);
  BOOST_TEST(registry.servers().count(BackendServerId("b")) == 0U);
  BOOST_TEST(registry.servers().count(BackendServerId("c")) == 1U);
}

// Guards against servers that stay out although they are not written again as leaving or removed.
BOOST_AUTO_TEST_CASE(held_back_entries_take_effect_after_the_grace_time)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "draining" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  registry.apply({ { 2, "b", {} } }, makeDialect(), at(500));
  registry.apply({ { 10, "a", "ready" }, { 11, "b", "ready" } },
                 makeDialect(),
                 at(1000),
                 RecordSource::RestoredCopy);
  const auto end = at(1000) + ServerRegistry::kRestoreGrace;
  BOOST_TEST(registry.tick(makeDialect(), end - Millis(1)).empty());
  BOOST_TEST(registry.tick(makeDialect(), end).size() == 2U);
  BOOST_TEST(!registry.servers().at(BackendServerId("a")).draining);
  BOOST_TEST(registry.servers().count(BackendServerId("b")) == 1U);
}

// Guards against a server that starts after the restoration and gets nothing.
BOOST_AUTO_TEST_CASE(newer_entry_takes_effect_at_once)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" } }, makeDialect(), at(0));
  registry.apply({ { 1, "a", {} } }, makeDialect(), at(500));
  registry.apply({ { 10, "a", "ready" } }, makeDialect(), at(1000), RecordSource::RestoredCopy);
  BOOST_TEST(registry.servers().empty());
  registry.apply({ { 11, "a", "ready" } }, makeDialect(), at(1100));
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against servers that are dropped because a restored store does not have them yet.
BOOST_AUTO_TEST_CASE(servers_that_a_restored_copy_lacks_have_time_to_reappear)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "ready" } }, makeDialect(), at(0));
  BOOST_TEST(
    registry
      .apply(
        { { 10, "a", {} }, { 10, "b", {} } }, makeDialect(), at(1000), RecordSource::RestoredCopy)
      .empty());
  registry.apply({ { 11, "a", "ready" } }, makeDialect(), at(2000));
  BOOST_TEST(countRemoved(registry.tick(makeDialect(), at(3000))) == 1U);
  BOOST_TEST(registry.servers().count(BackendServerId("a")) == 1U);
}

// Guards against requests to a server that leaves, as a restored store shows its earlier start.
BOOST_AUTO_TEST_CASE(restored_copy_brings_no_earlier_start_of_a_server_back)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready 1" } }, makeDialect(), at(0));
  registry.apply({ { 1, "a", "draining 2" } }, makeDialect(), at(500));
  registry.apply({ { 10, "a", "ready 1" } }, makeDialect(), at(1000), RecordSource::RestoredCopy);
  BOOST_TEST(registry.servers().at(BackendServerId("a")).draining);
  BOOST_TEST(registry.servers().at(BackendServerId("a")).startTimeMs == 2);
  registry.apply({ { 11, "a", {} } }, makeDialect(), at(1100));
  BOOST_TEST(registry.servers().empty());
  registry.apply({ { 20, "a", "ready 1" } }, makeDialect(), at(2000), RecordSource::RestoredCopy);
  BOOST_TEST(registry.servers().empty());
  // A later start is not outdated.
  registry.apply({ { 30, "a", "ready 3" } }, makeDialect(), at(2500), RecordSource::RestoredCopy);
  BOOST_TEST(registry.servers().size() == 1U);
}

// Guards against too many requests to a cold server, as a restored store shows it before it became
// cold again.
BOOST_AUTO_TEST_CASE(restored_copy_makes_no_cold_server_warm)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "ready" }, { 1, "b", "cold" } }, makeDialect(), at(0));
  registry.apply({ { 2, "a", "cold" }, { 3, "b", "ready" } }, makeDialect(), at(500));
  registry.apply({ { 10, "a", "ready" }, { 11, "b", "cold" } },
                 makeDialect(),
                 at(1000),
                 RecordSource::RestoredCopy);
  BOOST_TEST((registry.servers().at(BackendServerId("a")).coldRemaining == Seconds(5)));
  BOOST_TEST((registry.servers().at(BackendServerId("b")).coldRemaining == Seconds(5)));
  registry.apply({ { 12, "a", "ready" } }, makeDialect(), at(1500));
  BOOST_TEST((registry.servers().at(BackendServerId("a")).coldRemaining == Duration{}));
}

// Guards against requests to a server that leaves when the store is restored again before the
// server has written its entry: the second copy changes nothing.
BOOST_AUTO_TEST_CASE(entries_are_held_back_from_the_last_restoration_on)
{
  ServerRegistry registry;
  registry.recordRead(at(0));
  registry.apply({ { 0, "a", "draining" } }, makeDialect(), at(0));
  registry.apply({ { 10, "a", "ready" } }, makeDialect(), at(1000), RecordSource::RestoredCopy);
  registry.apply({}, makeDialect(), at(4000), RecordSource::RestoredCopy);
  const auto end = at(4000) + ServerRegistry::kRestoreGrace;
  BOOST_TEST(registry.tick(makeDialect(), end - Millis(1)).empty());
  BOOST_TEST(registry.servers().at(BackendServerId("a")).draining);
  BOOST_TEST(registry.tick(makeDialect(), end).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
