#include "load_report.hpp"

#include "mustardplank/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardplank::traffic {

namespace {

using nlohmann::json;

/// Servers that do not say how old their figures are say when they took them, by their own clock.
Duration
ageOf(const json& aBody)
{
  if (aBody.contains("age_ms")) {
    return Millis(aBody.at("age_ms").get<std::int64_t>());
  }
  return Millis(wallMillis() - aBody.value("time_ms", wallMillis()));
}

}

std::optional<pool::LoadReport>
readLoadReport(const BackendServerId& aServer, std::string_view aBody, Duration aRoundTrip)
{
  try {
    const json body = json::parse(aBody);
    pool::LoadReport report;
    report.server = aServer;
    report.incarnation = body.value("incarnation", std::uint64_t{ 0 });
    report.cold = body.at("state").get<std::string>() == "cold";
    report.slots = body.at("slots").get<std::uint32_t>();
    report.running = body.at("running").get<std::uint32_t>();
    report.waiting = body.at("waiting").get<std::uint32_t>();
    report.tokensPerSecond = body.value("tokens_per_second", 0.0);
    report.age = std::max(Duration::zero(), ageOf(body)) + aRoundTrip;
    return report;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<CachePage>
readCachePage(const BackendServerId& aServer, std::string_view aBody)
{
  try {
    const json body = json::parse(aBody);
    CachePage page;
    page.next = body.at("next").get<std::uint64_t>();
    for (const auto& it : body.at("events")) {
      pool::CacheEvent event;
      event.server = aServer;
      event.sequence = it.at("seq").get<std::uint64_t>();
      event.stored = it.at("type").get<std::string>() == "stored";
      event.hash = it.at("hash").get<std::uint64_t>();
      page.events.push_back(std::move(event));
    }
    return page;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}
