#pragma once

#include "deployment.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::routes {

/// Versions named in the events of a stream.
std::set<std::string>
versionsIn(const std::string& aEvents);

/// The server's software has this version from now on, and its registry entry says so.
void
setVersion(RouteDeployment& aDeployment,
           std::size_t aServer,
           const std::string& aVersion,
           int aSlots = 8);

struct Part
{
  /// 0 if there was no answer.
  unsigned status = 0;
  std::string events;
  bool complete = false;
  std::string retryAfter;
};

Part
call(const std::string& aAddress, const Call& aCall);

Call
streamCall(const std::string& aPath);

/// Takes the stream of aFirst up after an event.
Call
takeUp(const Call& aFirst, int aLastEvent = 2);

/// A stream whose events come 600 ms apart.
struct BegunStream
{
  explicit BegunStream(const std::string& aAddress);

  /// The events that have come once the instance is gone.
  std::string events();

  Call first = streamCall("/resume/slow6");
  CallerConnection connection;
};

/// Two events of each stream have come after this time.
inline constexpr auto kTwoEvents = Millis(900);

struct Outcomes
{
  int begun = 0;
  int wentOn = 0;
  int joined = 0;
  int refused = 0;
  int refusedWithoutRetryAfter = 0;
};

/// Counts a stream that came in two parts.
void
count(Outcomes& aOutcomes, const std::string& aFirst, const Part& aSecond);

using Streams = std::vector<std::unique_ptr<BegunStream>>;

Streams
begin(const std::string& aAddress, int aStreams);

Outcomes
takeUpAll(Streams& aStreams, const std::string& aAddress);

void
checkNoneJoined(const Outcomes& aOutcomes, int aStreams);

}
