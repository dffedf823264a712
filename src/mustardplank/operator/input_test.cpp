#include "field_checks.hpp"
#include "from_proto.hpp"
#include "test_support.hpp"
#include "to_proto.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <google/protobuf/util/message_differencer.h>
#include <grpcpp/generic/generic_stub.h>

#include <algorithm>
#include <limits>
#include <random>

using namespace mustardplank;
using namespace mustardplank::operators;
using namespace mustardplank::operators::test;
using grpc::StatusCode;

namespace {

/// The seed of all random input; change it to try others.
constexpr unsigned kSeed = 20261204;

template<typename Message>
std::vector<std::string>
places(const Message& aMessage)
{
  Findings findings;
  fromProto(aMessage, findings);
  std::vector<std::string> result;
  for (const auto& it : findings.items()) {
    result.push_back(it.place);
  }
  return result;
}

using Places = std::vector<std::string>;

/// Replaces characters and, if aResize, also adds and removes some, which mostly leaves bytes that
/// are no message.
void
mutate(std::string& aBytes, bool aResize, std::mt19937& aRandom)
{
  const int edits = 1 + static_cast<int>(aRandom() % 3);
  for (int i = 0; i < edits; ++i) {
    const auto at = aBytes.empty() ? 0 : aRandom() % aBytes.size();
    // Printable characters leave most strings valid UTF-8, so that more messages pass the parser.
    const auto c = static_cast<char>(aRandom() % 4 == 0 ? aRandom() : 32 + aRandom() % 95);
    switch (aResize ? aRandom() % 3 : 2) {
      case 0:
        aBytes.insert(at, 1, c);
        break;
      case 1:
        aBytes.erase(at, aRandom() % 4);
        break;
      default:
        if (!aBytes.empty()) {
          aBytes[at] = c;
        }
    }
  }
}

/// Sends mutations of aMessage to aMethod and checks that each is answered with a code for wrong
/// input, or accepted.
template<typename Message>
void
sendMutations(Fixture& aFixture, const std::string& aMethod, const Message& aMessage, int aCount)
{
  std::mt19937 random(kSeed);
  grpc::GenericStub stub(aFixture.channel);
  int parsed = 0;
  for (int i = 0; i < aCount; ++i) {
    std::string bytes = aMessage.SerializeAsString();
    mutate(bytes, i % 2 == 0, random);
    parsed += Message().ParseFromString(bytes) ? 1 : 0;
    grpc::ClientContext context;
    Fixture::prepare(context);
    const grpc::Slice slice(bytes);
    const grpc::ByteBuffer request(&slice, 1);
    grpc::ByteBuffer response;
    grpc::CompletionQueue queue;
    const auto call = stub.PrepareUnaryCall(&context, aMethod, request, &queue);
    call->StartCall();
    grpc::Status status;
    call->Finish(&response, &status, nullptr);
    void* tag = nullptr;
    bool ok = false;
    queue.Next(&tag, &ok);
    const StatusCode expected[] = { StatusCode::OK,
                                    StatusCode::INVALID_ARGUMENT,
                                    StatusCode::NOT_FOUND,
                                    StatusCode::FAILED_PRECONDITION,
                                    StatusCode::ABORTED };
    // gRPC itself answers bytes that are no message with INTERNAL.
    const bool notParsed =
      status.error_code() == StatusCode::INTERNAL && !Message().ParseFromString(bytes);
    const bool known = std::find(std::begin(expected), std::end(expected), status.error_code()) !=
                       std::end(expected);
    BOOST_TEST((known || notParsed),
               aMethod << " with seed " << kSeed << ", round " << i << ": "
                       << status.error_message());
  }
  // Otherwise the checks of the fields would hardly be tried.
  BOOST_TEST(parsed > aCount / 10);
}

}

BOOST_AUTO_TEST_SUITE(input)

// Guards against ids that break log lines, metrics labels or command lines.
BOOST_AUTO_TEST_CASE(idsAreNarrow)
{
  BOOST_TEST(isId("a"));
  BOOST_TEST(isId("Assay.report_2-b"));
  BOOST_TEST(isId(std::string(64, 'x')));
  for (const std::string text : { "", "-a", "a b", "a\n", "a\"", "ä", "a/b", "a=b", "$(a)" }) {
    BOOST_TEST(!isId(text), text);
  }
  BOOST_TEST(!isId(std::string(65, 'x')));
  BOOST_TEST(!isId(std::string("a\0b", 3)));
}

