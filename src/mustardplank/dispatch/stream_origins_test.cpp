#include "mustardplank/dispatch/origin_reply.hpp"
#include "mustardplank/dispatch/stream_origins.hpp"
#include "mustardplank/dispatch/version_history.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

const route::ServiceId kService("llm");

TimePoint
at(int aSeconds)
{
  return TimePoint(Seconds(1000 + aSeconds));
}

StreamOrigin
originOf(const char* aVersion)
{
  return { kService, aVersion };
}

route::BackendServer
serverOf(const char* aId, const char* aVersion)
{
  route::BackendServer server;
  server.id = BackendServerId(aId);
  server.service = kService;
  server.softwareVersion = aVersion;
  return server;
}

using Versions = std::set<std::string>;

}

BOOST_AUTO_TEST_SUITE(stream_origins)

BOOST_AUTO_TEST_CASE(origin_is_known_until_callers_have_given_up)
{
  StreamOrigins origins;
  BOOST_TEST(origins.record(1, originOf("v1"), at(0)));
  BOOST_TEST(!origins.record(1, originOf("v1"), at(1)));
  BOOST_TEST((origins.find(1, at(29)) == originOf("v1")));
  BOOST_TEST(!origins.find(1, at(30)).has_value());
  BOOST_TEST(!origins.find(2, at(0)).has_value());
}

// Guards against a caller that states an attempt again and gets a stream of two versions.
BOOST_AUTO_TEST_CASE(stream_with_two_origins_has_none)
{
  StreamOrigins origins;
  origins.record(1, originOf("v1"), at(0));
  origins.record(1, originOf("v2"), at(0));
  BOOST_TEST(!origins.find(1, at(0)).has_value());
  BOOST_TEST(origins.list(at(0)).empty());
}

// Guards against organisations that take up each other's streams.
BOOST_AUTO_TEST_CASE(streams_belong_to_their_organisation)
{
  BOOST_TEST(streamKey(OrganisationId("one"), "a") != streamKey(OrganisationId("two"), "a"));
  BOOST_TEST(streamKey(OrganisationId("one"), "a") == streamKey(OrganisationId("one"), "a"));
}

