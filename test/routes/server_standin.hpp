#pragma once

#include "standins/common/http_server.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::routes {

/// What a backend server does with a request; the last part of the path names it.
///
///     ok       an answer with signature           error    500
///     not_run  503 that says it has not run       hang     no answer
///     statusN  status N, with signature, of a server that has run the request
///     cut      half of an answer, then the end    garbage  bytes that are no answer
///     surplus  an answer, and one more            unsigned 200 without signature
///     late     an answer to another request first
///     streamN  N events, 50 ms apart              brokenN  N events and half of one, then the end,
///                                                          unless the caller resumes
///     no_resumeN  like broken2, but an answer with status N that is no stream to a caller that
///                 resumes
///     head_cutN   a part of an answer's head, then the end; N from 0 to 5: the later, the shorter
///     old_refusal, nameless_refusal  a refusal of another request first, or one that names none
///     slowN    N events, 600 ms apart
///     silentN  six events; falls silent for 1.5 s after the Nth, unless the caller resumes
///     long_silentN  the same for 2.2 s
///     delayedN an answer after N ms; without N after 1.2 s
///     largeN   an answer with N KiB
///     halfN    an answer's head and half of its body, the rest after N ms
///     failing_halfN  the same with status 500
///     nameless an answer that does not name its request
///     drip     an answer's head, then a byte of its body every 50 ms for 10 s
///     headN    the head of a stream, its six events after N ms
///     wide     a stream of one event of 600 KB
///     stuckN   N events, then nothing
///     replaced 421, as another server that has got the address
///     afterN_MODE      MODE after N ms
///     MODE+MODE+MODE   the nth mode for the nth arrival of an attempt, whichever server it is
///     tornN    N events and half of one, then the last chunk, unless the caller resumes
///     open_streamN, open_brokenN, open_resetN  like streamN and brokenN with neither a length nor
///              chunks; open_reset ends with a reset of the connection
///     open_silentN  like silentN with neither a length nor chunks
///     open_late_brokenN  like open_brokenN, 1.2 s later; also when the caller resumes
///     open_emptyN  the head of such a stream and no event, then the end after N ms
///     slow_brokenN like brokenN, 600 ms apart
///     crash    no answer, and the connection ends
///     begin_crash  the head of a stream, and the connection ends
///     trickleN N events, then a byte every 50 ms and no further event, unless the caller resumes
///     endless_X  bytes until the connection is closed; X is head, interim, other (an answer to
///              another request), chunk, trailer, event, body, chunked_body, failure_body (status
///              500), length (of 90 GB), length_event (the same, a stream), failure_length (the
///              same, status 500), or values (of a JSON document, up to 40 MB)
///     false_NAME  an answer of false_answers.hpp
///     A request whose prompt has the part "dead" ends its connection after the head, whatever the
///     mode.
class ServerStandin
{
public:
  ServerStandin(boost::asio::io_context& aIo, std::string aId);

  const std::string& id() const { return mId; }
  const std::string& address() const { return mAddress; }

