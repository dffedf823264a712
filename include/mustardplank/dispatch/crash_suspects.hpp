#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardplank::dispatch {

/// A server crashed while it ran a request with this digest.
struct CrashReport
{
  /// Hash of route, organisation, path and body.
  std::uint64_t digest = 0;
  BackendServerId server;
};

/// Detects requests that crash the servers that run them.
///
/// Load pattern: a request crashes each server it reaches and is retried at any instance. It is
/// refused after kMinCrashedServers different servers crashed while running it. Instances exchange
/// their crash reports.
class CrashSuspects
{
public:
  /// Crashed servers after which a request is refused. A single crash has many possible causes; if
  /// two servers crash on the same request, the request is the likely cause.
  static constexpr std::size_t kMinCrashedServers = 2;

  /// Adds a crash observed by this or another instance.
  void add(const CrashReport& aReport, TimePoint aNow);
  bool isSuspect(std::uint64_t aDigest, TimePoint aNow) const;
  /// Removes entries older than the retention period.
  void expire(TimePoint aNow);
  std::size_t size() const { return mEntries.size(); }

private:
  struct Entry
  {
    std::set<BackendServerId> servers;
    TimePoint last{};
  };

  std::unordered_map<std::uint64_t, Entry> mEntries;
};

}
