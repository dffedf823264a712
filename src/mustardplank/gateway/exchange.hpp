#pragma once

#include "backend_connection.hpp"
#include "connection_end.hpp"
#include "gateway_context.hpp"
#include "request_reader.hpp"

#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/gateway/body_buffer.hpp"
#include "mustardplank/gateway/event_splitter.hpp"

#include <boost/beast/http/message.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::gateway {

class CallerConnection;

/// Retry-After for conditions that end soon: no configuration yet, no server that can take the
/// request, a server that did not execute it, or a deadline that passed before it was sent.
inline constexpr Duration kShortRetryDelay = Millis(500);

/// With less time left, no other server is tried after a failed connect or a failed attempt.
inline constexpr Duration kMinRetryTimeLeft = Millis(30);
/// Responses that are not streamed are buffered until they are complete; larger ones fail.
inline constexpr std::size_t kMaxBufferedResponseBytes = 16 * 1024 * 1024;
/// A stream with a longer event fails.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

/// One request of a caller, from its last byte to the end of its response: obtains a server from
/// the dispatcher, forwards the request, relays the response and retries where that is allowed.
class Exchange : public ResponseListener
{
public:
  Exchange(GatewayContext& aContext, CallerConnection& aCaller, CallerRequest aRequest);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start();
  void onGranted(const dispatch::Grant& aGrant);
  void onRefused(const dispatch::Refusal& aRefusal);
  /// The caller's connection has ended.
  void onCallerClosed(ConnectionEnd aEnd);
  /// A write to the caller has completed: resumes reading from the server.
  void onCallerWritable();
  bool isDone() const { return mDone; }
  /// Logs an attempt whose request has not been received by the server's machine for long.
  void checkDelivery(TimePoint aNow);
  /// Bytes of requests that were written and whose receipt is not confirmed.
  std::size_t unacknowledgedBytes() const;
  /// The attempt with this job has to give up what it holds of its response.
  void onMemoryExceeded(dispatch::JobId aJob);
  /// Whether a server may have executed the request, or executes it.
  bool mayHaveExecuted() const;
  /// Ends the request before it is answered, with a status that says whether it may have run.
  void end(const char* aReason);

  bool onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming) override;
  void onResponseBody(std::string_view aBytes) override;
  void onUnparsedBytes(std::size_t aBytes) override;
  void onResponseEnd() override;
  void onResponseFailure(ResponseFailure aFailure) override;