// Guards against an operator who corrects one field after the other, and against wrong paths.
BOOST_AUTO_TEST_CASE(allWrongFieldsAreReported)
{
  v1::Organisation organisation;
  organisation.set_weight(-1);
  organisation.set_request_rate(std::numeric_limits<double>::quiet_NaN());
  organisation.set_max_concurrent(2'000'000);
  organisation.add_allowed_classes("a");
  organisation.add_allowed_classes("a");
  organisation.add_allowed_classes("b c");
  organisation.set_default_class("z");
  organisation.set_isolation(static_cast<v1::Isolation>(7));
  BOOST_TEST(places(organisation) == (Places{ "organisation.id",
                                              "organisation.weight",
                                              "organisation.max_concurrent",
                                              "organisation.request_rate",
                                              "organisation.allowed_classes[1]",
                                              "organisation.allowed_classes[2]",
                                              "organisation.default_class",
                                              "organisation.isolation" }),
             boost::test_tools::per_element());
  v1::RequestClass requestClass;
  requestClass.set_id("c");
  requestClass.set_tier(10);
  requestClass.set_first_token_target_ms(0);
  requestClass.set_per_token_target_ms(60'001);
  requestClass.set_min_share(1.01);
  BOOST_TEST(places(requestClass) == (Places{ "request_class.tier",
                                              "request_class.first_token_target_ms",
                                              "request_class.per_token_target_ms",
                                              "request_class.min_share",
                                              "request_class.pools" }),
             boost::test_tools::per_element());
  v1::FailureDomain domain;
  domain.set_id("a");
  domain.set_region("north west");
  BOOST_TEST(places(domain) == Places{ "failure_domain.region" }, boost::test_tools::per_element());
  v1::Pool pool;
  pool.set_id("p");
  pool.set_service("permits");
  pool.set_min_servers(2);
  pool.set_max_servers(1);
  pool.set_regular_floor(3);
  pool.set_cheap_cost_per_hour(-0.1);
  BOOST_TEST(places(pool) == (Places{ "pool.models",
                                      "pool.service",
                                      "pool.min_servers",
                                      "pool.regular_floor",
                                      "pool.cheap_cost_per_hour" }),
             boost::test_tools::per_element());
  v1::BackendServer server;
  server.set_id("s");
  server.set_address("localhost:80");
  server.set_slots(0);
  BOOST_TEST(places(server) == (Places{ "server.failure_domain",
                                        "server.pool",
                                        "server.address",
                                        "server.slots",
                                        "server.cold_slots" }),
             boost::test_tools::per_element());
}

// Guards against a field that one direction of the conversion forgets.
BOOST_AUTO_TEST_CASE(conversionKeepsAllFields)
{
  v1::Organisation organisation;
  organisation.set_id("o");
  organisation.set_weight(2.5);
  organisation.set_max_concurrent(7);
  organisation.set_request_rate(1.5);
  organisation.add_allowed_classes("a");
  organisation.set_default_class("a");
  organisation.set_isolation(v1::ISOLATION_REFUSE);
  v1::RequestClass requestClass;
  requestClass.set_id("c");
  requestClass.set_tier(3);
  requestClass.set_first_token_target_ms(5);
  requestClass.set_per_token_target_ms(6);
  requestClass.set_min_share(0.25);
  requestClass.set_open(true);
  requestClass.set_repeatable(false);
  requestClass.add_pools("p");
  requestClass.add_failure_domains("d");
  v1::Pool pool;
  pool.set_id("p");
  pool.set_kind(v1::POOL_KIND_SERVICE);
  pool.set_service("permits");
  pool.set_min_servers(1);
  pool.set_max_servers(4);
  pool.set_regular_floor(2);
  pool.set_regular_cost_per_hour(3);
  pool.set_cheap_cost_per_hour(0.5);
  v1::BackendServer server;
  server.set_id("s");
  server.set_failure_domain("d");
  server.set_pool("p");
  server.set_kind(v1::SERVER_KIND_CHEAP);
  server.set_address("127.0.0.1:1");
  server.set_slots(9);
  server.set_cold_slots(2);
  server.set_checks_fence(true);
  const auto check = [](const auto& aMessage) {
    Findings findings;
    auto result = aMessage;
    result.Clear();
    toProto(fromProto(aMessage, findings), result);
    BOOST_TEST(findings.text() == "");
    // Proto3 has no difference between false and absent, but shows these of optional fields.
    result.clear_revision();
    auto expected = aMessage;
    expected.clear_revision();
    BOOST_TEST(google::protobuf::util::MessageDifferencer::Equivalent(result, expected),
               result.ShortDebugString());
  };
  check(organisation);
  check(requestClass);
  check(pool);
  check(server);
}

BOOST_FIXTURE_TEST_CASE(findingsReachTheClient, Fixture)
{
  auto request = putServer("s 1");
  request.mutable_server()->set_slots(0);
  request.mutable_mutation()->clear_operation_id();
  v1::ChangeResult result;
  auto stub = servers();
  const auto status = call(stub, &v1::Servers::Stub::Put, request, result);
  BOOST_TEST((status.error_code() == StatusCode::INVALID_ARGUMENT));
  for (const auto* path : { "server.id: ", "server.slots: ", "mutation.operation_id: " }) {
    BOOST_TEST(status.error_message().find(path) != std::string::npos, path);
  }
}

// Guards against a message with thousands of findings that gRPC cannot deliver.
BOOST_FIXTURE_TEST_CASE(longMessagesAreCut, Fixture)
{
  auto request = putOrganisation("o");
  for (int i = 0; i < 256; ++i) {
    request.mutable_organisation()->add_allowed_classes("not valid " + std::to_string(i));
  }
  v1::ChangeResult result;
  auto stub = organisations();
  auto status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST((status.error_code() == StatusCode::INVALID_ARGUMENT));
  BOOST_TEST(status.error_message().size() == 4000U);
  request.mutable_organisation()->add_allowed_classes("x");
  status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST(status.error_message().find("257 entries") != std::string::npos);
}

// Guards against input that passes the checks here and is refused, or worse, by the configuration.
BOOST_FIXTURE_TEST_CASE(mutatedMessagesGetAnAnswer, Fixture)
{
  fill();
  constexpr int kCount = 300;
  sendMutations(*this, "/mustardplank.v1.Organisations/Put", putOrganisation("port"), kCount);
  sendMutations(*this, "/mustardplank.v1.Servers/Put", putServer("s1"), kCount);
  sendMutations(*this, "/mustardplank.v1.Pools/Put", putPool("chat"), kCount);
  sendMutations(*this, "/mustardplank.v1.FailureDomains/Put", putFailureDomain("a"), kCount);
  sendMutations(*this, "/mustardplank.v1.Keys/Create", createKey("k1", 'a'), kCount);
  v1::KeyList list;
  auto stub = keys();
  BOOST_TEST(call(stub, &v1::Keys::Stub::List, v1::ListRequest(), list).ok());
}

// Guards against memory or a crash from bytes that are no gRPC at all.
BOOST_FIXTURE_TEST_CASE(randomBytesDoNotDisturbOtherCalls, Fixture)
{
  std::mt19937 random(kSeed);
  boost::asio::io_context context;
  const auto address = boost::asio::ip::make_address("127.0.0.1");
  for (int i = 0; i < 50; ++i) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({ address, server->port() });
    // Every other connection starts like a valid one.
    std::string bytes = i % 2 == 0 ? "" : "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    for (int j = 0; j < 500; ++j) {
      bytes += static_cast<char>(random());
    }
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
  }
  v1::KeyList list;
  auto stub = keys();
  BOOST_TEST(call(stub, &v1::Keys::Stub::List, v1::ListRequest(), list).ok());
}

BOOST_FIXTURE_TEST_CASE(tooLargeMessagesAreRefused, Fixture)
{
  auto request = putOrganisation("o");
  request.mutable_organisation()->set_default_class(std::string(300 * 1024, 'x'));
  v1::ChangeResult result;
  auto stub = organisations();
  const auto status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST((status.error_code() == StatusCode::RESOURCE_EXHAUSTED));
}

BOOST_AUTO_TEST_SUITE_END()
