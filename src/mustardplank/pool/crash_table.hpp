#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <unordered_map>

namespace mustardplank::pool {

/// Requests that were running on servers that were lost, by digest of organisation and body.
class CrashTable
{
public:
  enum class Verdict
  {
    Allow,
    /// Runs only alone on a server.
    Isolate,
    Refuse,
  };

  /// Returns whether the crash is new. All reports about one server within a few seconds, and all
  /// about one request on it, are one crash.
  bool record(std::uint64_t aDigest,
              const BackendServerId& aServer,
              const RequestId& aRequest,
              TimePoint aNow);
  /// The latest crash was none if it was of this server: it lives.
  void retract(std::uint64_t aDigest, const BackendServerId& aServer);
  /// The request ran alone to its end: it was not the cause.
  void clear(std::uint64_t aDigest) { mSuspects.erase(aDigest); }
  Verdict verdict(std::uint64_t aDigest, TimePoint aNow) const;
  /// Until a refused request may be tried again.
  Duration retryAfter(std::uint64_t aDigest, TimePoint aNow) const;
  void removeExpired(TimePoint aNow);
  std::size_t size() const { return mSuspects.size(); }

private:
  struct Suspect
  {
    int crashes = 0;
    TimePoint lastCrashAt;
    BackendServerId server;
    RequestId request;
  };
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

}