private:
  enum class Phase
  {
    WaitingForServer,
    Connecting,
    AwaitingResponse,
    ReceivingResponse,
    Done,
  };

  /// Takes the configuration and submits the request.
  void begin();
  /// Checks the route, the caller key and whether the request is suspected of crashing servers;
  /// prepares mJob and sets the deadline timer. Returns false if a local response was sent.
  bool admit();
  /// Whether this request, or requests with a part of its prompt, crashed servers.
  bool isCrashSuspect() const;
  void fillJob(const RequestHead& aHead, const route::Organisation* aOrganisation);
  /// Whether the caller goes on with a stream that another attempt of it has begun.
  bool takesUpStream() const;
  /// The stream, by the attempt that brought its first event; nothing if that is not named.
  std::optional<dispatch::StreamKey> streamOfCaller() const;
  /// Finds the software that began the stream, and submits the request for that.
  void findOrigin();
  void onOrigin(const std::optional<dispatch::StreamOrigin>& aOrigin);
  /// Remembers the software that began the stream, the first time.
  void noteOrigin();
  void submit();
  void onConnected(std::uint32_t aGrantNumber,
                   const BackendConnectionPool::ConnectionPtr& aConnection,
                   ConnectResult aResult);
  /// Sends the request, for a stream that has begun only once it is certain that the server runs
  /// the software that its entry names, and that the one that began the stream did.
  void sendOnceConfirmed(const BackendConnectionPool::ConnectionPtr& aConnection);
  /// The server that was reached, or the one that began the stream, may run other software.
  void onServerNotConfirmed(bool aOriginIsKnown);
  /// The server of the attempt in progress, and since when it has been reached.
  dispatch::ServerReach currentReach() const;
  void send(const BackendConnectionPool::ConnectionPtr& aConnection);
  std::string serializeRequestHeader() const;
  /// Gives up the grant, cancels a request in progress and reports aOutcome to the dispatcher.
  void releaseServer(dispatch::JobOutcome aOutcome);
  void cancelConnection();
  void endJob(dispatch::JobId aJob, dispatch::JobOutcome aOutcome);
  /// Releases the server and excludes it from further attempts; then resumes the stalled attempt,
  /// or submits the request again if attempts, time and retry budget allow it. False if neither is
  /// possible: the caller of this function then ends the response.
  bool retryOnOtherServer(dispatch::JobOutcome aOutcome, bool aNotExecuted, const char* aCause);
  /// Whether the request may be sent once more, to a server other than aServer; takes a retry from
  /// the budget if so.
  bool takeRetry(const BackendServerId& aServer, bool aNotExecuted, const char* aCause);
  /// Submits the request to another server and keeps the attempt in progress until that one
  /// responds.
  void replaceStalledAttempt();
  /// Limits the time for which two engines work on the same prompt: the stalled attempt is
  /// cancelled then.
  void limitSharedRun();
  void cancelSharedRunTimer();
  /// Gives up the attempt in progress, if any, and goes on with the stalled one. False if there is
  /// none.
  bool resumeStalledAttempt(dispatch::JobOutcome aOutcome);
  /// Cancels the stalled attempt, if any.
  void dropStalledAttempt(dispatch::JobOutcome aOutcome);
  /// The connection of the stalled attempt broke before another server responded.
  void onStalledAttemptLost(ResponseFailure aFailure);
  void writeResponseHead(unsigned aStatus, Fields& aFields, bool aIsStreamed);
  void relayEvents();
  /// Ends a request that no server takes: with a guarantee that it was not executed, unless an
  /// earlier attempt may have been.
  void refuse(const char* aReason, std::optional<Duration> aRetryAfter);
  /// Responds without a body on the gateway's own behalf; aborts a response whose head has been
  /// sent to the caller.
  void sendLocalResponse(unsigned aStatus,
                         const char* aReason,
                         std::optional<Duration> aRetryAfter);
  void finishResponse();
  /// Ends the request with status 502, or aborts a response whose head has been sent to the caller.
  void failResponse(const char* aReason);
  void onDeadline();
  void armDeadlineTimer();
  /// Applies a longer time limit of a newer configuration to a stream that the caller has begun to
  /// receive. False if there is none.
  bool extendDeadline();
  /// Time that the caller and the route leave, from the arrival of the request.
  Duration timeLimit(const route::Route& aRoute) const;
  /// Starts the check for a server that stops sending, if the request may be sent to another one.
  void armStallTimer();
  Duration stallTimeout() const;
  /// When the silence of the server counts as a stall.
  TimePoint stalledAt() const;
  void checkStall();
  /// Passes on what the server states about its load and the requests that it takes.
  void recordAdmission(const ResponseHead& aHead, const dispatch::Grant& aGrant, TimePoint aSentAt);
  /// Whether the caller may get this response.
  bool mayRelay(const ResponseHead& aHead, unsigned aStatus, const Fields& aFields) const;
  /// Whether the response has the media type of the stream that the caller receives.
  bool continuesStream(const Fields& aFields) const;
  /// Whether the response belongs to the request in progress, by the attempt id that it names.
  bool isResponseToThis(const ResponseHead& aHead, const BackendConnection& aConnection) const;
  void recordResponseStart();
  /// dispatch::CrashReport::digest of this request.
  std::uint64_t makeDigest() const;
  /// What has come of a server's response, but for an event in progress. The fields stay those of
  /// the head that the caller got, once it got one; the rest is of one attempt.
  struct Response
  {
    unsigned status = 0;
    Fields fields;
    BodyBuffer body;
    /// Bytes that the connection holds unparsed.
    std::size_t unparsedBytes = 0;
    BodyFraming framing = BodyFraming::NoBody;
    bool streamed = false;
    /// Events that were relayed to the caller.
    std::size_t eventCount = 0;
    /// When its head came.
    std::optional<TimePoint> startedAt;
  };
  struct ResponseStart
  {
    unsigned status = 0;
    Fields fields;
    BodyFraming framing = BodyFraming::NoBody;
    TimePoint at{};
  };
  /// Processes the head of a response that belongs to the request in progress.
  void acceptResponseHead(const ResponseHead& aHead, const ResponseStart& aStart);
  /// An attempt at a server.
  struct Attempt
  {
    /// Of the dispatcher; each attempt that is kept beside another one has its own.
    dispatch::JobId job = 0;
    dispatch::Grant grant;
    BackendConnectionPool::ConnectionPtr connection;
    Phase phase = Phase::AwaitingResponse;
    TimePoint sentAt{};
    std::int64_t sentAtMs = 0;
    Response response{};
    /// mSendCount when another server was asked.
    std::uint32_t sendCount = 0;
    /// The event in progress.
    EventSplitter events{};
    /// The head, if it came while another server was asked.
    std::optional<ResponseStart> head{};
  };
  /// The response of a stalled attempt. The attempt is resumed when its server makes progress: by a
  /// whole event of a stream, or the whole of another response, as a server in trouble may still
  /// send a byte now and then.
  class StalledResponse : public ResponseListener
  {
  public:
    explicit StalledResponse(Exchange& aExchange)
      : mExchange(aExchange)
    {
    }

    bool onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming) override;
    void onResponseBody(std::string_view aBytes) override;
    void onUnparsedBytes(std::size_t aBytes) override;
    void onResponseEnd() override;
    void onResponseFailure(ResponseFailure aFailure) override;

  private:
    /// Resumes the attempt. False if that has ended it.
    bool resume();

    Exchange& mExchange;
  };

  /// Accounts for what the attempt holds of its response; responses end if all of them hold too
  /// much, also this one.
  void accountMemory(dispatch::JobId aJob,
                     const dispatch::Grant& aGrant,
                     const Response& aResponse,
                     const EventSplitter& aEvents);
  /// Whether a stream that has ended lacks its end, however it was framed: it ends inside an event,
  /// or without any event where only the end of the connection ends it. aEvents holds what is left
  /// of the attempt's stream.
  static bool isStreamBrokenOff(const Response& aResponse, const EventSplitter& aEvents);
  /// How the end of a stream that was broken off counts.
  static ResponseFailure brokenOffFailure(const Response& aResponse);
  /// Logs the loss of a server during the request and reports it, with the parts of the prompt if
  /// the server was lost as it began to answer. aResponse is what came of this attempt.
  void reportServerLoss(const dispatch::Grant& aGrant,
                        std::int64_t aSentAtMs,
                        const Response& aResponse);
  void reportAnswered();
  /// Writes what is known of a request during which the connection to its server broke.
  void logServerLost(const dispatch::Grant& aGrant, const Response& aResponse);
  /// Marks the request as done, logs the event aEventName and releases the server.
  void finishRequest(const char* aEventName, unsigned aStatus, std::string_view aReason);
  LogEvent makeLogEvent(LogLevel aLevel, std::string_view aEventName) const;
  /// Buffers routine events of requests that are not sampled; they are written if an event follows
  /// that is not routine.
  void log(const LogEvent& aEvent, bool aIsRoutine);
  TimePoint deadline() const { return mJob.deadline; }
  bool isStreamingRoute() const;

  GatewayContext& mContext;
  CallerConnection& mCaller;
  boost::beast::http::request_header<> mRequest;
  std::shared_ptr<const BodyBuffer> mRequestBody;
  RequestHead mRequestHead;
  route::RouteTablePtr mTable;
  /// Of mTable when it was taken.
  std::optional<Duration> mConfigurationAge;
  const route::Route* mRoute = nullptr;
  dispatch::Job mJob;
  /// Identifies the request in crash reports.
  std::uint64_t mRequestDigest = 0;
  Phase mPhase = Phase::WaitingForServer;
  bool mDone = false;
  /// Whether routine events are written at once rather than buffered.
  bool mLogSampled = false;

  std::optional<dispatch::Grant> mGrant;
  BackendConnectionPool::ConnectionPtr mConnection;
  /// Counts grants, to tell the current connection attempt from earlier ones.
  std::uint32_t mGrantCount = 0;
  /// Grants that ended before the request was sent: failed connects and revoked grants.
  std::uint32_t mUnsentGrants = 0;
  /// Number of times that the request was sent to a server.
  std::uint32_t mSendCount = 0;
  /// Whether a server may have executed the request in an earlier attempt. The final status must
  /// then not be 503, which states the contrary.
  bool mMayHaveExecuted = false;
  TimePoint mSentAt{};
  /// The same on the clock on which the instances agree, in Unix milliseconds.
  std::int64_t mSentAtMs = 0;
  /// An attempt whose server is silent, while another server is asked.
  std::optional<Attempt> mStalled;
  StalledResponse mStalledResponse{ *this };
  TimePoint mResponseStartedAt{};
  std::optional<AlarmQueue::Id> mDeadlineTimer;
  std::optional<AlarmQueue::Id> mConnectTimer;
  std::optional<AlarmQueue::Id> mStallTimer;
  /// Runs only while mStalled is set.
  std::optional<AlarmQueue::Id> mSharedRunTimer;
  /// Whether the software that began the stream was stated.
  /// The server whose events this response began with.
  std::optional<dispatch::ServerReach> mBegunAt;
  bool mOriginNoted = false;
  /// Whether the server's machine has confirmed the request, or checkDelivery() has logged that it
  /// has not.
  bool mDeliveryChecked = false;
  /// When the request was sent or stream data last arrived.
  TimePoint mLastProgressAt{};

  // The response in progress.
  Response mResponse;
  /// Bytes after the last complete event when the server's stream ended.
  std::size_t mUnfinishedEventBytes = 0;
  bool mResponseHeadSent = false;
  /// The head that the caller got says that the connection ends with the response.
  bool mCloseAnnounced = false;
  bool mResponseStarted = false;
  EventSplitter mEventSplitter;
  std::optional<metrics::RequestRecorder> mRecorder;
  /// Routine events of a request that is not sampled; written once an event follows that is not
  /// routine.
  std::vector<LogEvent> mBufferedLogEvents;
};

}
