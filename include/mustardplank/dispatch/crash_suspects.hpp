#pragma once

#include "mustardplank/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>

namespace mustardplank::dispatch {

/// Whether sound requests of other callers commonly have the same digest.
enum class DigestSharing
{
  /// The request is streamed or has a body.
  Rare,
  /// The request has no body, like the polls of a status.
  Common,
};

/// A server was lost while it ran a request with this digest. Times are of the clock on which the
/// instances agree, in Unix milliseconds; 0 if the sender does not state them.
struct CrashReport
{
  /// Hash of organisation, method, host, target and body.
  std::uint64_t digest = 0;
  BackendServerId server;
  /// Identifies the incarnation of the server.
  std::int64_t serverStartTimeMs = 0;
  std::int64_t sentAtMs = 0;
  std::int64_t lostAtMs = 0;
  DigestSharing sharing = DigestSharing::Rare;

  bool operator==(const CrashReport&) const = default;
};

/// Detects requests that crash the servers that run them. Does no I/O and reads no clock; times are
/// of the reports' clock.
///
/// Load pattern: a request crashes each server it reaches and is retried at any instance. It is
/// refused after kMinLosses incarnations of servers were lost while running it. Instances exchange
/// their crash reports.
///
/// Requests without a body may be equal to requests in progress on other servers. Of servers lost
/// together only one counts under them, as one failure may have ended all. A complete answer to an
/// equal request clears the losses before it.
class CrashSuspects
{
public:
  /// Lost servers after which a request is refused. A single loss has many possible causes; if two
  /// servers are lost under the same request, the request is the likely cause.
  static constexpr std::size_t kMinLosses = 2;
  /// Servers lost within this time of each other may have one cause, unless the request was sent to
  /// the second one after the first was lost.
  static constexpr std::int64_t kLossSpacingMs = 500;
  /// A server that answers a request sent within this time after the loss cannot have restarted:
  /// only its connection was lost.
  static constexpr std::int64_t kMinRestartMs = 1000;

  /// Adds a loss observed by this or another instance. Times that are missing or in the future are
  /// taken for aNowMs.
  void add(const CrashReport& aReport, std::int64_t aNowMs);
  /// The server answered a request with this digest completely.
  void recordAnswer(std::uint64_t aDigest,
                    const BackendServerId& aServer,
                    std::int64_t aServerStartTimeMs,
                    std::int64_t aSentAtMs,
                    std::int64_t aNowMs);
  bool isSuspect(std::uint64_t aDigest, std::int64_t aNowMs) const;
  /// Removes entries older than the retention period.
  void expire(std::int64_t aNowMs);
  std::size_t size() const { return mEntries.size(); }

private:
  /// Server and start time.
  using Incarnation = std::pair<BackendServerId, std::int64_t>;
  struct Loss
  {
    std::int64_t sentAtMs = 0;
    std::int64_t lostAtMs = 0;
  };
  struct Entry
  {
    std::map<Incarnation, Loss> losses;
    std::int64_t lastLossMs = 0;
    std::int64_t answeredAtMs = 0;
    DigestSharing sharing = DigestSharing::Rare;
  };

  struct ServerContact
  {
    /// When the last request that was answered had been sent.
    std::int64_t answeredSentAtMs = 0;
    std::int64_t lastLossMs = 0;
    /// Up to then, only connections were lost.
    std::int64_t survivedUntilMs = 0;
  };

  /// Losses that cannot have the same cause.
  static std::size_t countIndependentLosses(const Entry& aEntry);
  /// Whether the server lives on after its last loss; remembers it if so.
  static bool checkSurvival(ServerContact& aContact);

  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::map<Incarnation, ServerContact> mServers;
};

}
