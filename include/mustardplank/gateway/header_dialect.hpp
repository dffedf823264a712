#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/job.hpp"

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::gateway {

using Fields = boost::beast::http::fields;

/// What a caller's header fields say.
struct RequestHead
{
  /// Names this attempt of the caller; the server repeats it in its answer.
  std::string attemptId;
  /// How long the caller waits.
  std::optional<Duration> timeLeft;
  std::string callerKey;
  std::vector<dispatch::PromptPart> promptParts;
  std::uint32_t promptTokens = 0;
  /// Upper limit that the caller set.
  std::uint32_t maxOutputTokens = 0;
  /// The caller's own estimate.
  std::optional<std::uint32_t> estimatedOutputTokens;
  /// Id of the last event that the caller has; empty when it has none.
  std::string lastEventId;
};

/// What a request carries to a backend server besides what the caller sent.
struct ForwardingMetadata
{
  /// Empty on open routes.
  std::string organisation;
  Duration timeLeft{};
  /// The only server that may run it.
  std::string serverId;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Id of the last event that the caller has; empty when it has none.
  std::string lastEventId;
};

struct ReportedLoad
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// What a backend server's header fields say.
struct ResponseHead
{
  std::string attemptId;
  /// The server vouches that this is its own answer.
  bool isSigned = false;
  /// The server did not run the request.
  bool notExecuted = false;
  /// Another server has the address.
  bool misdirected = false;
  std::optional<ReportedLoad> load;
  /// For how long the server stays cold.
  std::optional<Duration> coldTimeLeft;
};

/// Names and forms of header fields on one deployment. Translates only.
struct HeaderDialect
{
  RequestHead (*parseRequestHead)(const Fields& aFields);
  /// Turns a caller's fields into those for a server: removes the key and what callers may not
  /// set, adds what the system says.
  void (*rewriteForBackend)(Fields& aFields, const ForwardingMetadata& aMetadata);
  ResponseHead (*parseResponseHead)(unsigned aStatus, const Fields& aFields);
  /// Removes the server's signature, for an answer that is not passed on as it came.
  void (*removeSignature)(Fields& aFields);
  /// Adds the time after which a refused caller may come back.
  void (*setRetryAfter)(Fields& aFields, Duration aDelay);
};

}
