#include "mustardplank/dispatch/stream_origins.hpp"

#include "mustardplank/base/hash.hpp"

namespace mustardplank::dispatch {

StreamKey
streamKey(const OrganisationId& aOrganisation, std::string_view aAttemptId)
{
  return stableHash(aOrganisation.str() + '\n' + std::string(aAttemptId));
}

bool
StreamOrigins::record(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow)
{
  expire(aNow);
  const auto [it, isNew] = mStreams.try_emplace(aStream, Stream{ aOrigin, aNow, false });
  if (isNew) {
    mByTime.emplace_back(aNow, aStream);
    return true;
  }
  it->second.isAmbiguous = it->second.isAmbiguous || it->second.origin != aOrigin;
  return false;
}

std::optional<StreamOrigin>
StreamOrigins::find(StreamKey aStream, TimePoint aNow) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end() || it->second.isAmbiguous || aNow - it->second.at >= kMemory) {
    return std::nullopt;
  }
  return it->second.origin;
}

std::vector<std::pair<StreamKey, StreamOrigin>>
StreamOrigins::list(TimePoint aNow) const
{
  std::vector<std::pair<StreamKey, StreamOrigin>> streams;
  for (const auto& [at, stream] : mByTime) {
    if (const auto origin = find(stream, aNow)) {
      streams.emplace_back(stream, *origin);
    }
  }
  return streams;
}

void
StreamOrigins::expire(TimePoint aNow)
{
  while (!mByTime.empty() &&
         (mByTime.size() >= kMaxStreams || aNow - mByTime.front().first >= kMemory)) {
    mStreams.erase(mByTime.front().second);
    mByTime.pop_front();
  }
}

}
