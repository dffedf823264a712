#include "mustardplank/dispatch/origin_reply.hpp"

#include <algorithm>

namespace mustardplank::dispatch {

std::set<std::string>
versionsOf(const std::vector<OriginReply>& aReplies)
{
  std::set<std::string> versions;
  for (const auto& it : aReplies) {
    versions.insert(it.versions.begin(), it.versions.end());
  }
  return versions;
}

std::optional<StreamOrigin>
decideOrigin(const route::ServiceId& aService, const std::vector<OriginReply>& aReplies)
{
  std::optional<StreamOrigin> origin;
  for (const auto& it : aReplies) {
    if (origin && it.origin && *origin != *it.origin) {
      return std::nullopt;
    }
    origin = origin ? origin : it.origin;
  }
  if (origin) {
    return origin;
  }
  const auto versions = versionsOf(aReplies);
  const bool isComplete = std::any_of(
    aReplies.begin(), aReplies.end(), [](const auto& aReply) { return aReply.isComplete; });
  return isComplete && versions.size() == 1
           ? std::optional(StreamOrigin{ aService, *versions.begin() })
           : std::nullopt;
}

}
