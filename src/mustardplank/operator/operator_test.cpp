#include "test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace mustardplank;
using namespace mustardplank::operators;
using namespace mustardplank::operators::test;
using grpc::StatusCode;

// NOLINTBEGIN(readability-identifier-naming): found by argument-dependent lookup under this name
namespace grpc {
static std::ostream&
operator<<(std::ostream& aStream, StatusCode aCode)
{
  return aStream << static_cast<int>(aCode);
}
}
// NOLINTEND(readability-identifier-naming)

namespace {

bool
contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

grpc::Status
listWith(Fixture& aFixture, const std::vector<std::string>& aAuthorizations)
{
  grpc::ClientContext context;
  for (const auto& it : aAuthorizations) {
    context.AddMetadata("authorization", it);
  }
  v1::KeyList list;
  return aFixture.keys()->List(&context, {}, &list);
}

}

BOOST_FIXTURE_TEST_SUITE(operators, Fixture)

// Guards against calls without an operator's token, and against callers who operate.
BOOST_AUTO_TEST_CASE(tokensAreChecked)
{
  BOOST_TEST(listWith(*this, { "Bearer test-token" }).ok());
  BOOST_TEST(listWith(*this, { "Bearer other-token" }).ok());
  const std::vector<std::vector<std::string>> wrong = {
    {},
    { "" },
    { "test-token" },
    { "Bearer " },
    { "Bearer test-toke" },
    { "Bearer test-tokens" },
    { "bearer test-token" },
    { "Bearer wrong", "Bearer test-token" },
    { "Bearer " + sha256Hex(kToken) },
    { "Bearer mp-" + std::string(64, '0') },
  };
  for (const auto& it : wrong) {
    const auto status = listWith(*this, it);
    BOOST_TEST(status.error_code() == StatusCode::UNAUTHENTICATED);
    BOOST_TEST(!status.error_message().empty());
  }
  BOOST_TEST(contains(listWith(*this, wrong.back()).error_message(), "caller key"));
}

// Guards against a caller key that operates because its hash was put into the settings.
BOOST_AUTO_TEST_CASE(callerKeysAreRefusedEvenIfConfigured)
{
  const auto key = "mp-" + std::string(64, '1');
  OperatorServerOptions options;
  options.address = { "127.0.0.1", 0 };
  options.tokens = { { "mistake", sha256Hex(key) } };
  OperatorServer other(options, [](Request) { return false; });
  other.start();
  const auto keys = v1::Keys::NewStub(grpc::CreateChannel(
    "ipv4:127.0.0.1:" + std::to_string(other.port()), grpc::InsecureChannelCredentials()));
  grpc::ClientContext context;
  prepare(context, key);
  v1::KeyList list;
  BOOST_TEST(keys->List(&context, {}, &list).error_code() == StatusCode::UNAUTHENTICATED);
}

BOOST_AUTO_TEST_CASE(objectsAreStoredAndListed)
{
  fill();
  v1::ChangeResult result;
  auto stub = servers();
  require(call(stub, &v1::Servers::Stub::Put, putServer("s1"), result));
  BOOST_TEST(result.revision() > 0U);
  BOOST_TEST(result.in_log());
  BOOST_TEST(!result.repeated());
  v1::ServerList list;
  require(call(stub, &v1::Servers::Stub::List, v1::ListRequest(), list));
  BOOST_REQUIRE(list.servers_size() == 1);
  BOOST_TEST(list.servers(0).address() == "127.0.0.1:9000");
  BOOST_TEST(list.servers(0).slots() == 1U);
  BOOST_TEST(list.servers(0).revision() == result.revision());
  v1::GetRequest get;
  get.set_id("port");
  v1::Organisation organisation;
  auto organisationStub = organisations();
  require(call(organisationStub, &v1::Organisations::Stub::Get, get, organisation));
  BOOST_TEST(organisation.weight() == 1.0);
  get.set_id("nobody");
  const auto missing = call(organisationStub, &v1::Organisations::Stub::Get, get, organisation);
  BOOST_TEST(missing.error_code() == StatusCode::NOT_FOUND);
}

