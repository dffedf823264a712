#pragma once

#include "backend_link.hpp"
#include "context.hpp"

#include "mustardplank/dispatch/job.hpp"
#include "mustardplank/gateway/event_splitter.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::gateway {

class CallerLink;

/// Time after which a caller may come back who met an instance without configuration, or a server
/// that could not take the request.
inline constexpr Duration kRetrySoon = Millis(500);

/// One request of a caller from its last byte to the end of its answer: asks the dispatcher for a
/// server, sends, relays, and tries again where that is allowed.
class Exchange : public AnswerListener
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  Exchange(Context& aContext, CallerLink& aCaller, Request aRequest);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  void start();
  void granted(const dispatch::Grant& aGrant);
  void refused(const dispatch::Refusal& aRefusal);
  /// The caller has closed its connection.
  void callerGone();
  /// The caller has taken what was waiting for it.
  void callerReady();
  bool isDone() const { return mDone; }

  bool onAnswerHead(unsigned aStatus, Fields& aFields) override;
  void onAnswerBody(std::string_view aBytes) override;
  void onAnswerEnd() override;
  void onAnswerFault(AnswerFault aFault) override;

private:
  enum class Phase
  {
    Waiting,
    Connecting,
    Sent,
    Answering,
    Done,
  };

  bool admit();
  void makeJob(const RequestHead& aHead, const route::Organisation* aOrganisation);
  void submit();
  void connected(std::uint32_t aTry, const BackendPool::Link& aLink);
  void send(const BackendPool::Link& aLink);
  std::string requestText() const;
  void releaseServer(dispatch::JobOutcome aOutcome);
  /// Sends the request to another server, if it may and can be. False: answer with what there is.
  bool tryElsewhere(dispatch::JobOutcome aOutcome, bool aNotRun, const char* aCause);
  void passOnHead(unsigned aStatus, Fields& aFields, bool aStreamed);
  void relayEvents();
  void answerOwn(unsigned aStatus, const char* aReason, std::optional<Duration> aRetryAfter);
  void finishAnswer();
  void breakOff(const char* aReason);
  void timeUp();
  /// Watches for a server that falls silent, if the request may go to another one.
  void armStallAlarm();
  Duration stallLimit() const;
  void checkStall();
  void noteBegan();
  void end(const char* aEvent, unsigned aStatus, std::string_view aReason);
  LogEvent line(LogLevel aLevel, std::string_view aEvent) const;
  void log(const LogEvent& aEvent, bool aRoutine);
  TimePoint deadline() const { return mJob.deadline; }
  bool isStream() const;

  Context& mContext;
  CallerLink& mCaller;
  Request mRequest;
  RequestHead mHead;
  route::RouteTablePtr mTable;
  const route::Route* mRoute = nullptr;
  dispatch::Job mJob;
  std::uint64_t mDigest = 0;
  Phase mPhase = Phase::Waiting;
  bool mDone = false;
  bool mSampled = false;

  std::optional<dispatch::Grant> mGrant;
  BackendPool::Link mLink;
  /// Counts grants, so that the outcome of an earlier connection attempt is told apart.
  std::uint32_t mTry = 0;
  std::uint32_t mConnectFailures = 0;
  /// Servers that it was sent to.
  std::uint32_t mSends = 0;
  bool mMayHaveRun = false;
  TimePoint mSentAt{};
  TimePoint mFirstByteAt{};
  std::optional<AlarmQueue::Id> mAlarm;
  std::optional<AlarmQueue::Id> mConnectAlarm;
  std::optional<AlarmQueue::Id> mStallAlarm;
  /// When something came from the server last, or the request was sent.
  TimePoint mHeardAt{};

  // The answer under way.
  unsigned mStatus = 0;
  Fields mAnswerFields;
  std::string mBody;
  bool mStreamed = false;
  bool mHeadPassed = false;
  bool mBegan = false;
  EventSplitter mEvents;
  std::optional<metrics::RequestRecorder> mRecorder;
  /// Lines of this request that are written only if it fails.
  std::vector<LogEvent> mHeldLines;
};

}
