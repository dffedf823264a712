#pragma once

#include "backend_connection.hpp"
#include "gateway_context.hpp"

#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/gateway/event_splitter.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::gateway {

class CallerConnection;

/// Time after which a caller may come back who met an instance without configuration, or a server
/// that could not take the request.
inline constexpr Duration kShortRetryDelay = Millis(500);

/// One request of a caller from its last byte to the end of its answer: asks the dispatcher for a
/// server, sends, relays, and tries again where that is allowed.
class Exchange : public ResponseListener
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  Exchange(GatewayContext& aContext, CallerConnection& aCaller, Request aRequest);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start();
  void onGranted(const dispatch::Grant& aGrant);
  void onRefused(const dispatch::Refusal& aRefusal);
  /// The caller has closed its connection.
  void onCallerClosed();
  /// The caller has taken what was waiting for it.
  void onCallerWritable();
  bool isDone() const { return mDone; }

  bool onResponseHead(unsigned aStatus, Fields& aFields) override;
  void onResponseBody(std::string_view aBytes) override;
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

  bool admit();
  void fillJob(const RequestHead& aHead, const route::Organisation* aOrganisation);
  void submit();
  void onConnected(std::uint32_t aGrantNumber,
                   const BackendConnectionPool::ConnectionPtr& aConnection);
  void send(const BackendConnectionPool::ConnectionPtr& aConnection);
  std::string serializeRequest() const;
  void releaseServer(dispatch::JobOutcome aOutcome);
  /// Sends the request to another server, if it may and can be. False: answer with what there is.
  bool retryOnOtherServer(dispatch::JobOutcome aOutcome, bool aNotExecuted, const char* aCause);
  void writeResponseHead(unsigned aStatus, Fields& aFields, bool aIsStreamed);
  void relayEvents();
  void sendLocalResponse(unsigned aStatus,
                         const char* aReason,
                         std::optional<Duration> aRetryAfter);
  void finishResponse();
  void failResponse(const char* aReason);
  void onDeadline();
  /// Watches for a server that falls silent, if the request may go to another one.
  void armStallTimer();
  Duration stallTimeout() const;
  void checkStall();
  void recordResponseStart();
  void finish(const char* aEvent, unsigned aStatus, std::string_view aReason);
  LogEvent makeLogEvent(LogLevel aLevel, std::string_view aEvent) const;
  void log(const LogEvent& aEvent, bool aIsRoutine);
  TimePoint deadline() const { return mJob.deadline; }
  bool isStream() const;

  GatewayContext& mContext;
  CallerConnection& mCaller;
  Request mRequest;
  RequestHead mRequestHead;
  route::RouteTablePtr mTable;
  const route::Route* mRoute = nullptr;
  dispatch::Job mJob;
  std::uint64_t mRequestDigest = 0;
  Phase mPhase = Phase::WaitingForServer;
  bool mDone = false;
  bool mLogSampled = false;

  std::optional<dispatch::Grant> mGrant;
  BackendConnectionPool::ConnectionPtr mConnection;
  /// Counts grants, so that the outcome of an earlier connection attempt is told apart.
  std::uint32_t mGrantCount = 0;
  std::uint32_t mConnectFailures = 0;
  /// Servers that it was sent to.
  std::uint32_t mSendCount = 0;
  bool mMayHaveExecuted = false;
  TimePoint mSentAt{};
  TimePoint mFirstByteAt{};
  std::optional<AlarmQueue::Id> mDeadlineTimer;
  std::optional<AlarmQueue::Id> mConnectTimer;
  std::optional<AlarmQueue::Id> mStallTimer;
  /// When something came from the server last, or the request was sent.
  TimePoint mLastProgressAt{};

  // The answer under way.
  unsigned mResponseStatus = 0;
  Fields mResponseFields;
  std::string mResponseBody;
  bool mResponseStreamed = false;
  bool mResponseHeadSent = false;
  bool mResponseStarted = false;
  EventSplitter mEventSplitter;
  std::optional<metrics::RequestRecorder> mRecorder;
  /// Lines of this request that are written only if it fails.
  std::vector<LogEvent> mBufferedLogEvents;
};

}
