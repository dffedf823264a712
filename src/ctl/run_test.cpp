#include "run.hpp"

#include "mustardplank/operator/test_support.hpp"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <sstream>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::ctl;
using operators::test::FakeDecisions;

namespace {

struct CtlFixture : operators::test::Fixture
{
  CtlFixture()
  {
    environment["MUSTARDPLANK_SERVER"] = address();
    environment["MUSTARDPLANK_TOKEN"] = operators::test::kToken;
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(server->port()); }

  /// Runs a command line given as text and returns its exit code.
  int ctl(const std::string& aLine)
  {
    std::vector<std::string> words;
    std::istringstream stream(aLine);
    std::string word;
    while (stream >> word) {
      words.push_back(word);
    }
    std::ostringstream outStream;
    std::ostringstream errorStream;
    const auto code = run(words, environment, outStream, errorStream);
    out = outStream.str();
    errors = errorStream.str();
    return static_cast<int>(code);
  }

  bool printed(const std::string& aText) const { return out.find(aText) != std::string::npos; }
  bool noted(const std::string& aText) const { return errors.find(aText) != std::string::npos; }

  Environment environment;
  std::string out;
  std::string errors;
};

}

BOOST_FIXTURE_TEST_SUITE(runCommands, CtlFixture)

// The way from an empty deployment to a working key, with only the commands.
BOOST_AUTO_TEST_CASE(aDeploymentCanBeSetUp)
{
  for (const auto* line : {
         "failure-domain put fd-a --region north",
         "pool put reports --model writer-1 --max-servers 8",
         "class put report --tier 1 --pool reports",
         "organisation put bramwell --class report --default-class report",
         "server put writer-7 --pool reports --failure-domain fd-a --address 127.0.0.1:9000 "
         "--slots 16 --cold-slots 2",
       }) {
    BOOST_TEST(ctl(line) == 0, line << ": " << errors);
    BOOST_TEST(printed("created, revision "));
  }
  BOOST_TEST(ctl("key create b1 --organisation bramwell") == 0);
  BOOST_TEST(printed("mp-"));
  BOOST_TEST(ctl("key rotate b1") == 0);
  const auto at = out.find("mp-");
  BOOST_REQUIRE(at != std::string::npos);
  BOOST_TEST(decisions.state()->findKey(sha256Hex(out.substr(at, 67))) != nullptr);
  BOOST_TEST(ctl("key list --organisation bramwell") == 0);
  BOOST_TEST(printed("b1   bramwell      in force"));
  BOOST_TEST(ctl("key list --organisation authority") == 0);
  BOOST_TEST(printed("There are no keys."));
  BOOST_TEST(ctl("key withdraw b1") == 0);
  BOOST_TEST(printed("key b1 withdrawn, revision "));
  BOOST_TEST(ctl("server drain writer-7") == 0);
  BOOST_TEST(ctl("status") == 0);
  BOOST_TEST(printed("try: mustardplankctl server bring-back writer-7"));
  BOOST_TEST(ctl("server bring-back writer-7") == 0);
  BOOST_TEST(ctl("server list --pool reports --failure-domain fd-a") == 0);
  BOOST_TEST(printed("in service"));
  BOOST_TEST(ctl("failure-domain take-out fd-a") == 0);
  BOOST_TEST(ctl("failure-domain list") == 0);
  BOOST_TEST(printed("out"));
  BOOST_TEST(ctl("failure-domain bring-back fd-a") == 0);
  for (const auto* line : { "organisation list",
                            "organisation show bramwell",
                            "class list",
                            "pool list",
                            "instances",
                            "top --count 1" }) {
    BOOST_TEST(ctl(line) == 0, line << ": " << errors);
  }
}

// Guards against a change of one value that resets the others.
BOOST_AUTO_TEST_CASE(putChangesOnlyWhatIsGiven)
{
  fill();
  BOOST_TEST(ctl("class put urgent --tier 3 --repeatable no") == 0);
  BOOST_TEST(ctl("class put urgent --min-share 0.5") == 0);
  BOOST_TEST(printed("class urgent changed"));
  const auto& object = decisions.state()->classes().at(ClassId("urgent"));
  BOOST_TEST(object.tier == 3U);
  BOOST_TEST(!object.repeatable);
  BOOST_TEST(object.minShare == 0.5);
  BOOST_TEST(object.pools.size() == 1U);
  BOOST_TEST(ctl("class put urgent") == 2);
  BOOST_TEST(noted("no option says what to change"));
}

// Guards against a withdrawn server that a change of its slots returns to service by mistake.
BOOST_AUTO_TEST_CASE(withdrawnServerNeedsItsRevisionToReturn)
{
  fill();
  BOOST_TEST(ctl("server put s1 --pool chat --failure-domain a --address 127.0.0.1:9000") == 0);
  BOOST_TEST(ctl("server withdraw s1") == 0);
  BOOST_TEST(ctl("server put s1 --slots 2") == 1);
  BOOST_TEST(decisions.state()->servers().at(BackendServerId("s1")).withdrawn);
  const auto revision = decisions.state()->servers().at(BackendServerId("s1")).revision;
  BOOST_TEST(noted(std::to_string(revision)));
  BOOST_TEST(ctl("server put s1 --slots 2 --expected-revision " + std::to_string(revision)) == 0);
  BOOST_TEST(!decisions.state()->servers().at(BackendServerId("s1")).withdrawn);
}

