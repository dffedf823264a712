#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <map>

namespace mustardplank::dispatch {

/// Notices that the servers of a failure domain fail together.
///
/// Load pattern: a failure domain loses power, or its servers restart at once. Their entries stay
/// for seconds, so that an instance would try them one after the other; each request with one
/// attempt that is lost to one of them fails.
class DomainHealth
{
public:
  /// Different servers that fail within kSpan, with no success between, before the failure domain
  /// is a suspect: one or two fail by themselves.
  static constexpr std::size_t kMinFailedServers = 3;
  /// Within the time in which entries of dead servers lapse.
  static constexpr Duration kFailureWindow = Millis(2000);

  void recordFailure(const BackendServerId& aServer, TimePoint aNow);
  void recordSuccess() { mLastFailures.clear(); }
  bool isSuspect(TimePoint aNow) const;

private:
  std::map<BackendServerId, TimePoint> mLastFailures;
};

}
