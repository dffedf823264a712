#include "json_codec.hpp"

#include "mustardplank/base/json_size.hpp"

#include <nlohmann/json.hpp>

namespace mustardplank::platform {

using nlohmann::json;

namespace {

/// Of a section of the log, whose records are kept as documents.
constexpr std::size_t kMaxValues = 512UL * 1024;

Failure
failureOf(const HttpResponse& aResponse)
{
  const auto message =
    "status " + std::to_string(aResponse.status) + ": " + aResponse.body.substr(0, 200);
  switch (aResponse.status) {
    case 409:
      return { FailureKind::NotAvailable, message };
    case 412:
      return { FailureKind::StaleFence, message };
    case 429:
      return { FailureKind::RateLimited, message };
    case 400:
    case 404:
    case 503:
      return { FailureKind::NoEffect, message };
    default:
      return { FailureKind::Unknown, message };
  }
}

/// Applies aParse to the JSON body of a response with status 200. A malformed body gives a
/// Failure, not an exception.
template<typename T, typename Parse>
Result<T>
parseResponse(const HttpResponse& aResponse, Parse&& aParse)
{
  if (aResponse.status != 200) {
    return failureOf(aResponse);
  }
  if (hasMoreValuesThan(aResponse.body, kMaxValues)) {
    return Failure{ FailureKind::Unknown, "malformed answer: too many values" };
  }
  try {
    const auto root = json::parse(aResponse.body);
    return aParse(root);
  } catch (const json::exception& aError) {
    return Failure{ FailureKind::Unknown, std::string("malformed answer: ") + aError.what() };
  }
}

LogEntry
parseEntry(const json& aEntry)
{
  LogEntry entry;
  entry.offset = aEntry.at("offset").get<Offset>();
  entry.wallMillis = aEntry.value("time_ms", std::int64_t{ 0 });
  entry.record = std::make_shared<const json>(aEntry.at("record"));
  return entry;
}

Instance
parseInstance(const json& aInstance)
{
  Instance instance;
  instance.id = InstanceId(aInstance.at("id").get<std::string>());
  instance.failureDomain = FailureDomainId(aInstance.at("failure_domain").get<std::string>());
  instance.peerAddress = aInstance.at("peer_address").get<std::string>();
  instance.state =
    kInstanceStateNames.value(aInstance.value("state", "live")).value_or(InstanceState::Live);
  return instance;
}

PlatformServer
parseServer(const json& aServer)
{
  PlatformServer server;
  server.id = BackendServerId(aServer.at("id").get<std::string>());
  server.failureDomain = FailureDomainId(aServer.at("failure_domain").get<std::string>());
  server.pool = PoolId(aServer.at("pool").get<std::string>());
  server.kind = config::kServerKindNames.value(aServer.value("kind", "regular"))
                  .value_or(config::ServerKind::Regular);
  server.address = aServer.value("address", "");
  server.state = kPlatformServerStateNames.value(aServer.value("state", "running"))
                   .value_or(PlatformServerState::Running);
  const auto reclaim = aServer.find("reclaim_in_ms");
  if (reclaim != aServer.end() && reclaim->is_number()) {
    server.reclaimIn = Millis(reclaim->get<std::int64_t>());
  }
  return server;
}

}

std::string
makeAppendBody(const std::vector<std::string>& aJsonRecords)
{
  std::string body = "{\"records\":[";
  for (const auto& it : aJsonRecords) {
    if (body.back() != '[') {
      body += ',';
    }
    body += it;
  }
  return body + "]}";
}

std::string
makeOrderBody(const ServerOrder& aOrder)
{
  json body{ { "operation_id", aOrder.operation.str() },
             { "fence", aOrder.fence },
             { "action", kServerActionNames.name(aOrder.action) },
             { "failure_domain", aOrder.failureDomain.str() },
             { "pool", aOrder.pool.str() },
             { "kind", config::kServerKindNames.name(aOrder.kind) } };
  if (!aOrder.server.empty()) {
    body["server_id"] = aOrder.server.str();
  }
  return body.dump();
}

std::string
makeUsageBody(const UsageReport& aReport)
{
  json lines = json::array();
  for (const auto& it : aReport.organisations) {
    lines.push_back({ { "organisation", it.organisation.str() },
                      { "requests", it.requests },
                      { "prompt_tokens", it.promptTokens },
                      { "completion_tokens", it.completionTokens } });
  }
  const json body{ { "window_id", aReport.windowId },
                   { "operation_id", aReport.operation.str() },
                   { "fence", aReport.fence },
                   { "organisations", std::move(lines) } };
  return body.dump();
}

Result<Appended>
parseAppended(const HttpResponse& aResponse)
{
  return parseResponse<Appended>(aResponse, [](const json& aRoot) -> Result<Appended> {
    return Appended{ aRoot.at("offset").get<Offset>() };
  });
}

Result<LogChunk>
parseLogChunk(const HttpResponse& aResponse)
{
  if (aResponse.status == 410) {
    const bool isLong = hasMoreValuesThan(aResponse.body, kMaxJsonValues);
    const auto root = isLong ? json() : json::parse(aResponse.body, nullptr, false);
    const Offset first = root.is_object() ? root.value("first", Offset{ 0 }) : 0;
    return Failure{ FailureKind::LogTruncated, "the log starts at a later offset", first };
  }
  return parseResponse<LogChunk>(aResponse, [](const json& aRoot) -> Result<LogChunk> {
    LogChunk chunk;
    chunk.first = aRoot.at("first").get<Offset>();
    chunk.end = aRoot.at("end").get<Offset>();
    for (const auto& it : aRoot.at("records")) {
      chunk.entries.push_back(parseEntry(it));
    }
    return chunk;
  });
}

Result<std::vector<Instance>>
parseInstances(const HttpResponse& aResponse)
{
  return parseResponse<std::vector<Instance>>(
    aResponse, [](const json& aRoot) -> Result<std::vector<Instance>> {
      std::vector<Instance> instances;
      for (const auto& it : aRoot.at("instances")) {
        instances.push_back(parseInstance(it));
      }
      return instances;
    });
}

Result<std::vector<PlatformServer>>
parseServers(const HttpResponse& aResponse)
{
  return parseResponse<std::vector<PlatformServer>>(
    aResponse, [](const json& aRoot) -> Result<std::vector<PlatformServer>> {
      std::vector<PlatformServer> servers;
      for (const auto& it : aRoot.at("servers")) {
        servers.push_back(parseServer(it));
      }
      return servers;
    });
}

Result<OrderResult>
parseOrdered(const HttpResponse& aResponse)
{
  return parseResponse<OrderResult>(aResponse, [](const json& aRoot) -> Result<OrderResult> {
    return OrderResult{ BackendServerId(aRoot.value("server_id", "")) };
  });
}

Result<Empty>
parseDone(const HttpResponse& aResponse)
{
  if (aResponse.status != 200) {
    return failureOf(aResponse);
  }
  return Empty{};
}

}
