#pragma once

#include "mustardplank/pool/messages.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace mustardplank::traffic {

/// Reads the answer to GET /load; nothing when it is malformed. aRoundTrip is how long the answer
/// took, by which the figures may be older than the server says.
std::optional<pool::LoadReport>
readLoadReport(const BackendServerId& aServer, std::string_view aBody, Duration aRoundTrip);

struct CachePage
{
  std::uint64_t next = 0;
  std::vector<pool::CacheEvent> events;
};

/// Reads the answer to GET /cache/events; nothing when it is malformed.
std::optional<CachePage>
readCachePage(const BackendServerId& aServer, std::string_view aBody);

}
