#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/route/model.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardplank::dispatch {

/// Identifies a stream on all instances.
using StreamKey = std::uint64_t;

/// The key of the stream whose first event came at this attempt of the organisation.
StreamKey
streamKey(const OrganisationId& aOrganisation, std::string_view aAttemptId);

/// Which software wrote the events of a stream.
struct StreamOrigin
{
  route::ServiceId service;
  /// route::BackendServer::softwareVersion.
  std::string version;

  bool operator==(const StreamOrigin&) const = default;
};

/// Remembers the origins of streams for as long as callers may take them up. Does no I/O and reads
/// no clock.
///
/// Load pattern: hundreds of streams a second, and callers that state the same attempt again. The
/// oldest streams are forgotten first; one that is stated with two origins has none.
class StreamOrigins
{
public:
  /// Callers take a stream up within their time limit, which is shorter.
  static constexpr Duration kMemory = Seconds(30);
  static constexpr std::size_t kMaxStreams = 16384;

  /// Returns whether that is new.
  bool record(StreamKey aStream, const StreamOrigin& aOrigin, TimePoint aNow);
  std::optional<StreamOrigin> find(StreamKey aStream, TimePoint aNow) const;
  /// All that are known, the oldest first.
  std::vector<std::pair<StreamKey, StreamOrigin>> list(TimePoint aNow) const;
  std::size_t size() const { return mStreams.size(); }

private:
  struct Stream
  {
    StreamOrigin origin;
    TimePoint at{};
    bool isAmbiguous = false;
  };

  void expire(TimePoint aNow);

  std::unordered_map<StreamKey, Stream> mStreams;
  /// Streams by the time at which they were recorded.
  std::deque<std::pair<TimePoint, StreamKey>> mByTime;
};

}
