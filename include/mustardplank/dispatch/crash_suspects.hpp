#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mustardplank::dispatch {

/// A server was lost while it ran a request of this digest.
struct CrashReport
{
  /// Of route, organisation, path and body.
  std::uint64_t digest = 0;
  BackendServerId server;
};

/// Recognises requests that crash the servers that run them.
///
/// Answers a request that ends each server it reaches and is sent again at any instance: after
/// kCrashes different servers were lost to it, it is refused. Instances tell each other of their
/// losses.
class CrashSuspects
{
public:
  /// Losses after which a request is refused. One loss has many causes; two servers lost to
  /// the same bytes hardly have another.
  static constexpr std::size_t kServerLossLimit = 2;

  /// Adds a loss seen here or elsewhere.
  void add(const CrashReport& aReport, TimePoint aNow);
  bool isSuspect(std::uint64_t aDigest, TimePoint aNow) const;
  /// Forgets what is older than the retention period.
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
