#pragma once

#include "asio_types.hpp"
#include "refusal.hpp"
#include "request.hpp"

#include "mustardplank/base/time.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace mustardplank::traffic {

class Server;

/// An answer that is written as a whole.
struct Answer
{
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::string requestId;
  Duration retryAfter{};
};

/// One connection of a caller: reads requests one after the other and answers them.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(Server& aServer, Socket aSocket, bool aAdmin);
  ~CallerConnection();

  /// Runs until the connection ends.
  Task<void> run();

  /// Writes a whole answer. Returns false when the caller is gone.
  Task<bool> answer(Answer aAnswer);
  Task<bool> refuse(Refusal aRefusal, std::string aRequestId);
  /// Writes a part of an answer that the caller of this function frames itself.
  Task<bool> write(std::string_view aBytes);
  /// Writes what the socket takes at once and returns the rest. A token nearly always fits, and
  /// then costs no coroutine.
  std::string_view writeAtOnce(std::string_view aBytes);
  /// The connection is closed after the present answer.
  void closeAfterAnswer() { mKeepAlive = false; }
  bool keepsAlive() const { return mKeepAlive; }
  /// HTTP/1.0 knows no chunked coding: a stream ends with the connection.
  bool isHttp10() const { return mVersion < 11; }

  /// Ends the connection when its caller is too slow.
  void sweep(TimePoint aNow);
  void closeIfIdle();
  void close();

private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase
  {
    Idle,
    Header,
    Body,
    Working,
    Writing,
    Closing,
  };

  Task<bool> serveNext();
  /// Reads the next request. Returns nullptr when it was answered here or the connection ended.
  Task<std::unique_ptr<Request>> receive();
  Task<bool> readHeader(Parser& aParser);
  Task<bool> readBody(Parser& aParser);
  Task<void> refuseBrokenInput(boost::system::error_code aError);
  Task<void> refuseAndClose(Refusal aRefusal);
  Task<bool> answerSimple(const Parser& aParser);
  Task<void> answerModels(const Parser& aParser);
  Task<void> lingerAndClose();
  void watchCaller();
  void callerMayHaveLeft(boost::system::error_code aError);
  void setPhase(Phase aPhase);

  Server& mServer;
  Socket mSocket;
  const bool mAdmin;
  boost::beast::flat_buffer mBuffer;
  Phase mPhase = Phase::Header;
  TimePoint mPhaseSince;
  bool mTimedOut = false;
  bool mKeepAlive = true;
  bool mFirst = true;
  bool mHeadOnly = false;
  bool mUnreadInput = false;
  unsigned mVersion = 11;
  Request* mRequest = nullptr;
};

}
