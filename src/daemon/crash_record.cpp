#include "crash_record.hpp"

#include <nlohmann/json.hpp>

namespace mustardplank::daemon {

namespace {

constexpr const char* kKind = "crash.report";

std::optional<std::string>
text(const nlohmann::json& aRecord, const char* aKey)
{
  const auto it = aRecord.find(aKey);
  return it != aRecord.end() && it->is_string() ? std::optional(it->get<std::string>())
                                                : std::nullopt;
}

}

bool
isKind(const nlohmann::json& aRecord, const char* aKind)
{
  return text(aRecord, "kind") == aKind;
}

std::string
encodeCrashRecord(const pool::CrashReport& aReport)
{
  return nlohmann::json{
    { "v", 1 },
    { "kind", kKind },
    { "digest", aReport.digest },
    { "server", aReport.server.str() },
    { "request", aReport.request.str() }
  }.dump();
}

std::optional<pool::CrashReport>
decodeCrashRecord(const nlohmann::json& aRecord)
{
  const auto digest = aRecord.find("digest");
  const auto server = text(aRecord, "server");
  const auto request = text(aRecord, "request");
  if (!isKind(aRecord, kKind) || digest == aRecord.end() || !digest->is_number_unsigned() ||
      !server || !request) {
    return std::nullopt;
  }
  return pool::CrashReport{ digest->get<std::uint64_t>(),
                            BackendServerId(*server),
                            RequestId(*request),
                            pool::CrashState::Confirmed };
}

}
