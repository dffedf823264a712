#include "mustardplank/agent/crash_exchange.hpp"
#include "mustardplank/agent/load_messages.hpp"
#include "mustardplank/agent/stream_exchange.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace mustardplank;
using namespace mustardplank::agent;
using dispatch::OriginReply;
using dispatch::StreamOrigin;

namespace {

const route::ServiceId kService("llm");

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

std::vector<StreamMessage>
messages()
{
  return { StreamNotes{ { { 1, { kService, "v1" } }, { ~0ULL, { kService, "v1" } } } },
           StreamQuery{ 7, 9, kService },
           StreamQuery{ 8, std::nullopt, kService },
           StreamReply{ 7, { StreamOrigin{ kService, "v2" }, true, { "v1", "v2" } } },
           StreamReply{ 8, { std::nullopt, false, {} } } };
}

struct Result
{
  int calls = 0;
  std::vector<OriginReply> replies;
};

StreamExchange::Done
into(Result& aResult)
{
  return [&aResult](std::vector<OriginReply> aReplies) {
    ++aResult.calls;
    aResult.replies = std::move(aReplies);
  };
}

}

BOOST_AUTO_TEST_SUITE(stream_exchange)

BOOST_AUTO_TEST_CASE(messages_are_decoded_as_encoded)
{
  for (const auto& it : messages()) {
    Findings findings;
    const auto bytes = encodeStreamMessage(it);
    BOOST_TEST(isStreamMessage(bytes));
    BOOST_TEST(!isCrashNotes(bytes));
    const auto decoded = decodeStreamMessage(bytes, findings);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == it));
  }
}

// Guards against notes that builds before this one cannot read while instances are replaced.
BOOST_AUTO_TEST_CASE(notes_are_encoded_as_by_earlier_builds)
{
  const std::string bytes("\x82\x11\x82\x01\x81\x83\x63llm\x62v1\x82\x01\x1b"
                          "\xff\xff\xff\xff\xff\xff\xff\xff",
                          24);
  BOOST_TEST(encodeStreamMessage(messages().front()) == bytes);
}

// Guards against a process that ends at bytes of an unknown sender.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused)
{
  std::mt19937 random(1);
  for (const auto& it : messages()) {
    const auto bytes = encodeStreamMessage(it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      Findings findings;
      BOOST_TEST(!decodeStreamMessage(bytes.substr(0, n), findings).has_value());
      BOOST_TEST(!findings.empty());
    }
    for (int i = 0; i < 5000; ++i) {
      auto changed = bytes;
      changed[random() % changed.size()] = static_cast<char>(random());
      Findings findings;
      decodeStreamMessage(changed, findings);
    }
  }
}

// Guards against datagrams that networks do not carry whole.
BOOST_AUTO_TEST_CASE(notes_go_together_to_each_recipient)
{
  constexpr int kNotes = 250;
  std::vector<std::pair<dispatch::StreamKey, StreamOrigin>> streams;
  for (int i = 0; i < kNotes; ++i) {
    streams.emplace_back(~std::uint64_t(i), StreamOrigin{ kService, "v1" });
  }
  const auto sent = makeStreamNotes(streams, { "a:1", "b:1" });
  BOOST_TEST(sent.size() == 6U);
  std::size_t notes = 0;
  for (const auto& it : sent) {
    BOOST_TEST(it.bytes.size() < 1400U);
    Findings findings;
    const auto message = decodeStreamMessage(it.bytes, findings).value();
    notes += std::get<StreamNotes>(message).streams.size();
  }
  BOOST_TEST(notes == 2U * kNotes);
}

// Guards against streams that nobody knows once all instances of their failure domain are lost, and
// against notes that go to every agent of a large fleet.
BOOST_AUTO_TEST_CASE(notes_leave_the_failure_domain)
{
  const auto recipients = [](const Directory& aDirectory, const char* aInstance, char aDomain) {
    return noteRecipients(
      aDirectory, InstanceId(aInstance), FailureDomainId(std::string(1, aDomain)));
  };
  using Addresses = std::vector<std::string>;
  Directory fleet;
  for (const char domain : { 'a', 'b', 'c', 'd', 'e' }) {
    const std::string name(1, domain);
    fleet.domains[FailureDomainId(name)] = { { InstanceId(name + "1"), name + ":1" },
                                             { InstanceId(name + "2"), name + ":2" } };
  }
  fleet.domains[FailureDomainId("c")].clear();
  BOOST_TEST((recipients(fleet, "a1", 'a') == Addresses{ "a:2", "b:1", "b:2", "d:1", "d:2" }));
  BOOST_TEST(
    (recipients(fleet, "e9", 'e') == Addresses{ "e:1", "e:2", "a:1", "a:2", "b:1", "b:2" }));
  BOOST_TEST((recipients(fleet, "x1", 'x') == Addresses{ "a:1", "a:2", "b:1", "b:2" }));
  Directory lone;
  lone.domains[FailureDomainId("a")] = { { InstanceId("a1"), "a:1" } };
  BOOST_TEST(recipients(lone, "a1", 'a').empty());
  BOOST_TEST(recipients({}, "a1", 'a').empty());
}

