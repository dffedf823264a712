#pragma once

#include "mustardplank/platform/http_client.hpp"
#include "mustardplank/platform/platform.hpp"

#include <string>
#include <vector>

namespace mustardplank::platform {

// Request bodies and responses of the platform's HTTP/JSON interface. The parse functions report a
// malformed response as Unknown, since the call may have taken effect.

std::string
makeAppendBody(const std::vector<std::string>& aJsonRecords);
std::string
makeOrderBody(const ServerOrder& aOrder);
std::string
makeUsageBody(const UsageReport& aReport);

Result<Appended>
parseAppended(const HttpResponse& aResponse);
Result<LogChunk>
parseLogChunk(const HttpResponse& aResponse);
Result<std::vector<Instance>>
parseInstances(const HttpResponse& aResponse);
Result<std::vector<PlatformServer>>
parseServers(const HttpResponse& aResponse);
Result<OrderResult>
parseOrdered(const HttpResponse& aResponse);
Result<Empty>
parseDone(const HttpResponse& aResponse);

}
