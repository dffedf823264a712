#pragma once

#include "mustardplank/operator/events.hpp"
#include "mustardplank/settings/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace mustardplank::operators {

struct OperatorServerOptions
{
  /// Port 0 takes any free port, for tests.
  settings::Address address;
  std::vector<settings::OperatorToken> tokens;
  /// How long a call waits for its reply. A change is answered when it is read back from the log.
  Duration replyTimeout = Seconds(10);
  /// How often a watch looks for changes.
  Duration watchInterval = Millis(500);
  /// Each watch occupies a thread as long as it lasts; further ones are refused.
  std::size_t maxWatches = 4;
  /// Calls that run at a time, watches included; further ones are refused.
  int maxThreads = 12;
};

/// Answers operators' gRPC calls (proto/mustardplank.proto). Checks the operator token, validates,
/// turns each call into Requests for the decisions thread and waits for the reply on a thread of
/// gRPC.
///
///     OperatorServer server(options, [&](Request aRequest) { return ring.push(aRequest); });
///     server.start();
///     ...
///     server.stop();
class OperatorServer
{
public:
  /// Returns false when it cannot take the request; the call is then answered with
  /// RESOURCE_EXHAUSTED. Called by several threads but never by two at once, so that it may be the
  /// producer of a single-producer ring. A request that is destroyed without a reply is answered
  /// with UNAVAILABLE.
  using Sink = std::function<bool(Request)>;

  OperatorServer(OperatorServerOptions aOptions, Sink aSink);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Throws std::runtime_error when the address cannot be listened on.
  void start();
  /// Ends watches, cancels calls that still wait for a reply, and returns when no call runs.
  void stop();
  /// The port listened on, after start().
  std::uint16_t port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