// Replays the load of a release of two versions in which everybody but one failure domain is lost:
// each stream of the fleet is known there.
BOOST_AUTO_TEST_CASE(streams_of_three_domains_are_known_in_each)
{
  Directory fleet;
  for (const auto* name : { "giza", "maadi", "shubra" }) {
    fleet.domains[FailureDomainId(name)] = { { InstanceId(name), std::string(name) + ":1" } };
  }
  constexpr std::uint64_t kStreams = 300;
  std::map<std::string, dispatch::StreamOrigins> known;
  std::uint64_t stream = 0;
  for (const auto& [domain, agents] : fleet.domains) {
    for (std::uint64_t i = 0; i < kStreams; ++i) {
      const auto recipients = noteRecipients(fleet, agents.front().instance, domain);
      for (const auto& it : makeStreamNotes({ { ++stream, { kService, "v1" } } }, recipients)) {
        Findings findings;
        const auto message = decodeStreamMessage(it.bytes, findings).value();
        for (const auto& [key, origin] : std::get<StreamNotes>(message).streams) {
          known[it.address].record(key, origin, at(0));
        }
      }
    }
  }
  BOOST_TEST(known.size() == 3U);
  for (const auto& [address, streams] : known) {
    BOOST_TEST(streams.size() == 2 * kStreams, address);
  }
}

BOOST_AUTO_TEST_CASE(query_ends_with_the_first_origin_or_the_last_reply)
{
  StreamExchange exchange;
  Result first;
  Result second;
  exchange.ask(7, kService, { "a:1", "b:1" }, at(0), into(first));
  exchange.ask(8, kService, { "a:1", "b:1" }, at(0), into(second));
  BOOST_TEST(exchange.takeDue(at(0)).size() == 4U);
  exchange.receive({ 1, { StreamOrigin{ kService, "v1" }, false, {} } }, "b:1");
  BOOST_TEST(first.calls == 1);
  exchange.receive({ 2, { std::nullopt, true, { "v1" } } }, "a:1");
  // Not asked, and not again.
  exchange.receive({ 2, { std::nullopt, true, { "v9" } } }, "c:1");
  exchange.receive({ 2, { std::nullopt, true, { "v9" } } }, "a:1");
  BOOST_TEST(second.calls == 0);
  exchange.receive({ 2, { std::nullopt, true, { "v1" } } }, "b:1");
  BOOST_TEST(second.calls == 1);
  BOOST_TEST(second.replies.size() == 2U);
  BOOST_TEST(!exchange.nextAt().has_value());
}

// Guards against a caller that waits for an agent that is gone.
BOOST_AUTO_TEST_CASE(query_ends_in_time)
{
  StreamExchange exchange;
  Result result;
  exchange.ask(7, kService, { "a:1", "b:1" }, at(0), into(result));
  exchange.takeDue(at(0));
  exchange.receive({ 1, { std::nullopt, true, { "v1" } } }, "a:1");
  BOOST_TEST_REQUIRE(exchange.nextAt().has_value());
  BOOST_TEST((*exchange.nextAt() <= at(100)));
  exchange.takeDue(*exchange.nextAt());
  BOOST_TEST(result.calls == 1);
  BOOST_TEST(result.replies.size() == 1U);
  exchange.receive({ 1, { std::nullopt, true, { "v1" } } }, "b:1");
  BOOST_TEST(result.calls == 1);
}

BOOST_AUTO_TEST_CASE(query_without_agents_ends_at_once)
{
  StreamExchange exchange;
  Result result;
  exchange.ask(7, kService, {}, at(0), into(result));
  BOOST_TEST(result.calls == 1);
  BOOST_TEST(!exchange.nextAt().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
