#pragma once

#include "asio_types.hpp"
#include "refusal.hpp"

#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/pool/effects.hpp"
#include "mustardplank/pool/messages.hpp"
#include "mustardplank/traffic/events.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mustardplank::traffic {

/// Why a request is stopped from outside its own coroutine.
enum class Interrupt
{
  None,
  CallerLeft,
  /// The pool owner needs the slot; the request goes on elsewhere.
  Preempted,
  KeyWithdrawn,
  Isolated,
  Stopping,
};

/// One request of a caller from admission to the end of its answer. Lives in the coroutine of the
/// caller's connection; commands from the decisions thread arrive here and wake it.
struct Request
{
  Request(boost::asio::io_context& aIo, metrics::RequestRecorder aRecorder)
    : recorder(aRecorder)
    , wake(aIo.get_executor())
  {
  }

  pool::RequestInfo info;
  KeyId key;
  Duration firstTokenTarget{};
  TimePoint received{};
  metrics::RequestRecorder recorder;

  bool isService = false;
  bool stream = false;
  bool includeUsage = false;
  /// Non-idempotent with an idempotency key.
  bool once = false;
  std::string idempotencyKey;
  std::string bodyDigest;

  // What the backend server gets.
  std::string method;
  std::string target;
  std::string contentType;
  std::string accept;
  std::string body;
  /// Keeps the body's share of the memory for bodies.
  std::shared_ptr<void> bodyMemory;

  // What has happened so far.
  /// A byte went to a backend server in any attempt, so "not_run" would be a lie.
  bool sentToBackend = false;
  std::uint32_t failedAttempts = 0;
  /// The permit of the present attempt; none while waiting for one.
  std::optional<pool::StartStream> running;
  TimePoint attemptStarted{};
  Duration timeToFirstToken{};
  std::uint32_t attemptTokens = 0;

  // Commands that the coroutine has not taken yet.
  bool waitingForPermit = false;
  std::optional<pool::StartStream> grant;
  std::optional<pool::RefuseRequest> refusal;
  std::optional<OnceDecision> onceDecision;
  bool onceStored = false;
  Interrupt interrupt = Interrupt::None;

  /// Closes the connection to the backend server, so that the coroutine goes on.
  std::function<void()> abortBackend;
  Timer wake;

  /// Lets the coroutine look at what has come.
  void notify() { wake.cancel(); }
  void interruptWith(Interrupt aReason);
};

}
