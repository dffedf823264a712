#pragma once

namespace mustardplank::gateway {

/// Whether callers take the status for a guarantee that the request was not executed and never will
/// be: they send it again. A response with it is the gateway's own, for a request of which no
/// attempt may have been executed.
constexpr bool
guaranteesNotExecuted(unsigned aStatus)
{
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kMisdirected = 421;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected || aStatus == kTooManyRequests ||
         aStatus == kUnavailable;
}

/// Whether a server failed that may have executed the request: it responded with an error, or with
/// a status that is no guarantee without its statement that it did not execute the request
/// (ResponseHead::notExecuted).
constexpr bool
isServerFailure(unsigned aStatus)
{
  return aStatus >= 500 || guaranteesNotExecuted(aStatus);
}

}
