#pragma once

#include "connection_end.hpp"
#include "exchange.hpp"
#include "gateway_context.hpp"

#include "request_reader.hpp"

#include <memory>
#include <optional>
#include <string>

namespace mustardplank::gateway {

/// The peer's address, without its port.
std::string
addressOf(const Socket& aSocket);

/// A caller's connection. Processes its requests one at a time, and keeps reading while a request
/// is in progress, to detect that the caller has closed the connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(std::shared_ptr<GatewayContext> aContext, Socket aSocket);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void start();
  /// Closes the connection unless a request is being received or processed or output is still to be
  /// written.
  void closeIfIdle();
  /// Whether a request is being received or is in progress, or output is still to be written; in a
  /// planned stop also whether a further request may come.
  bool isBusy() const;
  /// Answers a request that has arrived in part with 503; closes the connection if there is none.
  void refuseUnfinishedRequest();
  /// Applies the limits of a new configuration to the next request and the time for which it is
  /// awaited. A lower limit holds from the next wait on: the caller may not know it yet.
  void extendLimits();
  /// Gives up what the caller makes the process hold: rejects a request that no server may have run
  /// with 503, or closes the connection.
  void onMemoryExceeded();
  /// Rejects a request that arrives too slowly for the memory that it holds.
  void rejectStalled();
  /// Closes the connection for one of another caller; false if a request has arrived.
  bool closeForAnother();

  /// Bytes that were written and whose receipt the caller's machine has not confirmed.
  std::size_t unacknowledgedBytes();

  // For Exchange.
  void setOrganisation(const std::string& aOrganisation);
  /// A server may run the request from now on.
  void onRequestSent() { account(); }
  void write(std::string_view aBytes);
  /// Announces further output of this size, so that it is not copied as it grows.
  void reserveOutput(std::size_t aBytes);
  /// Ends a complete response and destroys the exchange. Closes the connection after the pending
  /// bytes are written, unless aKeepOpen.
  void finishResponse(bool aKeepOpen);
  /// Closes the connection in the middle of a response, so that the caller detects that the
  /// response is incomplete. aReason is the one of the request's end.
  void abort(const char* aReason);
  /// Bytes that have not been written to the socket yet.
  std::size_t pendingBytes() const { return mPendingOutput.size() + mOutputInFlight.size(); }
  /// Whether the response must announce that the connection closes.
  bool closesAfterResponse() const;
  /// Whether the caller has closed the connection, which may not have been noticed yet.
  bool hasCallerLeft();
  /// The caller was found to have left.
  void closeAfterCaller() { close(ConnectionEnd::CallerClosed); }
  /// Whether bytes of a further request have been read.
  bool hasNextRequest() const { return mReader.unparsedBytes() > 0; }

private:
  route::CallerLimits limits() const;
  /// Most unparsed bytes before reading pauses.
  std::size_t maxUnparsedBytes() const;
  void read();
  void onReadable(BoostErrorCode aError);
  void receive(std::string_view aBytes);
  void parse();
  /// The request in progress has not arrived whole yet.
  void onRequestUnfinished();
  void startExchange();
  /// Destroys the exchange after its own calls have returned.
  void releaseExchange();
  void reject(unsigned aStatus, const char* aReason);
  /// A response without a body on the gateway's own behalf.
  std::string refusalText(unsigned aStatus, std::string_view aFields) const;
  /// Refuses the request that has just arrived; the connection closes with the last one that was
  /// sent ahead.
  void refuseWhileDraining();
  /// Announces the end of the connection and discards what still arrives: closing a socket with
  /// unread bytes resets the connection, and the caller may lose the response.
  void linger();
  void armLingerTimer(Duration aTime);
  /// Looks for a whole request among the bytes that arrive after the last response; the connection
  /// then ends soon, so that its caller need not wait.
  void findRequestAfterEnd();
  /// Closes the connection unless bytes have arrived.
  void closeAtIdleLimit();
  void flush();
  CallerStage stage() const;
  /// States what the caller makes the process hold.
  void account();
  /// States the organisation of a request whose body is still arriving.
  void identifyOrganisation();
  void releaseWrittenOutput();
  /// Restarts the idle time once a response has been written.
  void onOutputWritten();
  void resetReader();
  /// Starts the timer that closes an idle connection or rejects a request that does not arrive in
  /// time.
  void armReceiveTimer();
  void setReceiveTimer(TimePoint aAt);
  Duration receiveTimeout() const;
  /// The only end of the connection, but for that of the process.
  void close(ConnectionEnd aEnd);
  /// Logs and counts a request that was read whole and gets no complete answer.
  void noteUnanswered(std::string_view aReason) const;

  /// Keeps the context alive until the last connection is destroyed.
  std::shared_ptr<GatewayContext> mSharedContext;
  GatewayContext& mContext;
  Socket mSocket;
  RequestReader mReader;
  std::unique_ptr<Exchange> mExchange;
  /// Keeps the connection while mExchange is in progress: with reading paused and nothing to write,
  /// no operation on the socket does.
  std::shared_ptr<CallerConnection> mExchangeOwner;
  /// Of the request in mExchange.
  std::size_t mRequestBytes = 0;
  /// In GatewayContext::callerMemory.
  const CallerMemory::HolderId mId;
  std::string mPendingOutput;
  std::string mOutputInFlight;
  std::optional<AlarmQueue::Id> mReceiveTimer;
  /// In a planned stop, for a request after a response that did not announce the end.
  TimePoint mExpectsRequestUntil{};
  /// When the wait that mReceiveTimer limits began.
  TimePoint mReceivingSince{};
  bool mReading = false;
  bool mWriting = false;
  bool mClosed = false;
  bool mCloseAfterWrite = false;
  bool mLingering = false;
  /// The rest of the request in progress is discarded.
  bool mRejected = false;
  bool mRequestKeepAlive = true;
  bool mContinueSent = false;
  /// While lingering: what arrives may be a request, which gets no answer.
  bool mFindsRequestAfterEnd = false;
};

}
