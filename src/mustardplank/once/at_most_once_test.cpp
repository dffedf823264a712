#include "mustardplank/once/at_most_once.hpp"

#include "mustardplank/base/hash.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::once;
using platform::Failure;
using platform::FailureKind;

namespace {

TimePoint
at(double aSeconds)
{
  return TimePoint(Duration(static_cast<std::int64_t>(aSeconds * 1e6)));
}

/// An instance whose effects are collected.
struct Instance
{
  AtMostOnce once;
  Effects effects;
  explicit Instance(const std::string& aName, std::uint64_t aIncarnation = 1)
    : once(options(aName, aIncarnation))
  {
  }
  explicit Instance(Options aOptions)
    : once(std::move(aOptions))
  {
  }

  static Options options(const std::string& aName, std::uint64_t aIncarnation = 1)
  {
    Options options;
    options.instance = InstanceId(aName);
    options.incarnation = aIncarnation;
    return options;
  }
  void take(Effects aEffects)
  {
    std::move(aEffects.begin(), aEffects.end(), std::back_inserter(effects));
  }
  void begin(const std::string& aId, double aSeconds, const std::string& aBody = "body")
  {
    take(once.begin({ RequestId(aId), OrganisationId("port"), "key", sha256Hex(aBody) },
                    at(aSeconds)));
  }
  void finish(const std::string& aId,
              double aSeconds,
              Execution aExecution = Execution::Known,
              const std::string& aBody = "permit 7")
  {
    take(once.outcome({ RequestId(aId), aExecution, { 201, "text/plain", aBody } }, at(aSeconds)));
  }
  void tick(double aSeconds) { take(once.tick(at(aSeconds))); }

  template<typename T>
  std::vector<T> takeAll()
  {
    std::vector<T> found;
    for (const auto& it : effects) {
      if (const auto* effect = std::get_if<T>(&it)) {
        found.push_back(*effect);
      }
    }
    std::erase_if(effects,
                  [](const Effect& aEffect) { return std::holds_alternative<T>(aEffect); });
    return found;
  }
  /// The answer to the request, as text; empty if there is none yet.
  std::string answer(const std::string& aId)
  {
    for (const auto& it : effects) {
      const auto* decision = std::get_if<Decision>(&it);
      if (decision != nullptr && decision->id.str() == aId) {
        return std::string(kAnswerNames.name(decision->answer));
      }
    }
    return "";
  }
};

struct Log
{
  std::vector<LogEntry> entries;

  void append(const Append& aAppend)
  {
    for (const auto& it : aAppend.records) {
      entries.push_back(
        { entries.size(), 0, std::make_shared<const nlohmann::json>(nlohmann::json::parse(it)) });
    }
  }
  void appendAll(Instance& aInstance)
  {
    for (const auto& it : aInstance.takeAll<Append>()) {
      append(it);
    }
  }
  void read(Instance& aInstance, double aSeconds) const
  {
    for (const auto& it : entries) {
      aInstance.take(aInstance.once.apply(it, at(aSeconds)));
    }
  }
};

struct Two
{
  Log log;
  Instance x{ "x" };
  Instance y{ "y" };
  void read(double aSeconds)
  {
    log.read(x, aSeconds);
    log.read(y, aSeconds);
  }
};

}

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_FIXTURE_TEST_CASE(runsAfterIntentWasReadBack, Two)
{
  x.begin("r", 0);
  BOOST_TEST(x.answer("r") == "");
  log.appendAll(x);
  read(0.1);
  BOOST_TEST(x.answer("r") == "run");
  read(0.2);
  BOOST_TEST(x.takeAll<Decision>().size() == 1U);
}

// Guards against two instances both running the same request.
BOOST_FIXTURE_TEST_CASE(firstInLogRunsAndOtherReplays, Two)
{
  x.begin("r1", 0);
  y.begin("r2", 0);
  log.appendAll(y);
  log.appendAll(x);
  read(0.1);
  BOOST_TEST(y.answer("r2") == "run");
  BOOST_TEST(x.answer("r1") == "");
  y.finish("r2", 1);
  BOOST_TEST(y.takeAll<Stored>().empty());
  log.appendAll(y);
  read(1.1);
  BOOST_TEST(y.takeAll<Stored>().size() == 1U);
  const auto replayed = x.takeAll<Decision>();
  BOOST_REQUIRE(replayed.size() == 1U);
  BOOST_CHECK(replayed[0].answer == Answer::Replay);
  BOOST_TEST(replayed[0].response.body == "permit 7");
  BOOST_TEST(replayed[0].response.httpStatus == 201U);
}

