#pragma once

#include "exchange.hpp"
#include "gateway_context.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mustardplank::gateway {

/// One connection of a caller. Reads requests one after the other, and goes on reading while one
/// is answered, so that a caller who leaves is noticed.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(std::shared_ptr<GatewayContext> aContext, Socket aSocket);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void start();
  /// Closes the connection if no request is under way on it.
  void closeIfIdle();

  // For the exchange.
  void write(std::string_view aBytes);
  /// The answer is complete.
  void finishResponse(bool aKeepOpen);
  /// The answer stays incomplete: closes the connection so that the caller can tell.
  void abort();
  /// Bytes that wait for the caller to take them.
  std::size_t pendingBytes() const { return mPendingOutput.size() + mOutputInFlight.size(); }
  /// Whether the answer has to say that the connection closes.
  bool closesAfterResponse() const;

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void onRead(ErrorCode aError, std::size_t aBytes);
  void parse();
  void startExchange();
  void reject(unsigned aStatus, const char* aReason);
  void flush();
  void resetParser();
  void armIdleTimer();
  void close();

  /// Keeps the context until the last connection has ended.
  std::shared_ptr<GatewayContext> mSharedContext;
  GatewayContext& mContext;
  Socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::unique_ptr<Exchange> mExchange;
  std::string mPendingOutput;
  std::string mOutputInFlight;
  std::optional<AlarmQueue::Id> mIdleTimer;
  bool mReading = false;
  bool mWriting = false;
  bool mClosed = false;
  bool mCloseAfterWrite = false;
  bool mRequestKeepAlive = true;
  bool mContinueSent = false;
};

}