// Guards against a key that is stored or logged, and against one that does not work.
BOOST_AUTO_TEST_CASE(keysAreKeptAsHashesOnly)
{
  fill();
  auto stub = keys();
  v1::KeyResult result;
  require(call(stub, &v1::Keys::Stub::Create, createKey("k1", 'a'), result));
  BOOST_TEST(result.key().substr(0, 3) == "mp-");
  BOOST_TEST(result.key().size() == 67U);
  const auto* key = decisions.state()->findKey(sha256Hex(result.key()));
  BOOST_REQUIRE(key != nullptr);
  BOOST_TEST(key->id.str() == "k1");
  BOOST_TEST(!contains(decisions.logText(), result.key()));
  BOOST_TEST(!contains(decisions.logText(), result.key().substr(3)));
  BOOST_TEST(!contains(decisions.logText(), std::string(64, 'a')));
}

// Guards against a lost answer that leaves a key which nobody knows.
BOOST_AUTO_TEST_CASE(repeatedCreateReturnsTheSameKey)
{
  fill();
  auto stub = keys();
  const auto request = createKey("k1", 'a');
  v1::KeyResult first;
  v1::KeyResult second;
  require(call(stub, &v1::Keys::Stub::Create, request, first));
  require(call(stub, &v1::Keys::Stub::Create, request, second));
  BOOST_TEST(second.key() == first.key());
  BOOST_TEST(second.result().repeated());
  BOOST_TEST(second.result().revision() == first.result().revision());
}

// Guards against an operator who obtains another one's key from the operation id in the log.
BOOST_AUTO_TEST_CASE(repeatWithAnotherSecretReturnsNoKey)
{
  fill();
  auto stub = keys();
  auto request = createKey("k1", 'a');
  v1::KeyResult result;
  require(call(stub, &v1::Keys::Stub::Create, request, result));
  request.set_secret(std::string(64, 'b'));
  result.Clear();
  const auto status = call(stub, &v1::Keys::Stub::Create, request, result);
  BOOST_TEST(status.error_code() == StatusCode::FAILED_PRECONDITION);
  BOOST_TEST(result.key().empty());
  decisions.hidesRepeats = true;
  const auto hidden = call(stub, &v1::Keys::Stub::Create, request, result);
  BOOST_TEST(hidden.error_code() == StatusCode::FAILED_PRECONDITION);
  BOOST_TEST(result.key().empty());
}

BOOST_AUTO_TEST_CASE(rotationReplacesTheKeyAndWithdrawalEndsIt)
{
  fill();
  auto stub = keys();
  v1::KeyResult first;
  require(call(stub, &v1::Keys::Stub::Create, createKey("k1", 'a'), first));
  auto rotate = mutation(v1::RotateKeyRequest());
  rotate.set_key_id("k1");
  rotate.set_secret(std::string(64, 'b'));
  v1::KeyResult second;
  require(call(stub, &v1::Keys::Stub::Rotate, rotate, second));
  BOOST_TEST(second.key() != first.key());
  BOOST_TEST(decisions.state()->findKey(sha256Hex(first.key())) == nullptr);
  BOOST_TEST(decisions.state()->findKey(sha256Hex(second.key())) != nullptr);
  auto withdraw = mutation(v1::WithdrawKeyRequest());
  withdraw.set_key_id("k1");
  v1::ChangeResult result;
  require(call(stub, &v1::Keys::Stub::Withdraw, withdraw, result));
  BOOST_TEST(decisions.state()->findKey(sha256Hex(second.key()))->withdrawn);
  const auto again = call(stub, &v1::Keys::Stub::Rotate, mutation(rotate), second);
  BOOST_TEST(again.error_code() == StatusCode::FAILED_PRECONDITION);
  rotate.set_key_id("nobody");
  const auto unknown = call(stub, &v1::Keys::Stub::Rotate, mutation(rotate), second);
  BOOST_TEST(unknown.error_code() == StatusCode::NOT_FOUND);
}

