#pragma once

#include "asio_types.hpp"
#include "backend_client.hpp"
#include "backend_exchange.hpp"
#include "chat_chunk.hpp"
#include "refusal.hpp"
#include "request.hpp"
#include "server.hpp"

#include "mustardplank/traffic/sse.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mustardplank::traffic {

class CallerConnection;

/// Runs one request to the end of its answer, over as many attempts as it takes.
class RequestRun
{
public:
  RequestRun(Server& aServer, CallerConnection& aCaller, Request& aRequest);
  ~RequestRun();

  Task<void> run();

private:
  enum class AttemptEnd
  {
    /// The caller has its answer, or is gone.
    Ended,
    /// Ask for another permit, if the request may run again.
    Failed,
    Preempted,
  };

  // Permits.
  Task<bool> beginOnce();
  Task<bool> waitForPermit();
  Task<void> wait(Duration aAtMost);
  void submitAgain(AttemptEnd aEnd);
  bool mayRunAgain() const;
  /// Whether the request must be cut off; one that was preempted goes on.
  bool interrupted() const;
  Task<bool> endIfInterrupted();

  // Attempts.
  Task<AttemptEnd> attempt();
  Task<std::shared_ptr<BackendExchange>> open(const pool::StartStream& aGrant);
  Task<AttemptEnd> relayChat(std::shared_ptr<BackendExchange> aExchange);
  Task<AttemptEnd> relayService(std::shared_ptr<BackendExchange> aExchange);
  Task<AttemptEnd> endOfBrokenAttempt(pool::SlotOutcome aOutcome);
  Task<AttemptEnd> endOfLostConnection(pool::SlotOutcome aOutcome = pool::SlotOutcome::ServerLost);
  void giveBack(const BackendExchange& aExchange);

  // Chunks of a chat completion.
  bool takeBody(std::string_view aBytes);
  bool takeEvent(std::string_view aData);
  bool takeChunk(std::string_view aData, const ChatChunk& aChunk);
  bool countToken(std::string_view aEscapedText);
  bool keepText(std::string_view aEscapedText);
  /// Whether the caller gets the chunks as they come.
  bool relays() const { return mRequest.stream && !mRequest.once; }
  bool appendEvent(std::string_view aData);
  void beginOut();
  Task<bool> flush();
  /// Completes mOut for the socket; false when there is nothing to write.
  bool endOut();
  Task<AttemptEnd> finishChat();
  std::string completion() const;
  std::uint64_t completionTokens() const;

  // Ends.
  Task<void> fail(Refusal aRefusal);
  Task<void> deliver(unsigned aStatus, const std::string& aContentType, const std::string& aBody);
  Task<bool> storeOutcome(unsigned aStatus,
                          const std::string& aContentType,
                          const std::string& aBody);
  void reportNoOutcome();
  void reportUsage();
  RunState runState() const;

  Server& mServer;
  CallerConnection& mCaller;
  Request& mRequest;
  Server::Registration mRegistration;
  std::shared_ptr<BackendConnection> mConnection;

  // Of all attempts.
  bool mHeadSent = false;
  bool mRoleSent = false;
  bool mResumable = true;
  std::uint32_t mRejections = 0;
  /// Text so far, as it stands between the quotes of a JSON string.
  std::string mText;
  std::string mFinishReason;
  std::uint64_t mPromptTokens = 0;
  TimePoint mLastToken{};
  /// Outcome of a non-idempotent request was handed to the log.
  bool mOnceEnded = false;

  // Of the present attempt.
  std::optional<ChatChunkReader> mChunks;
  SseParser mSse;
  bool mDone = false;
  std::uint64_t mBackendTokens = 0;
  std::string mProblem;
  /// Outcome when no answer began.
  pool::SlotOutcome mOpenOutcome = pool::SlotOutcome::ServerLost;
  TimePoint mReadAt{};
  std::string mServiceBody;
  /// Bytes for the caller; of a request with an idempotency key, the whole answer so far.
  std::string mOut;
  std::size_t mChunkStart = 0;
};

}
