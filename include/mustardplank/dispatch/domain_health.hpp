#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <map>

namespace mustardplank::dispatch {

/// Detects that the servers of a failure domain fail together.
///
/// Load pattern: a failure domain loses power, or its servers restart at once. Their registry
/// entries stay for seconds, so an instance would try one dead server after another, and each
/// request that allows only one attempt would fail.
class DomainHealth
{
public:
  /// The failure domain is suspect when this many different servers fail within kFailureWindow with
  /// no success in between. One or two servers also fail independently.
  static constexpr std::size_t kMinFailedServers = 3;
  /// Shorter than the time after which entries of dead servers expire.
  static constexpr Duration kFailureWindow = Millis(2000);

  void recordFailure(const BackendServerId& aServer, TimePoint aNow);
  void recordSuccess() { mLastFailures.clear(); }
  bool isSuspect(TimePoint aNow) const;

private:
  std::map<BackendServerId, TimePoint> mLastFailures;
};

}