// Guards against operators who overwrite each other's changes, and against a message that does not
// name the current revision.
BOOST_AUTO_TEST_CASE(conflictsNameTheCurrentRevision)
{
  fill();
  auto stub = organisations();
  v1::ChangeResult result;
  auto request = putOrganisation("port");
  request.mutable_mutation()->set_expected_revision(999);
  auto status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST(status.error_code() == StatusCode::ABORTED);
  const auto revision = decisions.state()->organisations().at(OrganisationId("port")).revision;
  BOOST_TEST(contains(status.error_message(), "revision " + std::to_string(revision)));
  BOOST_TEST(contains(status.error_message(), "not the expected 999"));
  // The answer to a repeat is the first one, also when that was a conflict.
  status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST(status.error_code() == StatusCode::ABORTED);
  request = putOrganisation("port");
  request.mutable_mutation()->set_expected_revision(0);
  status = call(stub, &v1::Organisations::Stub::Put, request, result);
  BOOST_TEST(status.error_code() == StatusCode::ABORTED);
  BOOST_TEST(contains(status.error_message(), "exists already"));
}

BOOST_AUTO_TEST_CASE(missingReferencesAreNamed)
{
  fill();
  auto request = putServer("s1");
  request.mutable_server()->set_pool("nowhere");
  v1::ChangeResult result;
  auto stub = servers();
  const auto status = call(stub, &v1::Servers::Stub::Put, request, result);
  BOOST_TEST(status.error_code() == StatusCode::FAILED_PRECONDITION);
  BOOST_TEST(contains(status.error_message(), "nowhere"));
}

// Guards against a change of a server or failure domain that ends a drain or a withdrawal.
BOOST_AUTO_TEST_CASE(putsKeepWhatHasItsOwnCommand)
{
  fill();
  v1::ChangeResult result;
  auto stub = servers();
  require(call(stub, &v1::Servers::Stub::Put, putServer("s1"), result));
  auto request = mutation(v1::ServerRequest());
  request.set_id("s1");
  require(call(stub, &v1::Servers::Stub::Drain, request, result));
  require(call(stub, &v1::Servers::Stub::Put, putServer("s1"), result));
  const BackendServerId id("s1");
  BOOST_TEST(decisions.state()->servers().at(id).draining);
  require(call(stub, &v1::Servers::Stub::BringBack, mutation(request), result));
  BOOST_TEST(!decisions.state()->servers().at(id).draining);
  require(call(stub, &v1::Servers::Stub::Withdraw, mutation(request), result));
  const auto refused = call(stub, &v1::Servers::Stub::Put, putServer("s1"), result);
  BOOST_TEST(refused.error_code() == StatusCode::FAILED_PRECONDITION);
  BOOST_TEST(decisions.state()->servers().at(id).withdrawn);
  auto domains = failureDomains();
  auto takeOut = mutation(v1::FailureDomainRequest());
  takeOut.set_id("a");
  require(call(domains, &v1::FailureDomains::Stub::TakeOut, takeOut, result));
  require(call(domains, &v1::FailureDomains::Stub::Put, putFailureDomain("a"), result));
  BOOST_TEST(decisions.state()->failureDomains().at(FailureDomainId("a")).out);
  require(call(domains, &v1::FailureDomains::Stub::BringBack, mutation(takeOut), result));
  BOOST_TEST(!decisions.state()->failureDomains().at(FailureDomainId("a")).out);
}

// Guards against a wrong code when the decisions thread does not answer: the tool repeats or not by
// it.
BOOST_AUTO_TEST_CASE(unansweredCallsSayWhatIsKnown)
{
  auto stub = organisations();
  v1::ChangeResult result;
  const auto put = [&] {
    return call(stub, &v1::Organisations::Stub::Put, putOrganisation("port"), result);
  };
  decisions.mode = FakeDecisions::Mode::Refuse;
  BOOST_TEST(put().error_code() == StatusCode::RESOURCE_EXHAUSTED);
  decisions.mode = FakeDecisions::Mode::Drop;
  BOOST_TEST(put().error_code() == StatusCode::UNAVAILABLE);
  decisions.mode = FakeDecisions::Mode::Keep;
  BOOST_TEST(put().error_code() == StatusCode::DEADLINE_EXCEEDED);
  decisions.mode = FakeDecisions::Mode::LogUnavailable;
  const auto status = put();
  BOOST_TEST(status.error_code() == StatusCode::UNAVAILABLE);
  const auto operation = "\"op" + std::to_string(nextOperation - 1) + "\"";
  BOOST_TEST(contains(status.error_message(), operation));
}