// Guards against a key reused for another request getting the first one's answer.
BOOST_FIXTURE_TEST_CASE(otherBodyIsConflict, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(0.1);
  y.begin("r2", 1, "other");
  BOOST_TEST(y.answer("r2") == "conflict");
}

// Guards against "not run" being said of a request whose lost intent runs after all.
BOOST_FIXTURE_TEST_CASE(voidIntentNeverRuns, Two)
{
  x.begin("r1", 0);
  x.tick(5.1);
  BOOST_TEST(x.answer("r1") == "log_unavailable");
  log.appendAll(x);
  read(6);
  BOOST_TEST(x.takeAll<Decision>().size() == 1U);
}

// Guards against a process that was frozen before reading its intent back running it late.
BOOST_FIXTURE_TEST_CASE(intentReadTooLateDoesNotRun, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(100);
  BOOST_TEST(x.answer("r1") == "log_unavailable");
}

// Guards against a void intent blocking its key: the sender records that it did not run.
BOOST_FIXTURE_TEST_CASE(voidIntentFreesKey, Two)
{
  x.begin("r1", 0);
  x.tick(5.1);
  log.appendAll(x);
  read(6);
  y.begin("r2", 7);
  BOOST_TEST(y.answer("r2") == "");
  x.tick(7);
  log.appendAll(x);
  read(8);
  log.appendAll(y);
  read(9);
  BOOST_TEST(y.answer("r2") == "run");
}

// Guards against a refusal "not run" that a killed process makes false: its intent stays, and
// nobody can tell whether it ran.
BOOST_FIXTURE_TEST_CASE(killedHolderLeavesUnknown, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(0.1);
  Instance again("x", 2);
  log.read(again, 2);
  again.tick(3);
  BOOST_TEST(again.takeAll<Append>().empty());
  again.begin("r1", 3);
  again.tick(61.9);
  BOOST_TEST(again.answer("r1") == "");
  again.tick(62);
  BOOST_TEST(again.answer("r1") == "unknown");
}

// Guards against an answer "log unavailable" while the intent may be in the log.
BOOST_FIXTURE_TEST_CASE(onlyCertainFailureIsAnsweredAtOnce, Two)
{
  x.begin("r1", 0);
  const auto append = x.takeAll<Append>().at(0);
  x.take(x.once.appended(append.ticket, Failure{ FailureKind::Unknown, "", 0 }, at(1)));
  BOOST_TEST(x.answer("r1") == "");
  log.append(append);
  read(2);
  BOOST_TEST(x.answer("r1") == "run");
  y.begin("r2", 3);
  Instance z("z");
  z.begin("r3", 3);
  z.take(z.once.appended(
    z.takeAll<Append>().at(0).ticket, Failure{ FailureKind::NoEffect, "", 0 }, at(3)));
  BOOST_TEST(z.answer("r3") == "log_unavailable");
}

// Guards against a refusal for rate being passed to the caller although a later try succeeds.
BOOST_FIXTURE_TEST_CASE(rateLimitedIntentIsAppendedAgain, Two)
{
  x.begin("r1", 0);
  const auto ticket = x.takeAll<Append>().at(0).ticket;
  x.take(x.once.appended(ticket, Failure{ FailureKind::RateLimited, "", 0 }, at(0.1)));
  x.tick(0.3);
  log.appendAll(x);
  read(0.4);
  BOOST_TEST(x.answer("r1") == "run");
}

// Guards against one append for each request, which the log's rate does not allow.
BOOST_AUTO_TEST_CASE(intentsAreBatched)
{
  Instance x("x");
  for (int i = 0; i < 100; ++i) {
    x.take(x.once.begin({ RequestId("r" + std::to_string(i)),
                          OrganisationId("port"),
                          "key" + std::to_string(i),
                          sha256Hex("body") },
                        at(0)));
  }
  BOOST_TEST(x.takeAll<Append>().size() == 2U);
  x.tick(0.004);
  BOOST_TEST(x.takeAll<Append>().empty());
  x.tick(0.006);
  const auto rest = x.takeAll<Append>();
  BOOST_REQUIRE(rest.size() == 1U);
  BOOST_TEST(rest[0].records.size() == 35U);
}

