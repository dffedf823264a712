#pragma once

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/gateway/types.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Why an answer did not come whole.
enum class AnswerFault
{
  /// The connection broke.
  Lost,
  /// Bytes that are no answer.
  Malformed,
};

inline constexpr NameTable<AnswerFault, 2> kAnswerFaultNames{ { {
  { AnswerFault::Lost, "lost" },
  { AnswerFault::Malformed, "malformed" },
} } };

/// Takes the answer to the request that a link carries.
class AnswerListener
{
public:
  virtual ~AnswerListener() = default;
  /// Returns false for an answer to another request, which is then skipped.
  virtual bool onAnswerHead(unsigned aStatus, Fields& aFields) = 0;
  virtual void onAnswerBody(std::string_view aBytes) = 0;
  virtual void onAnswerEnd() = 0;
  virtual void onAnswerFault(AnswerFault aFault) = 0;
};

/// One connection to a backend server, which carries one request at a time. It keeps reading while
/// idle, so that a close or surplus bytes are noticed before the next request.
class BackendLink : public std::enable_shared_from_this<BackendLink>
{
public:
  using Connected = std::function<void(ErrorCode)>;
  /// Called when the link became idle (true) or is of no more use (false).
  using Released = std::function<void(const std::shared_ptr<BackendLink>&, bool)>;

  BackendLink(boost::asio::io_context& aIo, std::string aAddress, Released aReleased);

  void connect(const Tcp::endpoint& aEndpoint, Connected aConnected);
  /// Sends one request as it stands. aHead is true for the method HEAD, whose answers have no body.
  void send(std::string aRequest, bool aHead, AnswerListener& aListener);
  /// The listener wants no more; the connection closes, which cancels the request at the server.
  void abandon();
  /// Closes an idle link.
  void close();

  /// While paused, no more is read, so that a slow caller slows the server.
  void pause();
  void resume();

  const std::string& address() const { return mAddress; }
  /// Until when the server keeps the connection open while idle.
  TimePoint usableUntil() const { return mUsableUntil; }
  /// Whether it has carried a request before.
  bool isReused() const { return mAnswers > 0; }
  /// Whether all bytes of the request are written.
  bool isWritten() const { return !mWriting; }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void read();
  void onRead(ErrorCode aError, std::size_t aBytes);
  void parse();
  void deliver();
  void answerDone();
  void fault(AnswerFault aFault);
  void discard();
  void newParser();
  void noteKeepAlive();

  Socket mSocket;
  std::string mAddress;
  Released mReleased;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  AnswerListener* mListener = nullptr;
  std::string mRequest;
  bool mHead = false;
  bool mWriting = false;
  bool mReading = false;
  bool mPaused = false;
  bool mBusy = false;
  bool mClosed = false;
  bool mHeadDelivered = false;
  bool mSkipping = false;
  std::size_t mAnswers = 0;
  TimePoint mUsableUntil = TimePoint::max();
};

}