// Guards against withdrawals that wait for the log.
BOOST_AUTO_TEST_CASE(withdrawalsWorkWithoutTheLog)
{
  fill();
  decisions.mode = FakeDecisions::Mode::LogUnavailable;
  auto request = mutation(v1::FailureDomainRequest());
  request.set_id("a");
  v1::ChangeResult result;
  auto stub = failureDomains();
  require(call(stub, &v1::FailureDomains::Stub::TakeOut, request, result));
  BOOST_TEST(!result.in_log());
  BOOST_TEST(decisions.state()->failureDomains().at(FailureDomainId("a")).out);
}

// Guards against a daemon that does not stop because an operator waits or watches.
BOOST_AUTO_TEST_CASE(stopEndsWaitingCallsAndWatches)
{
  decisions.mode = FakeDecisions::Mode::Answer;
  grpc::ClientContext context;
  prepare(context);
  auto stub = operations();
  auto reader = stub->Watch(&context, {});
  v1::WatchEvent event;
  BOOST_REQUIRE(reader->Read(&event));
  decisions.mode = FakeDecisions::Mode::Keep;
  std::thread waiting([this] {
    v1::KeyList list;
    auto keyStub = keys();
    const auto status = call(keyStub, &v1::Keys::Stub::List, v1::ListRequest(), list);
    BOOST_CHECK(!status.ok());
  });
  server->stop();
  waiting.join();
  while (reader->Read(&event)) {
  }
  BOOST_TEST(!reader->Finish().ok());
}

BOOST_AUTO_TEST_CASE(watchReportsChangesAndProblems)
{
  fill();
  grpc::ClientContext context;
  prepare(context);
  auto stub = operations();
  auto reader = stub->Watch(&context, {});
  v1::WatchEvent event;
  BOOST_REQUIRE(reader->Read(&event));
  BOOST_TEST(event.kind() == v1::OBJECT_KIND_UNSPECIFIED);
  BOOST_TEST(event.state_revision() == decisions.state()->revision());
  auto request = mutation(v1::FailureDomainRequest());
  request.set_id("a");
  v1::ChangeResult result;
  auto domains = failureDomains();
  require(call(domains, &v1::FailureDomains::Stub::TakeOut, request, result));
  BOOST_REQUIRE(reader->Read(&event));
  BOOST_TEST(event.kind() == v1::OBJECT_KIND_FAILURE_DOMAIN);
  BOOST_TEST(event.change() == v1::WATCH_CHANGE_CHANGED);
  BOOST_TEST(event.id() == "a");
  BOOST_TEST(event.text() == "out");
  BOOST_REQUIRE(reader->Read(&event));
  BOOST_TEST(event.kind() == v1::OBJECT_KIND_PROBLEM);
  BOOST_TEST(event.change() == v1::WATCH_CHANGE_ADDED);
  BOOST_TEST(contains(event.text(), "taken out"));
  context.TryCancel();
  while (reader->Read(&event)) {
  }
}

// Guards against watches that use up the threads which other calls need.
BOOST_AUTO_TEST_CASE(watchesAreBounded)
{
  fill();
  auto stub = operations();
  grpc::ClientContext contexts[3];
  std::vector<std::unique_ptr<grpc::ClientReader<v1::WatchEvent>>> readers;
  v1::WatchEvent event;
  for (int i = 0; i < 3; ++i) {
    prepare(contexts[i]);
    readers.push_back(stub->Watch(&contexts[i], {}));
    BOOST_TEST(readers.back()->Read(&event) == (i < 2));
  }
  BOOST_TEST(readers[2]->Finish().error_code() == StatusCode::RESOURCE_EXHAUSTED);
  v1::KeyList list;
  auto keyStub = keys();
  BOOST_TEST(call(keyStub, &v1::Keys::Stub::List, v1::ListRequest(), list).ok());
  for (int i = 0; i < 2; ++i) {
    contexts[i].TryCancel();
    while (readers[i]->Read(&event)) {
    }
  }
}

// Guards against two producers on the single-producer ring to the decisions thread.
BOOST_AUTO_TEST_CASE(sinkIsCalledByOneThreadAtATime)
{
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([this] {
      auto stub = keys();
      for (int j = 0; j < 50; ++j) {
        v1::KeyList list;
        call(stub, &v1::Keys::Stub::List, v1::ListRequest(), list);
      }
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  BOOST_TEST(decisions.maxInside() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
