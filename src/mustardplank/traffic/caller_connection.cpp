#include "caller_connection.hpp"

#include "admission.hpp"
#include "request_builder.hpp"
#include "request_run.hpp"
#include "server.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

namespace mustardplank::traffic {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// How much of a refused request is read and dropped, so that the caller gets to read the refusal
/// before its connection is reset.
constexpr std::size_t kMaxLingerBytes = 4 * 1024 * 1024;
constexpr Duration kLingerTimeout = Seconds(2);

std::string_view
view(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view
pathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

long
seconds(Duration aDuration)
{
  return std::chrono::ceil<Seconds>(aDuration).count();
}

}

CallerConnection::CallerConnection(Server& aServer, Socket aSocket, bool aAdmin)
  : mServer(aServer)
  , mSocket(std::move(aSocket))
  , mAdmin(aAdmin)
  , mPhaseSince(bootNow())
{
  boost::system::error_code ec;
  mSocket.non_blocking(true, ec);
  mServer.add(*this);
}

CallerConnection::~CallerConnection()
{
  mServer.remove(*this);
}

Task<void>
CallerConnection::run()
{
  bool goOn = true;
  while (goOn && mKeepAlive && !mServer.stopping()) {
    goOn = co_await serveNext();
    mFirst = false;
  }
  co_await lingerAndClose();
}

Task<bool>
CallerConnection::serveNext()
{
  auto request = co_await receive();
  if (!request) {
    co_return mSocket.is_open();
  }
  if (mBuffer.size() == 0) {
    mBuffer.shrink_to_fit();
  }
  setPhase(Phase::Working);
  mRequest = request.get();
  watchCaller();
  {
    RequestRun run(mServer, *this, *request);
    co_await run.run();
  }
  mRequest = nullptr;
  boost::system::error_code ec;
  mSocket.cancel(ec);
  co_return mSocket.is_open();
}

Task<std::unique_ptr<Request>>
CallerConnection::receive()
{
  if (mServer.draining() && !mFirst) {
    mKeepAlive = false;
    co_return nullptr;
  }
  if (!mFirst && mBuffer.size() == 0) {
    setPhase(Phase::Idle);
    auto [ec] = co_await mSocket.async_wait(Socket::wait_read, kAwait);
    if (ec) {
      close();
      co_return nullptr;
    }
  }
  Parser parser;
  parser.header_limit(mServer.settings().callerLimits.maxHeaderBytes);
  parser.body_limit(mServer.settings().callerLimits.maxBodyBytes);
  const bool gotHeader = co_await readHeader(parser);
  if (!gotHeader) {
    co_return nullptr;
  }
  mVersion = parser.get().version();
  mKeepAlive = parser.get().keep_alive();
  mHeadOnly = parser.get().method() == http::verb::head;
  mUnreadInput = !parser.is_done();
  const bool answered = co_await answerSimple(parser);
  if (answered) {
    co_return nullptr;
  }
  RequestBuilder builder(mServer, parser.get());
  if (auto refusal = builder.checkHeader()) {
    co_await refuseAndClose(std::move(*refusal));
    co_return nullptr;
  }
  const auto bodyLimit = mServer.settings().callerLimits.maxBodyBytes;
  std::shared_ptr<void> memory =
    mServer.reserveBody(parser.content_length().value_or(parser.is_done() ? 0 : bodyLimit));
  if (!memory) {
    co_await refuseAndClose(
      notRun(ErrorCode::Overloaded, "this instance has no memory for another body", Seconds(1)));
    co_return nullptr;
  }
  const bool gotBody = co_await readBody(parser);
  if (!gotBody) {
    co_return nullptr;
  }
  auto result = builder.build(parser.get());
  if (auto* refusal = std::get_if<Refusal>(&result)) {
    Refusal copy = std::move(*refusal);
    co_await refuse(std::move(copy), mServer.nextRequestId().str());
    co_return nullptr;
  }
  auto request = std::move(std::get<std::unique_ptr<Request>>(result));
  request->bodyMemory = std::move(memory);
  co_return request;
}

Task<bool>
CallerConnection::readHeader(Parser& aParser)
{
  setPhase(Phase::Header);
  mTimedOut = false;
  auto [ec, n] = co_await http::async_read_header(mSocket, mBuffer, aParser, kAwait);
  if (!ec) {
    co_return true;
  }
  const bool nothingCame = n == 0 && mBuffer.size() == 0;
  if (ec == http::error::end_of_stream || nothingCame) {
    close();
    co_return false;
  }
  co_await refuseBrokenInput(ec);
  co_return false;
}

Task<bool>
CallerConnection::readBody(Parser& aParser)
{
  setPhase(Phase::Body);
  mTimedOut = false;
  const auto expect = aParser.get()[http::field::expect];
  if (boost::beast::iequals(expect, "100-continue") && !aParser.is_done()) {
    const bool written = co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    if (!written) {
      co_return false;
    }
    setPhase(Phase::Body);
  }
  auto [ec, n] = co_await http::async_read(mSocket, mBuffer, aParser, kAwait);
  if (ec) {
    co_await refuseBrokenInput(ec);
    co_return false;
  }
  mUnreadInput = false;
  co_return true;
}

Task<void>
CallerConnection::refuseBrokenInput(boost::system::error_code aError)
{
  const auto& limits = mServer.settings().callerLimits;
  const bool inHeader = mPhase == Phase::Header;
  mUnreadInput = true;
  Refusal refusal{ ErrorCode::InvalidRequest, "", RunState::NotRun, {} };
  if (mTimedOut) {
    const auto limit = inHeader ? limits.headerTimeout : limits.bodyTimeout;
    refusal.code = ErrorCode::Timeout;
    refusal.message = std::string(inHeader ? "the header" : "the body") + " did not come within " +
                      std::to_string(seconds(limit)) + " s";
  } else if (aError == http::error::header_limit) {
    refusal.code = ErrorCode::HeaderTooLarge;
    refusal.message =
      "the header is longer than " + std::to_string(limits.maxHeaderBytes) + " bytes";
  } else if (aError == http::error::body_limit) {
    refusal.code = ErrorCode::BodyTooLarge;
    refusal.message = "the body is longer than " + std::to_string(limits.maxBodyBytes) + " bytes";
  } else if (aError.category() == http::make_error_code(http::error::bad_method).category() &&
             aError != http::error::partial_message) {
    refusal.message = "malformed HTTP: " + aError.message();
  } else {
    close();
    co_return;
  }
  co_await refuseAndClose(std::move(refusal));
}

Task<void>
CallerConnection::refuseAndClose(Refusal aRefusal)
{
  // The rest of the request is not read, so that no other can follow on this connection.
  mKeepAlive = mKeepAlive && !mUnreadInput;
  co_await refuse(std::move(aRefusal), mServer.nextRequestId().str());
}

Task<bool>
CallerConnection::answerSimple(const Parser& aParser)
{
  const auto path = pathOf(view(aParser.get().target()));
  const bool isHealth = path == "/healthz";
  const bool isReady = path == "/readyz";
  const bool isMetrics = mAdmin && path == "/metrics";
  const bool isModels = !mAdmin && path == "/v1/models";
  if (!isHealth && !isReady && !isMetrics && !isModels) {
    if (mAdmin) {
      co_await refuseAndClose(notRun(ErrorCode::NotFound, "there is no such path"));
    }
    co_return mAdmin;
  }
  if (aParser.get().method() != http::verb::get && !mHeadOnly) {
    co_await refuseAndClose(notRun(ErrorCode::MethodNotAllowed, "only GET works here"));
    co_return true;
  }
  mKeepAlive = mKeepAlive && !mUnreadInput;
  if (isModels) {
    co_await answerModels(aParser);
    co_return true;
  }
  Answer reply;
  reply.contentType = "text/plain; charset=utf-8";
  if (isMetrics) {
    reply.contentType = "text/plain; version=0.0.4; charset=utf-8";
    reply.body = mServer.metrics().scrape();
  } else if (isReady && mServer.draining()) {
    reply.status = 503;
    reply.body = "draining\n";
  } else if (isReady && !mServer.state()) {
    reply.status = 503;
    reply.body = "no configuration yet\n";
  } else {
    reply.body = isReady ? "ready\n" : "ok\n";
  }
  co_await answer(std::move(reply));
  co_return true;
}

Task<void>
CallerConnection::answerModels(const Parser& aParser)
{
  RequestBuilder builder(mServer, aParser.get());
  if (auto refusal = builder.checkCaller()) {
    co_await refuseAndClose(std::move(*refusal));
    co_return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& model : modelsOfClass(*mServer.state(), builder.admitted().requestClass)) {
    list.push_back(
      { { "id", model.str() }, { "object", "model" }, { "owned_by", "mustardplank" } });
  }
  Answer reply;
  reply.body = nlohmann::json{ { "object", "list" }, { "data", std::move(list) } }.dump();
  co_await answer(std::move(reply));
}

Task<bool>
CallerConnection::refuse(Refusal aRefusal, std::string aRequestId)
{
  if (aRefusal.code == ErrorCode::Draining || mServer.draining()) {
    mKeepAlive = false;
  }
  Answer reply;
  reply.status = httpStatus(aRefusal.code);
  reply.body = refusalBody(aRefusal, aRequestId);
  reply.requestId = std::move(aRequestId);
  reply.retryAfter = aRefusal.retryAfter;
  co_return co_await answer(std::move(reply));
}

Task<bool>
CallerConnection::answer(Answer aAnswer)
{
  if (mServer.draining()) {
    mKeepAlive = false;
  }
  http::response<http::string_body> response{ http::int_to_status(aAnswer.status), mVersion };
  response.result(aAnswer.status);
  response.set(http::field::content_type, aAnswer.contentType);
  if (!aAnswer.requestId.empty()) {
    response.set("X-Request-Id", aAnswer.requestId);
  }
  if (aAnswer.retryAfter > Duration::zero()) {
    response.set(http::field::retry_after, std::to_string(seconds(aAnswer.retryAfter)));
  }
  if (aAnswer.status == 401) {
    response.set(http::field::www_authenticate, "Bearer");
  }
  response.keep_alive(mKeepAlive);
  response.body() = std::move(aAnswer.body);
  response.prepare_payload();
  if (mHeadOnly) {
    response.body().clear();
  }
  http::serializer<false, http::string_body> serializer{ response };
  setPhase(Phase::Writing);
  while (!serializer.is_done()) {
    auto [ec, n] = co_await http::async_write_some(mSocket, serializer, kAwait);
    if (ec) {
      close();
      co_return false;
    }
    mPhaseSince = bootNow();
  }
  setPhase(Phase::Working);
  co_return true;
}

std::string_view
CallerConnection::writeAtOnce(std::string_view aBytes)
{
  boost::system::error_code ec;
  const auto n = mSocket.write_some(asio::buffer(aBytes.data(), aBytes.size()), ec);
  // An error shows again at the next write or read.
  aBytes.remove_prefix(ec ? 0 : n);
  return aBytes;
}

Task<bool>
CallerConnection::write(std::string_view aBytes)
{
  setPhase(Phase::Writing);
  while (!aBytes.empty()) {
    auto [ec, n] =
      co_await mSocket.async_write_some(asio::buffer(aBytes.data(), aBytes.size()), kAwait);
    if (ec) {
      close();
      co_return false;
    }
    aBytes.remove_prefix(n);
    if (!aBytes.empty()) {
      mPhaseSince = bootNow();
    }
  }
  mPhase = Phase::Working;
  co_return true;
}

Task<void>
CallerConnection::lingerAndClose()
{
  if (!mSocket.is_open()) {
    co_return;
  }
  boost::system::error_code ec;
  mSocket.shutdown(Socket::shutdown_send, ec);
  if (!mUnreadInput || ec) {
    close();
    co_return;
  }
  setPhase(Phase::Closing);
  mBuffer.clear();
  std::size_t dropped = 0;
  while (dropped < kMaxLingerBytes) {
    auto [error, n] = co_await mSocket.async_read_some(mBuffer.prepare(4096), kAwait);
    if (error) {
      break;
    }
    dropped += n;
  }
  close();
}

void
CallerConnection::watchCaller()
{
  const auto self = weak_from_this();
  mSocket.async_wait(Socket::wait_read, [self](boost::system::error_code aError) {
    if (const auto connection = self.lock()) {
      connection->callerMayHaveLeft(aError);
    }
  });
}

void
CallerConnection::callerMayHaveLeft(boost::system::error_code aError)
{
  if (mRequest == nullptr || aError == asio::error::operation_aborted) {
    return;
  }
  char byte = 0;
  const auto n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isOpen = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  if (!isOpen) {
    mRequest->interruptWith(Interrupt::CallerLeft);
  } else if (n < 0) {
    watchCaller();
  }
  // Otherwise the next request came early; the sweep looks for the end of the connection.
}

void
CallerConnection::sweep(TimePoint aNow)
{
  const auto& limits = mServer.settings().callerLimits;
  const Duration spent = aNow - mPhaseSince;
  switch (mPhase) {
    case Phase::Idle:
      if (spent > limits.idleTimeout) {
        close();
      }
      return;
    case Phase::Header:
    case Phase::Body:
      if (spent > (mPhase == Phase::Header ? limits.headerTimeout : limits.bodyTimeout)) {
        boost::system::error_code ec;
        mTimedOut = true;
        mSocket.cancel(ec);
      }
      return;
    case Phase::Writing:
      if (spent > limits.writeTimeout) {
        if (mRequest != nullptr) {
          mRequest->interruptWith(Interrupt::CallerLeft);
        }
        close();
      }
      return;
    case Phase::Closing:
      if (spent > kLingerTimeout) {
        close();
      }
      return;
    case Phase::Working:
      break;
  }
  if (mRequest != nullptr && mSocket.is_open()) {
    pollfd it{ mSocket.native_handle(), POLLRDHUP, 0 };
    if (::poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      mRequest->interruptWith(Interrupt::CallerLeft);
    }
  }
}

void
CallerConnection::closeIfIdle()
{
  if (mPhase == Phase::Idle) {
    close();
  }
}

void
CallerConnection::close()
{
  mKeepAlive = false;
  boost::system::error_code ec;
  mSocket.close(ec);
}

void
CallerConnection::setPhase(Phase aPhase)
{
  mPhase = aPhase;
  mPhaseSince = bootNow();
}

}
