#pragma once

#include "mustardplank/dispatch/dispatcher.hpp"

#include <string>
#include <vector>

namespace mustardplank::dispatch::test {

inline TimePoint
atMillis(double aMillis)
{
  return TimePoint(Seconds(1000)) + Duration(static_cast<std::int64_t>(aMillis * 1000.0));
}

inline route::Config
makeConfig(std::uint32_t aSlots = 64, std::uint64_t aMemoryTokens = 350000)
{
  route::Config config;
  config.version = 1;
  route::Service engine;
  engine.id = route::ServiceId("llm");
  engine.coldRate = 12;
  engine.engine = route::EngineLimits{ aSlots, aMemoryTokens };
  config.services[engine.id] = engine;
  route::Service desk;
  desk.id = route::ServiceId("desk");
  config.services[desk.id] = desk;
  return config;
}

inline route::BackendServer
makeServer(const std::string& aId,
           const char* aDomain,
           const char* aService = "llm",
           int aSlots = 64)
{
  route::BackendServer server;
  server.id = BackendServerId(aId);
  server.service = route::ServiceId(aService);
  server.address = "10.0.0.1:80";
  server.domain = FailureDomainId(aDomain);
  server.slots = static_cast<std::uint32_t>(aSlots);
  server.startTimeMs = 1;
  return server;
}

inline Job
makeEngineJob(JobId aId, std::uint32_t aTokens, std::uint64_t aSession, TimePoint aNow)
{
  Job job;
  job.id = aId;
  job.service = route::ServiceId("llm");
  job.route = route::RouteId("r");
  job.organisation = OrganisationId("one");
  job.streaming = true;
  job.promptTokens = aTokens;
  job.outputTokens = 50;
  const auto shared = aTokens / 3;
  job.prompt = { { 1, shared },
                 { 100 + aSession, shared },
                 { 1'000'000 + aId, aTokens - 2 * shared } };
  job.arrived = aNow;
  job.targetDeadline = aNow + Millis(600);
  job.deadline = aNow + Millis(4000);
  return job;
}

inline Job
makePlainJob(JobId aId, TimePoint aNow)
{
  Job job;
  job.id = aId;
  job.service = route::ServiceId("desk");
  job.organisation = OrganisationId("one");
  job.arrived = aNow;
  job.targetDeadline = aNow + Millis(100);
  job.deadline = aNow + Millis(800);
  return job;
}

inline DispatcherOptions
makeOptions(const char* aDomain = "a")
{
  DispatcherOptions options;
  options.domain = FailureDomainId(aDomain);
  options.retryBudget = { 0.2, Seconds(10), 52 };
  options.coldRateFactor = 1.5;
  options.coldTolerance = 5;
  return options;
}

inline Dispatcher
makeDispatcher(const route::Config& aConfig, DispatcherOptions aOptions = makeOptions())
{
  Dispatcher dispatcher(std::move(aOptions));
  dispatcher.setRouteTable(std::make_shared<route::RouteTable>(aConfig));
  dispatcher.setInstanceCount(6);
  return dispatcher;
}

inline const Grant*
findGrant(const Effects& aEffects, JobId aJob)
{
  for (const auto& it : aEffects) {
    const auto* grant = std::get_if<Grant>(&it);
    if (grant && grant->job == aJob) {
      return grant;
    }
  }
  return nullptr;
}

inline const Refusal*
findRefusal(const Effects& aEffects, JobId aJob)
{
  for (const auto& it : aEffects) {
    const auto* refusal = std::get_if<Refusal>(&it);
    if (refusal && refusal->job == aJob) {
      return refusal;
    }
  }
  return nullptr;
}

}
