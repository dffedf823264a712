#include "mustardplank/peer/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace mustardplank;
using namespace mustardplank::peer;

namespace {

pool::RequestInfo
someRequest()
{
  pool::RequestInfo info;
  info.id = RequestId("r1");
  info.pool = PoolId("chat");
  info.model = ModelId("m");
  info.organisation = OrganisationId("authority");
  info.requestClass = ClassId("urgent");
  info.untilDeadline = Millis(-5);
  info.prefixHashes = { 1, 0xffffffffffffffffULL };
  info.repeatable = false;
  info.attempt = 0;
  info.failedServers = { BackendServerId("s1") };
  return info;
}

template<typename T>
T
roundTrip(const T& aMessage)
{
  std::string error;
  const auto decoded = decode(encode(pool::Message(aMessage)), error);
  BOOST_REQUIRE_MESSAGE(decoded.has_value(), error);
  return std::get<T>(std::get<pool::Message>(*decoded));
}

}

BOOST_AUTO_TEST_SUITE(codec)

// Guards against a member that is left out because it equals zero and comes back as its non-zero
// default.
BOOST_AUTO_TEST_CASE(requestKeepsEveryMember)
{
  const auto info = roundTrip(pool::PermitRequest{ someRequest(), std::nullopt }).request;
  BOOST_TEST(info.id.str() == "r1");
  BOOST_TEST(info.untilDeadline.count() == -5000);
  BOOST_TEST(info.prefixHashes == someRequest().prefixHashes);
  BOOST_TEST(!info.repeatable);
  BOOST_TEST(info.attempt == 0U);
  BOOST_TEST(info.failedServers.front().str() == "s1");
}

BOOST_AUTO_TEST_CASE(refusalKeepsCodeAndSpill)
{
  pool::PermitRefuse refuse;
  refuse.code = ErrorCode::InvalidRequest;
  refuse.spillTo = FailureDomainId("fd-b");
  const auto copy = roundTrip(refuse);
  BOOST_TEST((copy.code == ErrorCode::InvalidRequest));
  BOOST_TEST(copy.spillTo->str() == "fd-b");
}

BOOST_AUTO_TEST_CASE(recordsKeepOffsets)
{
  Records records;
  records.entries.push_back(
    { 7, 99, std::make_shared<const nlohmann::json>(nlohmann::json{ { "kind", "x" } }) });
  std::string error;
  const auto decoded = decode(encode(records), error);
  BOOST_REQUIRE(decoded.has_value());
  const auto& entry = std::get<Records>(*decoded).entries.front();
  BOOST_TEST(entry.offset == 7U);
  BOOST_TEST(entry.record->at("kind") == "x");
}

// Guards against a message of a newer version ending the link or the process.
BOOST_AUTO_TEST_CASE(unknownTypesAndFieldsAreTolerated)
{
  std::string error;
  BOOST_TEST(!decode(nlohmann::json::to_cbor({ { "t", "new_thing" } }), error).has_value());
  BOOST_TEST(error == "unknown type new_thing");
  BOOST_TEST(
    decode(nlohmann::json::to_cbor({ { "t", "heartbeat" }, { "zz", 1 } }), error).has_value());
  BOOST_TEST(
    !decode(nlohmann::json::to_cbor({ { "t", "heartbeat" }, { "n", "x" } }), error).has_value());
}

// Guards against input from a damaged or hostile peer that crashes the decoder. Run under the
// sanitizers too.
BOOST_AUTO_TEST_CASE(mutatedInputNeverCrashes)
{
  std::mt19937_64 random(20261204);
  const auto original = encode(pool::Message(pool::PermitRequest{ someRequest(), std::nullopt }));
  std::size_t accepted = 0;
  for (int i = 0; i < 20000; ++i) {
    auto bytes = original;
    for (int n = 0; n < 3; ++n) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    bytes.resize(random() % 8 == 0 ? random() % bytes.size() : bytes.size());
    std::string error;
    accepted += decode(bytes, error).has_value() ? 1 : 0;
  }
  BOOST_TEST(accepted < 20000U);
}

BOOST_AUTO_TEST_SUITE_END()
