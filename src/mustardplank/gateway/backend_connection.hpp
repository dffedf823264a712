#pragma once

#include "body_framing.hpp"

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/sink_body.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/gateway/body_buffer.hpp"
#include "mustardplank/gateway/types.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Why a response failed.
enum class ResponseFailure
{
  /// The connection broke.
  ConnectionLost,
  /// The response is not valid HTTP, or the gateway cannot relay it: a 2xx response that is
  /// unsigned or content-encoded, or a status other than 2xx after the caller has begun to receive
  /// the stream.
  Malformed,
  /// The response, or one event of a stream, exceeds the size that is buffered.
  TooLarge,
  /// All responses together exceed the memory for them.
  MemoryExceeded,
};

inline constexpr NameTable<ResponseFailure, 4> kResponseFailureNames{ { {
  { ResponseFailure::ConnectionLost, "lost" },
  { ResponseFailure::Malformed, "malformed" },
  { ResponseFailure::TooLarge, "too_large" },
  { ResponseFailure::MemoryExceeded, "memory_exceeded" },
} } };

/// Receives the response to the request sent on a connection.
class ResponseListener
{
public:
  virtual ~ResponseListener() = default;
  /// Returns false if the response belongs to another request; the connection then skips it.
  virtual bool onResponseHead(unsigned aStatus, Fields& aFields, BodyFraming aFraming) = 0;
  virtual void onResponseBody(std::string_view aBytes) = 0;
  /// The connection holds aBytes that it cannot parse before more arrive, such as part of a head.
  /// Not called for few bytes.
  virtual void onUnparsedBytes(std::size_t aBytes) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onResponseFailure(ResponseFailure aFailure) = 0;
};

/// A connection to a backend server that carries one request at a time. It also reads while idle,
/// to detect a close or unexpected bytes before the next request.
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
  using ConnectCallback = std::function<void(BoostErrorCode)>;
  /// Called with true when the connection has become idle, and with false when it has been closed.
  using ReleaseCallback = std::function<void(const std::shared_ptr<BackendConnection>&, bool)>;

  BackendConnection(boost::asio::io_context& aIo, std::string aAddress, ReleaseCallback aOnRelease);

  void connect(const Tcp::endpoint& aEndpoint, ConnectCallback aCallback);
  /// Connects through another instance at its address for other instances. The callback gets
  /// asio::error::host_unreachable if that one does not reach the server.
  void connectThrough(const Tcp::endpoint& aInstance, ConnectCallback aCallback);
  /// Sends one request: its serialized header section and its body, which is not copied.
  /// aIsHeadRequest is true for the method HEAD, whose responses have no body.
  void send(std::string aHeader,
            std::shared_ptr<const BodyBuffer> aBody,
            bool aIsHeadRequest,
            ResponseListener& aListener);
  /// The rest of the response goes to aListener, if there is one in progress.
  void setListener(ResponseListener& aListener)
  {
    mListener = mRequestActive ? &aListener : nullptr;
  }
  /// Detaches the listener and resets the connection, which cancels the request at the server.
  void cancelRequest();
  /// Closes a connection that carries no request.
  void close();

  /// Stops reading, so that a slow caller applies backpressure to the server.
  void pause();
  void resume();
  bool isPaused() const { return mPaused; }

  const std::string& address() const { return mAddress; }
  /// When the idle connection may no longer be reused: shortly before the server closes it.
  TimePoint reusableUntil() const { return mReusableUntil; }
  /// Whether the server has neither ended the idle connection nor sent bytes that nobody has asked
  /// for.
  bool isQuiet();
  /// Whether an earlier request on this connection was answered.
  bool isReused() const { return mResponseCount > 0; }
  bool isOpen() const { return !mClosed; }
  /// Whether it leads through another instance.
  bool isTunnelled() const { return mTunnelled; }
  /// Since when connections to the same process have been open.
  TimePoint reachedAt() const { return mReachedAt; }
  void setReachedAt(TimePoint aAt) { mReachedAt = aAt; }
  /// Whether all bytes of the request have been written.
  bool isRequestWritten() const { return !mWriting; }
  /// Bytes that were written and whose receipt the server's machine has not confirmed.
  std::size_t unacknowledgedBytes();

private:
  /// string_body would reserve memory for the length that a server states, however large.
  using Parser = boost::beast::http::response_parser<SinkBody>;

  void requestTunnel(const ConnectCallback& aCallback);
  /// The server is reached, or aError tells why not.
  void finishConnect(BoostErrorCode aError, const ConnectCallback& aCallback);
  void read();
  void onRead(BoostErrorCode aError, std::size_t aBytes);
  void parse();
  void deliverParsed();
  void reportUnparsedBytes();
  /// Whether the head is valid beyond what the parser checks.
  bool isHeadValid() const;
  /// Whether an end of file, as it was read, ends a response that has no length.
  bool hasEndedCleanly();
  void completeResponse();
  /// Keeps the connection open until the server has read the request.
  void finishRequest();
  void failResponse(ResponseFailure aFailure);
  void closeAndRelease();
  void resetParser();
  void updateIdleExpiry();
  BodyFraming framing() const;

  Socket mSocket;
  std::string mAddress;
  ReleaseCallback mOnRelease;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  /// Parsed and not delivered yet.
  std::string mBodyBytes;
  ResponseListener* mListener = nullptr;
  std::string mRequestHeader;
  /// Until it is written.
  std::shared_ptr<const BodyBuffer> mRequestBody;
  bool mIsHeadRequest = false;
  bool mWriting = false;
  bool mWriteFailed = false;
  /// The server responded before it had received the whole request.
  bool mRespondedEarly = false;
  bool mReading = false;
  bool mPaused = false;
  bool mRequestActive = false;
  bool mClosed = false;
  bool mTunnelled = false;
  /// While the tunnel is being set up.
  std::string mTunnelAnswer;
  bool mHeadDelivered = false;
  bool mSkippingResponse = false;
  std::size_t mResponseCount = 0;
  TimePoint mReachedAt = TimePoint::max();
  /// Bytes read since the request was sent that are not part of its response.
  std::size_t mSkippedBytes = 0;
  /// Last value given to ResponseListener::onUnparsedBytes().
  std::size_t mReportedUnparsedBytes = 0;
  TimePoint mReusableUntil = TimePoint::max();
  boost::asio::steady_timer mUploadTimer;
};

}