BOOST_AUTO_TEST_CASE(exitCodesTellWhatHappened)
{
  fill();
  BOOST_TEST(ctl("organisation put port --weight 0") == 1);
  BOOST_TEST(noted("organisation.weight: 0 is out of range"), errors);
  BOOST_TEST(ctl("organisation show nobody") == 1);
  BOOST_TEST(ctl("organisation put port --weight x") == 2);
  BOOST_TEST(ctl("organisation put port --weight 2 --expected-revision 999") == 4);
  BOOST_TEST(noted("not the expected 999"));
  BOOST_TEST(ctl("organisation put port --weight 2 --expected-revision 0") == 4);
  BOOST_TEST(ctl("key create k1") == 2);
  BOOST_TEST(noted("--organisation"));
  environment["MUSTARDPLANK_TOKEN"] = "wrong";
  BOOST_TEST(ctl("status") == 1);
  BOOST_TEST(noted("unknown operator token"));
  environment["MUSTARDPLANK_TOKEN"] = "two words";
  BOOST_TEST(ctl("status") == 2);
  environment.clear();
  BOOST_TEST(ctl("status --server localhost:1 --timeout 0 --token-file /nowhere") == 2);
  BOOST_TEST(noted("\"localhost:1\" is no address"));
  BOOST_TEST(noted("\"/nowhere\" cannot be read"));
  BOOST_TEST(noted("--timeout"));
}

// Guards against an operator who is left without an instance to ask while one is down.
BOOST_AUTO_TEST_CASE(theNextInstanceIsTried)
{
  fill();
  // Nothing listens on port 1.
  BOOST_TEST(ctl("key list --server 127.0.0.1:1," + address()) == 0);
  BOOST_TEST(noted("127.0.0.1:1: "));
  BOOST_TEST(ctl("key list --server 127.0.0.1:1 --timeout 0.5") == 3);
}

// Guards against a change that is made twice, or reported as failed, after a lost answer.
BOOST_AUTO_TEST_CASE(lostAnswersAreResolvedByTheOperationId)
{
  fill();
  BOOST_TEST(ctl("organisation put port --weight 2 --operation-id mine") == 0);
  const auto revision = decisions.state()->organisations().at(OrganisationId("port")).revision;
  BOOST_TEST(ctl("organisation put port --weight 2 --operation-id mine") == 0);
  BOOST_TEST(printed("had been done before"));
  BOOST_TEST(decisions.state()->organisations().at(OrganisationId("port")).revision == revision);
}

// The fake keeps the first call unanswered, as if its answer was lost, and answers the repeat.
BOOST_AUTO_TEST_CASE(unansweredCallsAreRepeated)
{
  fill();
  decisions.mode = FakeDecisions::Mode::Keep;
  std::thread later([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    decisions.mode = FakeDecisions::Mode::Answer;
  });
  BOOST_TEST(ctl("failure-domain take-out a --timeout 20") == 0);
  later.join();
  BOOST_TEST(noted("repeating the same call"));
  decisions.mode = FakeDecisions::Mode::LogUnavailable;
  BOOST_TEST(ctl("failure-domain bring-back a --timeout 0.5 --operation-id xyz") == 3);
  BOOST_TEST(noted("the log cannot be reached"));
  BOOST_TEST(noted("--operation-id xyz"));
  BOOST_TEST(ctl("failure-domain take-out b --timeout 0.5") == 0);
  BOOST_TEST(printed("not in the log yet"));
  BOOST_TEST(ctl("key create k9 --organisation port --timeout 0.5") == 3);
  BOOST_TEST(noted("mustardplankctl key rotate k9"));
}

BOOST_AUTO_TEST_CASE(jsonIsValid)
{
  fill();
  for (const auto* line : { "organisation list --json",
                            "organisation show port --json",
                            "failure-domain take-out b --json",
                            "status --json",
                            "key create k1 --organisation port --json",
                            "key list --json" }) {
    BOOST_TEST(ctl(line) == 0, line);
    BOOST_TEST(nlohmann::json::accept(out), out);
  }
  BOOST_TEST(nlohmann::json::parse(out)["keys"][0]["withdrawn"] == false);
}

BOOST_AUTO_TEST_CASE(watchPrintsChanges)
{
  fill();
  std::thread change([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    v1::ChangeResult result;
    auto request = mutation(v1::FailureDomainRequest());
    request.set_id("a");
    auto stub = failureDomains();
    require(call(stub, &v1::FailureDomains::Stub::TakeOut, request, result));
  });
  BOOST_TEST(ctl("watch --count 2") == 0);
  change.join();
  BOOST_TEST(printed("failure-domain  changed  a  out"));
  BOOST_TEST(printed("instance a1 reports changes after revision "));
  environment["MUSTARDPLANK_TOKEN"] = "wrong";
  BOOST_TEST(ctl("watch") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
