#pragma once

#include "mustardplank/platform/http_exchange.hpp"
#include "mustardplank/platform/platform.hpp"

#include <string>
#include <vector>

namespace mustardplank::platform {

// Request bodies and answers of the platform's HTTP/JSON interface. The read functions treat an
// answer that cannot be understood as Unknown, since the call may have taken effect.

std::string
appendBody(const std::vector<std::string>& aJsonRecords);
std::string
orderBody(const ServerOrder& aOrder);
std::string
usageBody(const UsageReport& aReport);

Result<Appended>
readAppended(const HttpAnswer& aAnswer);
Result<LogChunk>
readLogChunk(const HttpAnswer& aAnswer);
Result<std::vector<Instance>>
readInstances(const HttpAnswer& aAnswer);
Result<std::vector<PlatformServer>>
readServers(const HttpAnswer& aAnswer);
Result<Ordered>
readOrdered(const HttpAnswer& aAnswer);
Result<Done>
readDone(const HttpAnswer& aAnswer);

}
