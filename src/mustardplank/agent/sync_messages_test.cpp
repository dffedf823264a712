#include "mustardplank/agent/directory.hpp"
#include "mustardplank/agent/sync_messages.hpp"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace mustardplank;
using namespace mustardplank::agent;

namespace {

const dispatch::CrashReport kCrash{ 0xffffffffffffffffULL,          BackendServerId("s"), 1, 2, 3,
                                    dispatch::DigestSharing::Common };

SyncReply
fullReply()
{
  SyncReply reply;
  reply.agent = InstanceId("a");
  reply.incarnation = 77;
  reply.storeLost = true;
  reply.held = Millis(250);
  reply.operators =
    LogReply{ { true, { { 4, "config", std::string("\0\xff text", 7) } }, 9 }, Millis(40) };
  reply.servers = LogReply{ { false, { { 5, "gone", std::nullopt } }, 12 }, Millis(700) };
  reply.published[5] = 6;
  reply.crashes.push_back(kCrash);
  reply.crashesSeen = 3;
  BoardDigest digest;
  digest.instances = 195;
  digest.needs[route::ServiceId("svc")] = { 1.5, 2.5 };
  digest.holder = BoardDigest::Holder{ 8, true, Millis(900) };
  digest.allowances[route::ServiceId("svc")].issuedAtMs = 6;
  reply.digest = digest;
  reply.reached.emplace_back("b");
  reply.agents = AgentList{ { InstanceId("a"), "10.0.0.1:7200" } };
  reply.directoryEnd = 31;
  reply.domainInstances = 40;
  reply.peers = { { InstanceId("p"), "10.0.0.2:7200" } };
  return reply;
}

std::string
encoded(const SyncReply& aReply)
{
  return encodeReply(aReply,
                     { encodePart(aReply.operators->part), encodePart(aReply.servers->part) });
}

}

BOOST_AUTO_TEST_SUITE(sync_messages)

BOOST_AUTO_TEST_CASE(request_round_trips)
{
  SyncRequest request;
  request.instance = InstanceId("i");
  request.domain = FailureDomainId("d");
  request.serversNext = 17;
  request.agentIncarnation = 77;
  request.crashesSeen = 2;
  request.directoryEnd = 4;
  request.maxHold = Millis(800);
  request.wantsPeers = true;
  request.updates = { std::string("\0\xff", 2) };
  Findings findings;
  const auto decoded = decodeRequest(encodeRequest(request), findings);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->instance.str() == "i");
  BOOST_TEST(decoded->domain.str() == "d");
  BOOST_TEST(!decoded->operatorsNext.has_value());
  BOOST_TEST(decoded->serversNext.value() == 17U);
  BOOST_TEST(decoded->agentIncarnation == 77U);
  BOOST_TEST(decoded->crashesSeen == 2U);
  BOOST_TEST(decoded->directoryEnd == 4U);
  BOOST_TEST((decoded->maxHold == Millis(800)));
  BOOST_TEST(decoded->wantsPeers);
  BOOST_TEST(decoded->updates.at(0) == std::string("\0\xff", 2));
}

BOOST_AUTO_TEST_CASE(reply_round_trips)
{
  Findings findings;
  const auto decoded = decodeReply(encoded(fullReply()), findings);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->agent.str() == "a");
  BOOST_TEST(decoded->storeLost);
  BOOST_TEST(!decoded->leaving);
  BOOST_TEST((decoded->held == Millis(250)));
  BOOST_TEST(decoded->operators->part.full);
  BOOST_TEST(decoded->operators->part.records.at(0).value.value() == std::string("\0\xff text", 7));
  BOOST_TEST((decoded->operators->age == Millis(40)));
  BOOST_TEST(!decoded->servers->part.records.at(0).value.has_value());
  BOOST_TEST(decoded->servers->part.next == 12U);
  BOOST_TEST(decoded->published.at(5) == 6U);
  BOOST_TEST(decoded->crashes.at(0).digest == 0xffffffffffffffffULL);
  BOOST_TEST((decoded->crashes.at(0) == kCrash));
  BOOST_TEST(decoded->crashesSeen == 3U);
  BOOST_TEST(decoded->digest->instances == 195U);
  BOOST_TEST(decoded->digest->needs.at(route::ServiceId("svc")).longTokensPerMs == 2.5);
  BOOST_TEST(decoded->digest->holder->claimsLogEnd == 8U);
  BOOST_TEST(decoded->digest->holder->leaving);
  BOOST_TEST(decoded->digest->allowances.at(route::ServiceId("svc")).issuedAtMs == 6);
  BOOST_TEST(decoded->reached.at(0).str() == "b");
  BOOST_TEST(decoded->agents->at(0).address == "10.0.0.1:7200");
  BOOST_TEST(decoded->directoryEnd == 31U);
  BOOST_TEST(decoded->domainInstances == 40U);
  BOOST_TEST(decoded->peers.at(0).instance.str() == "p");
}

