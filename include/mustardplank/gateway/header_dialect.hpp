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

/// Request attributes parsed from a caller's header fields.
struct RequestHead
{
  /// Identifies one attempt of the caller; the backend server echoes it in its response.
  std::string attemptId;
  /// Time until the caller's deadline; not set if the caller sent none.
  std::optional<Duration> timeLeft;
  /// Empty when there is none.
  std::string callerKey;
  /// Parts of the prompt, in order, that a server may hold in its prefix cache; empty if the caller
  /// stated none.
  std::vector<dispatch::PromptPart> promptParts;
  /// Length of the prompt; 0 if the caller did not state it.
  std::uint32_t promptTokens = 0;
  /// The caller's limit on output tokens; 0 if it sent none.
  std::uint32_t maxOutputTokens = 0;
  /// The caller's estimate of the output length; not set if it sent none.
  std::optional<std::uint32_t> estimatedOutputTokens;
  /// Id of the last event that the caller has received; empty when it has received none.
  std::string lastEventId;
  /// The caller's attempt that brought the first event of the stream that it takes up; empty if it
  /// named none.
  std::string resumedAttemptId;
};

/// Attributes that the gateway adds to a request forwarded to a backend server.
struct ForwardingMetadata
{
  /// Empty for requests without a known organisation, for example on open routes.
  std::string organisation;
  /// Time until the caller's deadline.
  Duration timeLeft{};
  /// The only backend server that may execute the request.
  std::string serverId;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Id of the last event that the caller has received; empty when it has received none.
  std::string lastEventId;
};

/// What a backend server reports about its load.
struct ReportedLoad
{
  /// Numbers of requests.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// How long work takes there at the moment, relative to an average undisturbed server; not set if
  /// the server does not state it.
  std::optional<double> workFactor;
};

/// Response attributes parsed from a backend server's header fields.
struct ResponseHead
{
  /// Echo of the request's attempt id; empty when there is none.
  std::string attemptId;
  /// The response names different attempts, so that it is not known to which of them it belongs.
  bool namesSeveralAttempts = false;
  /// The response carries a signature, by which the server states that it produced it.
  bool isSigned = false;
  /// The server did not execute the request.
  bool notExecuted = false;
  /// The address now belongs to a server other than the expected one.
  bool misdirected = false;
  std::optional<ReportedLoad> load;
  /// Time for which the server still counts as cold, that is, as warming up.
  std::optional<Duration> coldTimeLeft;
  /// Requests per second that the server takes from all instances together, while it says so.
  std::optional<double> requestLimit;
  /// The server is about to stop and wants no further requests.
  bool isLeaving = false;
  /// Time for which the server wants no further requests from this instance.
  std::optional<Duration> retryAfter;
};

/// Converts between the header fields of one platform and the gateway's types. Makes no decisions.
struct HeaderDialect
{
  RequestHead (*parseRequestHead)(const Fields& aFields);
  /// Turns a caller's fields into those for a backend server: removes the caller key and the fields
  /// that callers may not set, then adds aMetadata.
  void (*rewriteForBackend)(Fields& aFields, const ForwardingMetadata& aMetadata);
  ResponseHead (*parseResponseHead)(unsigned aStatus, const Fields& aFields);
  /// Removes the server's signature, for a response that the gateway has modified.
  void (*removeSignature)(Fields& aFields);
  /// Sets the delay after which a refused caller may retry.
  void (*setRetryAfter)(Fields& aFields, Duration aDelay);
};

}
