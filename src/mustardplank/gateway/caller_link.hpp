#pragma once

#include "context.hpp"
#include "exchange.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace mustardplank::gateway {

/// One connection of a caller. Reads requests one after the other, and goes on reading while one
/// is answered, so that a caller who leaves is noticed.
class CallerLink : public std::enable_shared_from_this<CallerLink>
{
public:
  CallerLink(std::shared_ptr<Context> aContext, Socket aSocket);
  ~CallerLink();
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;

  void start();
  /// Closes the connection if no request is under way on it.
  void closeIfIdle();

  // For the exchange.
  void write(std::string_view aBytes);
  /// The answer is complete.
  void finish(bool aKeepOpen);
  /// The answer stays incomplete: closes the connection so that the caller can tell.
  void abort();
  /// Bytes that wait for the caller to take them.
  std::size_t pending() const { return mOut.size() + mSending.size(); }
  /// Whether the answer has to say that the connection closes.
  bool closesAfter() const;

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void read();
  void onRead(ErrorCode aError, std::size_t aBytes);
  void parse();
  void startExchange();
  void reject(unsigned aStatus, const char* aReason);
  void flush();
  void newParser();
  void armIdleAlarm();
  void close();

  /// Keeps the context until the last connection has ended.
  std::shared_ptr<Context> mOwner;
  Context& mContext;
  Socket mSocket;
  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::unique_ptr<Exchange> mExchange;
  std::string mOut;
  std::string mSending;
  std::optional<AlarmQueue::Id> mIdleAlarm;
  bool mReading = false;
  bool mWriting = false;
  bool mClosed = false;
  bool mCloseAfterWrite = false;
  bool mRequestKeepAlive = true;
  bool mContinued = false;
};

}