// A configuration of thousands of routes takes a tenth of its size on the way.
BOOST_AUTO_TEST_CASE(large_parts_are_compressed)
{
  std::string config;
  for (int i = 0; i < 2000; ++i) {
    config += R"({"name":"r-)" + std::to_string(i * 7919) + R"(","hostname":"test.example"},)";
  }
  LogPart part{ true, { { 4, "config", config } }, 9 };
  const auto bytes = encodePart(part);
  BOOST_TEST(bytes.size() < config.size() / 5);
  SyncReply reply;
  reply.agent = InstanceId("a");
  reply.operators = LogReply{};
  Findings findings;
  const auto decoded = decodeReply(encodeReply(reply, { bytes, {} }), findings);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->operators->part.records.at(0).value.value() == config);
}

// Guards against malformed bytes of another instance that end the process or count as knowledge.
BOOST_AUTO_TEST_CASE(malformed_messages_are_rejected_with_a_finding)
{
  const auto bytes = encoded(fullReply());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    Findings findings;
    BOOST_TEST(!decodeReply(bytes.substr(0, size), findings).has_value());
    BOOST_TEST(!findings.empty());
  }
  std::mt19937 random(1);
  for (int i = 0; i < 20000; ++i) {
    auto changed = bytes;
    changed[random() % changed.size()] = static_cast<char>(random());
    Findings findings;
    decodeReply(changed, findings);
    decodeRequest(changed, findings);
  }
}

// Guards against a message or a record of agents that is nested deeper than the stack is large and
// ends the process.
BOOST_AUTO_TEST_CASE(deeply_nested_messages_are_rejected_with_a_finding)
{
  for (const char it : { '\x81', '\x9f', '\x7f' }) {
    const auto bytes = "\xa1\x61p" + std::string(1000000, it);
    Findings findings;
    BOOST_TEST(!decodeRequest(bytes, findings).has_value());
    BOOST_TEST(!decodeReply(bytes, findings).has_value());
    BOOST_TEST(!decodeAgents(bytes, findings).has_value());
    BOOST_TEST(findings.size() == 3U);
  }
}

// Guards against a short reply that takes the memory of the process when it is expanded.
BOOST_AUTO_TEST_CASE(reply_with_a_part_that_expands_without_end_is_rejected)
{
  auto reply = fullReply();
  reply.servers->part.records = { { 5, "long", std::string(20'000'000, 'a') } };
  const auto bytes = encoded(reply);
  BOOST_TEST(bytes.size() < 1'000'000U);
  Findings findings;
  BOOST_TEST(!decodeReply(bytes, findings).has_value());
}

// Guards against limits below what a large deployment needs.
BOOST_AUTO_TEST_CASE(reply_with_the_entries_of_ten_thousand_servers_is_read)
{
  auto reply = fullReply();
  reply.servers->part.records.clear();
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    reply.servers->part.records.push_back(
      { i, "server-" + std::to_string(i), std::string(350, 'a') });
  }
  Findings findings;
  const auto read = decodeReply(encoded(reply), findings);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->servers->part.records.size() == 10'000U);
}

BOOST_AUTO_TEST_SUITE_END()
