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
enum class ResponseFailure
{
  /// The connection broke.
  ConnectionLost,
  /// Bytes that are no answer.
  Malformed,
};

inline constexpr NameTable<ResponseFailure, 2> kResponseFailureNames{ { {
  { ResponseFailure::ConnectionLost, "lost" },
  { ResponseFailure::Malformed, "malformed" },
} } };

/// Takes the answer to the request that a link carries.
class ResponseListener
{
public:
  virtual ~ResponseListener() = default;
  /// Returns false for an answer to another request, which is then skipped.
  virtual bool onResponseHead(unsigned aStatus, Fields& aFields) = 0;
  virtual void onResponseBody(std::string_view aBytes) = 0;
  virtual void onResponseEnd() = 0;
  virtual void onResponseFailure(ResponseFailure aFailure) = 0;
};

/// One connection to a backend server, which carries one request at a time. It keeps reading while
/// idle, so that a close or surplus bytes are noticed before the next request.
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
  using ConnectCallback = std::function<void(ErrorCode)>;
  /// Called when the link became idle (true) or is of no more use (false).
  using ReleaseCallback = std::function<void(const std::shared_ptr<BackendConnection>&, bool)>;

  BackendConnection(boost::asio::io_context& aIo, std::string aAddress, ReleaseCallback aOnRelease);

  void connect(const Tcp::endpoint& aEndpoint, ConnectCallback aCallback);
  /// Sends one request as it stands. aIsHeadRequest is true for the method HEAD, whose answers have
  /// no body.
  void send(std::string aRequest, bool aIsHeadRequest, ResponseListener& aListener);
  /// The listener wants no more; the connection closes, which cancels the request at the server.
  void cancelRequest();
  /// Closes an idle link.
  void close();

  /// While paused, no more is read, so that a slow caller slows the server.
  void pause();
  void resume();

  const std::string& address() const { return mAddress; }
  /// Until when the server keeps the connection open while idle.
  TimePoint reusableUntil() const { return mReusableUntil; }
  /// Whether it has carried a request before.
  bool isReused() const { return mResponseCount > 0; }
  /// Whether all bytes of the request are written.
  bool isWritten() const { return !mWriting; }

private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void read();
  void onRead(ErrorCode aError, std::size_t aBytes);
  void parse();
  void deliverResponse();
  void completeResponse();
  void failResponse(ResponseFailure aFailure);
  void closeAndRelease();
  void resetParser();
  void updateIdleExpiry();

  Socket mSocket;
  std::string mAddress;
  ReleaseCallback mOnRelease;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  ResponseListener* mListener = nullptr;
  std::string mRequest;
  bool mIsHeadRequest = false;
  bool mWriting = false;
  bool mReading = false;
  bool mPaused = false;
  bool mRequestActive = false;
  bool mClosed = false;
  bool mHeadDelivered = false;
  bool mSkippingResponse = false;
  std::size_t mResponseCount = 0;
  TimePoint mReusableUntil = TimePoint::max();
};

}
