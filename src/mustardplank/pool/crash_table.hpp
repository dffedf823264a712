#pragma once

#include "mustardplank/base/ids.hpp"
#include "mustardplank/base/time.hpp"

#include <unordered_map>

namespace mustardplank::pool {

/// Crash suspects: requests that were running on a server when it was lost, by digest of
/// organisation and body.
class CrashTable
{
public:
  enum class Verdict
  {
    Allow,
    /// May run only while no other request runs on the same server.
    Isolate,
    Refuse,
  };

  /// Records that aServer was lost while it ran the request; digest 0 is ignored. Returns whether
  /// this is a new crash: a report that names the server of the digest's last crash is a duplicate
  /// if it is about the same request or comes within a few seconds.
  bool record(std::uint64_t aDigest,
              const BackendServerId& aServer,
              const RequestId& aRequest,
              TimePoint aNow);
  /// Withdraws the latest crash of the suspect if it was on this server, which turned out to be
  /// alive.
  void retract(std::uint64_t aDigest, const BackendServerId& aServer);
  /// Removes the suspect: the request finished alone on a server, so it was not the cause.
  void removeSuspect(std::uint64_t aDigest) { mSuspects.erase(aDigest); }
  Verdict evaluate(std::uint64_t aDigest, TimePoint aNow) const;
  /// Time until a refused request may be retried.
  Duration retryAfter(std::uint64_t aDigest, TimePoint aNow) const;
  void removeExpired(TimePoint aNow);
  std::size_t size() const { return mSuspects.size(); }

private:
  struct Suspect
  {
    int crashCount = 0;
    TimePoint lastCrashAt;
    BackendServerId lastServer;
    RequestId lastRequest;
  };
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

}