// Guards against a lost append of the outcome.
BOOST_FIXTURE_TEST_CASE(outcomeIsAppendedUntilReadBack, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(0.1);
  x.finish("r1", 1);
  x.tick(1.1);
  x.takeAll<Append>();
  x.tick(3.2);
  BOOST_TEST(x.takeAll<Append>().size() == 1U);
  x.tick(11.2);
  const auto stored = x.takeAll<Stored>();
  BOOST_REQUIRE(stored.size() == 1U);
  BOOST_TEST(!stored[0].inLog);
  log.appendAll(x);
  read(12);
  BOOST_TEST(x.takeAll<Stored>().empty());
  y.begin("r2", 13);
  BOOST_TEST(y.answer("r2") == "replay");
}

// Guards against a request refused before it was sent blocking its own repeat.
BOOST_FIXTURE_TEST_CASE(notRunOutcomeLetsRepeatRun, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(0.1);
  x.finish("r1", 1, Execution::NotRun);
  x.tick(1.1);
  log.appendAll(x);
  read(1.2);
  y.begin("r2", 2);
  log.appendAll(y);
  read(2.1);
  BOOST_TEST(y.answer("r2") == "run");
}

// Guards against a request that may have run being run again.
BOOST_FIXTURE_TEST_CASE(unknownOutcomeIsFinal, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  read(0.1);
  x.finish("r1", 1, Execution::Unknown);
  x.tick(1.1);
  log.appendAll(x);
  read(1.2);
  y.begin("r2", 2);
  BOOST_TEST(y.answer("r2") == "unknown");
}

// Guards against memory that grows with stored bodies: they are read from the log again.
BOOST_AUTO_TEST_CASE(evictedResponseIsReadFromLog)
{
  Log log;
  auto options = Instance::options("x");
  options.maxBodyBytes = 4;
  Instance x(options);
  x.begin("r1", 0);
  log.appendAll(x);
  log.read(x, 0.1);
  const std::string binary("\xff\x00\xfe permit", 10);
  x.finish("r1", 1, Execution::Known, binary);
  x.tick(1.1);
  log.appendAll(x);
  log.read(x, 1.2);
  x.begin("r2", 2);
  const auto fetch = x.takeAll<Fetch>();
  BOOST_REQUIRE(fetch.size() == 1U);
  x.takeAll<Decision>();
  x.take(x.once.fetched(fetch[0].offset, &log.entries.at(fetch[0].offset)));
  const auto replayed = x.takeAll<Decision>();
  BOOST_REQUIRE(replayed.size() == 1U);
  BOOST_CHECK(replayed[0].response.body == binary);
  x.once.retained(50);
  x.begin("r3", 3);
  BOOST_TEST(x.answer("r3") == "unknown");
}

// Guards against a key that looks new because memory is full running a second time.
BOOST_AUTO_TEST_CASE(fullTableRefusesNewKeys)
{
  Log log;
  auto options = Instance::options("x");
  options.maxKeys = 1;
  Instance x(options);
  x.begin("r1", 0);
  log.appendAll(x);
  log.read(x, 0.1);
  const Begin other{ RequestId("r2"), OrganisationId("port"), "key2", sha256Hex("b") };
  x.take(x.once.begin(other, at(1)));
  BOOST_TEST(x.answer("r2") == "log_unavailable");
  x.once.retained(1);
  x.takeAll<Decision>();
  x.take(x.once.begin(other, at(2)));
  BOOST_TEST(x.answer("r2") == "");
  BOOST_TEST(x.once.keys() == 0U);
}

// Guards against running on an intent whose rivals were in log entries that are gone.
BOOST_FIXTURE_TEST_CASE(gapVoidsIntents, Two)
{
  x.begin("r1", 0);
  log.appendAll(x);
  auto entry = log.entries.at(0);
  LogEntry early{ 0, 0, std::make_shared<const nlohmann::json>(nlohmann::json::object()) };
  x.take(x.once.apply(early, at(0.1)));
  entry.offset = 9;
  x.take(x.once.apply(entry, at(0.2)));
  BOOST_TEST(x.answer("r1") == "log_unavailable");
}

// Shows what intents prevent: without them both run.
BOOST_AUTO_TEST_CASE(withoutIntentsBothRun)
{
  auto options = Instance::options("x");
  options.intents = false;
  Instance x(options);
  options.instance = InstanceId("y");
  Instance y(options);
  x.begin("r1", 0);
  y.begin("r2", 0);
  BOOST_TEST(x.answer("r1") == "run");
  BOOST_TEST(y.answer("r2") == "run");
}

BOOST_AUTO_TEST_SUITE_END()