  struct Arrival
  {
    std::string attempt;
    std::string path;
    std::string body;
    std::map<std::string, std::string> headers;
    std::chrono::steady_clock::time_point at;
    /// Whether the server read the whole request.
    bool whole = true;
  };
  std::vector<Arrival> arrivals() const;
  /// Requests whose connection the system closed before they had ended.
  int cancelled() const { return mCancelled; }
  /// Requests with the mode "crash" or "begin_crash" or the prompt part "dead".
  int crashes() const { return mCrashes; }
  /// Bytes written for the modes endless_X.
  std::size_t endlessBytes() const { return mEndlessBytes; }
  /// Pause between 64 KB of the modes endless_X.
  void setEndlessPause(int aMs) { mEndlessPauseMs = aMs; }
  /// Answers with 421, as another server that has got the address.
  void setReplaced(bool aReplaced) { mReplaced = aReplaced; }
  /// Header lines, each with CRLF, that are added to all answers from now on but those with 421.
  void setMoreFields(std::string aFields);
  /// Writes this on each connection that is accepted from now on.
  void setGreeting(std::string aGreeting);
  /// Events name the version of the software from now on.
  void setVersion(std::string aVersion);
  /// From now on refuses all requests as not run.
  void setFull(bool aFull) { mFull = aFull; }
  /// From now on closes the connection of every request instead of answering.
  void setBreakingOff(bool aBreakingOff) { mBreakingOff = aBreakingOff; }
  /// From now on answers one in so many requests whose path begins so with 500; 0: none.
  void setFault(const std::string& aPathPrefix, unsigned aOneIn);
  /// Requests that were answered so.
  std::vector<std::chrono::steady_clock::time_point> faults() const;
  /// States this percentage with its load from now on: how long work takes.
  void setWorkPercent(int aPercent) { mWorkPercent = aPercent; }
  /// Reports at /kv-events that it holds a prompt part from now on, or no longer.
  void setHeld(const std::string& aPart, bool aHeld);
  /// Answers /kv-events from now on as the mode endless_X with this X.
  void setEndlessReports(std::string aPart);
  /// Calls of /kv-events, and those that were refused as another one was waiting.
  int reportCalls() const { return mReportCalls; }
  int refusedReportCalls() const { return mRefusedReportCalls; }
  /// Fails every request of a path with the mode named in the path; false: answers all.
  void setFailing(bool aFailing) { mFailing = aFailing; }

private:
  /// How a stream ends after its events, unless the caller resumes.
  enum class StreamEnd
  {
    Complete,
    ConnectionClosed,
    ConnectionReset,
    LastChunk,
    Trickle,
    Stuck,
  };
  enum class Framing
  {
    Chunked,
    None,
  };
  struct StreamPlan
  {
    int events = 0;
    StreamEnd end = StreamEnd::Complete;
    int pauseMs = 50;
    Framing framing = Framing::Chunked;
    /// Number of events after which the server falls silent once.
    int silentAfter = 0;
    /// Time between the head and the first event.
    int firstEventMs = 0;
    /// Silence before the half of an event with which the stream ends.
    int lastPauseMs = 0;
    /// How long it is silent after silentAfter events.
    int silenceMs = 1500;
  };

  /// Whether this request is one that setFault() fails.
  bool takeFault(const std::string& aPath);
  std::string moreFields() const;
  /// Events from aSince on; nothing if there are none.
  std::optional<std::string> reportFrom(std::uint64_t aSince, bool aEvenIfEmpty) const;
  standins::Awaitable<bool> report(standins::SocketPtr aSocket, standins::Request& aRequest);
  std::string version() const;
  std::string endlessReports() const;
  /// Nothing if the mode is no stream.
  static std::optional<StreamPlan> streamPlan(const std::string& aMode);
  /// Whether the request is answered as its mode says.
  bool followsMode() const;
  /// Answers that come before the body of the request is read.
  standins::Awaitable<bool> handleHead(standins::SocketPtr aSocket, const standins::Request& aHead);
  standins::Awaitable<bool> handle(standins::SocketPtr aSocket, standins::Request& aRequest);
  standins::Awaitable<void> writeInParts(standins::SocketPtr aSocket,
                                         std::string aText,
                                         std::string aMode);
  standins::Awaitable<bool> stream(standins::SocketPtr aSocket,
                                   standins::Request& aRequest,
                                   StreamPlan aPlan);
  standins::Awaitable<void> writeEndlessly(standins::SocketPtr aSocket,
                                           std::string aAttempt,
                                           std::string aPart);
  standins::Awaitable<void> trickle(standins::SocketPtr aSocket);
  standins::Awaitable<void> writeEmptyStream(standins::SocketPtr aSocket,
                                             std::string aAttempt,
                                             int aForMs);
  standins::Awaitable<void> awaitClose(standins::SocketPtr aSocket);

  std::string mId;
  std::string mAddress;
  mutable std::mutex mMutex;
  std::vector<Arrival> mArrivals;
  std::string mMoreFields;
  std::string mVersion;
  std::string mGreeting;
  /// Empty if reports are as they should be.
  std::string mEndlessReports;
  std::string mFaultPrefix;
  unsigned mFaultOneIn = 0;
  unsigned mFaultTurn = 0;
  std::vector<std::chrono::steady_clock::time_point> mFaults;
  /// Parts that it began to hold or evicted, in order.
  std::vector<std::pair<std::string, bool>> mHeldEvents;
  std::atomic<int> mWorkPercent{ 0 };
  std::atomic<int> mReportCalls{ 0 };
  std::atomic<int> mRefusedReportCalls{ 0 };
  std::atomic<int> mWaitingReportCalls{ 0 };
  std::atomic<int> mCancelled{ 0 };
  std::atomic<int> mCrashes{ 0 };
  std::atomic<std::size_t> mEndlessBytes{ 0 };
  std::atomic<int> mEndlessPauseMs{ 0 };
  std::atomic<bool> mReplaced{ false };
  std::atomic<bool> mFailing{ true };
  std::atomic<bool> mFull{ false };
  std::atomic<bool> mBreakingOff{ false };
};

}