// Guards against a memory that callers can fill.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
  StreamOrigins origins;
  for (StreamKey i = 0; i < 3 * StreamOrigins::kMaxStreams; ++i) {
    origins.record(i, originOf("v1"), at(0));
  }
  BOOST_TEST(origins.size() <= StreamOrigins::kMaxStreams);
  BOOST_TEST(origins.find(3 * StreamOrigins::kMaxStreams - 1, at(0)).has_value());
  BOOST_TEST(!origins.find(0, at(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(version_history)

// Guards against an instance that takes the only version there is for that of each stream, although
// another one has just left.
BOOST_AUTO_TEST_CASE(version_counts_for_a_while_after_its_last_server)
{
  VersionHistory history(at(0));
  history.setServer(serverOf("a", "v1"), at(0));
  history.setServer(serverOf("b", "v1"), at(0));
  history.setServer(serverOf("c", "v2"), at(1));
  history.removeServer(BackendServerId("a"), at(2));
  BOOST_TEST((history.versions(kService, at(40)) == Versions{ "v1", "v2" }));
  history.removeServer(BackendServerId("b"), at(40));
  BOOST_TEST((history.versions(kService, at(69)) == Versions{ "v1", "v2" }));
  BOOST_TEST((history.versions(kService, at(70)) == Versions{ "v2" }));
}

// Guards against a server that starts again with other software under its id.
BOOST_AUTO_TEST_CASE(server_may_change_its_version)
{
  VersionHistory history(at(0));
  history.setServer(serverOf("a", "v1"), at(0));
  history.setServer(serverOf("a", "v2"), at(1));
  BOOST_TEST((history.versions(kService, at(2)) == Versions{ "v1", "v2" }));
  BOOST_TEST((history.versions(kService, at(31)) == Versions{ "v2" }));
}

// Guards against an entry without a version that counts as another version.
BOOST_AUTO_TEST_CASE(entry_without_a_version_changes_none)
{
  VersionHistory history(at(0));
  history.setServer(serverOf("a", ""), at(0));
  BOOST_TEST((history.versions(kService, at(0)) == Versions{ "" }));
  history.setServer(serverOf("a", "v1"), at(1));
  BOOST_TEST((history.versions(kService, at(1)) == Versions{ "v1" }));
  BOOST_TEST(history.versionOf(serverOf("a", "")) == "v1");
  history.setServer(serverOf("a", ""), at(2));
  BOOST_TEST((history.versions(kService, at(2)) == Versions{ "v1" }));
  auto again = serverOf("a", "");
  again.startTimeMs = 7;
  BOOST_TEST(history.versionOf(again) == "");
}

// Guards against an instance that has just started and takes the only version that it sees for that
// of each stream.
BOOST_AUTO_TEST_CASE(history_before_the_start_is_read_or_unknown)
{
  VersionHistory before(at(0));
  before.setNoPast();
  before.setServer(serverOf("a", "v1"), at(0));
  before.setServer(serverOf("b", "v2"), at(1));
  before.removeServer(BackendServerId("a"), at(2));
  const auto past = before.past(at(3));

  VersionHistory history(at(10));
  history.setServer(serverOf("b", "v2"), at(10));
  BOOST_TEST(!history.isComplete(at(39)));
  BOOST_TEST(history.isComplete(at(40)));
  history.setPast(past, at(10));
  BOOST_TEST(history.isComplete(at(10)));
  BOOST_TEST((history.versions(kService, at(39)) == Versions{ "v1", "v2" }));
  BOOST_TEST((history.versions(kService, at(40)) == Versions{ "v2" }));
}

// Guards against a version whose servers left while all instances were gone.
BOOST_AUTO_TEST_CASE(version_that_was_in_service_at_the_end_counts_from_the_start)
{
  VersionHistory history(at(0));
  history.setPast({ { kService, { "v1" } } }, at(5));
  BOOST_TEST((history.versions(kService, at(34)) == Versions{ "v1" }));
  BOOST_TEST(history.versions(kService, at(35)).empty());
}

// Guards against a record in the store that lacks a version, or names one of long ago.
BOOST_AUTO_TEST_CASE(versions_that_come_or_are_forgotten_are_counted)
{
  VersionHistory history(at(0));
  history.setServer(serverOf("a", "v1"), at(0));
  const auto count = history.changeCount();
  history.setServer(serverOf("a", "v1"), at(1));
  history.setServer(serverOf("b", "v1"), at(1));
  history.removeServer(BackendServerId("a"), at(1));
  history.removeServer(BackendServerId("b"), at(1));
  history.expire(at(30));
  BOOST_TEST(history.changeCount() == count);
  BOOST_TEST((history.past(at(30)) == PastVersions{ { kService, { "v1" } } }));
  history.expire(at(31));
  BOOST_TEST(history.changeCount() == count + 1);
  BOOST_TEST((history.past(at(31)) == PastVersions{ { kService, {} } }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(origin_reply)

BOOST_AUTO_TEST_CASE(origin_that_one_instance_remembers_counts)
{
  const OriginReply unknown{ std::nullopt, false, { "v1", "v2" } };
  const OriginReply known{ originOf("v1"), false, { "v1", "v2" } };
  BOOST_TEST((decideOrigin(kService, { unknown, known }) == originOf("v1")));
  BOOST_TEST(!decideOrigin(kService, { unknown }).has_value());
  BOOST_TEST(!decideOrigin(kService, {}).has_value());
}

// Guards against a stream that is joined, as instances disagree on what began it.
BOOST_AUTO_TEST_CASE(origins_that_contradict_each_other_count_for_nothing)
{
  BOOST_TEST(
    !decideOrigin(kService, { { originOf("v1"), true, { "v1" } }, { originOf("v2"), true, {} } })
       .has_value());
}

// Guards against a version that only one instance knows.
BOOST_AUTO_TEST_CASE(only_version_of_all_instances_is_certain)
{
  const OriginReply complete{ std::nullopt, true, { "v1" } };
  BOOST_TEST((decideOrigin(kService, { complete }) == originOf("v1")));
  BOOST_TEST((decideOrigin(kService, { { std::nullopt, false, {} }, complete }) == originOf("v1")));
  BOOST_TEST(!decideOrigin(kService, { complete, { std::nullopt, false, { "v2" } } }).has_value());
  BOOST_TEST(!decideOrigin(kService, { { std::nullopt, false, { "v1" } } }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
