#include "version_streams.hpp"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace mustardplank::routes {

std::set<std::string>
versionsIn(const std::string& aEvents)
{
  const std::string mark = " of ";
  std::set<std::string> versions;
  for (auto at = aEvents.find(mark); at != std::string::npos; at = aEvents.find(mark, at + 1)) {
    const auto begin = at + mark.size();
    versions.insert(aEvents.substr(begin, aEvents.find('\n', begin) - begin));
  }
  return versions;
}

void
setVersion(RouteDeployment& aDeployment,
           std::size_t aServer,
           const std::string& aVersion,
           int aSlots)
{
  aDeployment.server(aServer).setVersion(aVersion);
  aDeployment.writeServer(aServer,
                          "ready",
                          "{\"version\": \"" + aVersion +
                            "\", \"slots\": " + std::to_string(aSlots) + "}");
}

Part
call(const std::string& aAddress, const Call& aCall)
{
  Part part;
  CallerConnection connection(aAddress);
  try {
    const auto answer = connection.call(aCall);
    part.status = answer.result_int();
    part.retryAfter = std::string(answer["Retry-After"]);
    part.events = answer.body();
    part.complete = part.status == 200;
  } catch (const boost::system::system_error&) {
    part.events = connection.partialBody();
    part.status = part.events.empty() ? 0 : 200;
  }
  return part;
}

Call
streamCall(const std::string& aPath)
{
  auto call = callOf(aPath);
  call.deadlineMs = 2900;
  return call;
}

Call
takeUp(const Call& aFirst, int aLastEvent)
{
  auto call = streamCall("/resume/stream6");
  call.fields = { { "Last-Event-Id", std::to_string(aLastEvent) }, { "Resumes", aFirst.attempt } };
  return call;
}

BegunStream::BegunStream(const std::string& aAddress)
  : connection(aAddress)
{
  connection.send(first);
}

std::string
BegunStream::events()
{
  try {
    connection.read();
  } catch (const boost::system::system_error&) {
  }
  return connection.partialBody();
}

void
count(Outcomes& aOutcomes, const std::string& aFirst, const Part& aSecond)
{
  auto versions = versionsIn(aFirst);
  versions.merge(versionsIn(aSecond.events));
  aOutcomes.joined += versions.size() > 1 ? 1 : 0;
  aOutcomes.wentOn += versions.size() == 1 && aSecond.complete ? 1 : 0;
  aOutcomes.refused += aSecond.status == 503 ? 1 : 0;
  aOutcomes.refusedWithoutRetryAfter += aSecond.status == 503 && aSecond.retryAfter.empty() ? 1 : 0;
}

Streams
begin(const std::string& aAddress, int aStreams)
{
  Streams streams;
  for (int i = 0; i < aStreams; ++i) {
    streams.push_back(std::make_unique<BegunStream>(aAddress));
  }
  std::this_thread::sleep_for(kTwoEvents);
  return streams;
}

Outcomes
takeUpAll(Streams& aStreams, const std::string& aAddress)
{
  Outcomes outcomes;
  for (auto& it : aStreams) {
    const auto events = it->events();
    outcomes.begun += versionsIn(events).size() == 1 ? 1 : 0;
    count(outcomes, events, call(aAddress, takeUp(it->first)));
  }
  return outcomes;
}

void
checkNoneJoined(const Outcomes& aOutcomes, int aStreams)
{
  BOOST_TEST_MESSAGE("begun " << aOutcomes.begun << " went on " << aOutcomes.wentOn << " joined "
                              << aOutcomes.joined << " refused " << aOutcomes.refused);
  BOOST_TEST(aOutcomes.begun == aStreams);
  BOOST_TEST(aOutcomes.joined == 0);
  BOOST_TEST(aOutcomes.refusedWithoutRetryAfter == 0);
}

}
