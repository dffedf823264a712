#include "store_standin.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace mustardplank::routes {

namespace http = boost::beast::http;
using nlohmann::json;
using standins::Awaitable;
using standins::Request;
using standins::SocketPtr;

namespace {

std::string
queryText(const Request& aRequest, const std::string& aName)
{
  const std::string target(aRequest.target());
  const auto at = target.find(aName + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto begin = at + aName.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

std::string
percentDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEncoded = aText[i] == '%' && i + 2 < aText.size();
    out +=
      isEncoded ? static_cast<char>(std::stoul(aText.substr(i + 1, 2), nullptr, 16)) : aText[i];
    i += isEncoded ? 2 : 0;
  }
  return out;
}

/// A page of keys that no other page has, with more to come.
json
endlessPage(std::size_t aNumber)
{
  constexpr int kRows = 500;
  const std::string value(1024, 'A');
  json page{ { "hasMore", true }, { "endOffset", 1 }, { "entries", json::array() } };
  for (int i = 0; i < kRows; ++i) {
    const auto key = "key-" + std::to_string(aNumber) + "-" + std::to_string(i);
    page["entries"].push_back({ { "key", key }, { "offset", 0 }, { "value", value } });
  }
  return page;
}

http::response<http::string_body>
answerOf(const Request& aRequest, unsigned aStatus, std::string aBody, std::uint64_t aEra)
{
  http::response<http::string_body> response{ static_cast<http::status>(aStatus), 11 };
  response.set("Store-Era", std::to_string(aEra));
  response.body() = std::move(aBody);
  response.keep_alive(aRequest.keep_alive());
  response.prepare_payload();
  return response;
}

Awaitable<bool>
respondRaw(SocketPtr aSocket, const Request& aRequest, std::string aBody, std::uint64_t aEra)
{
  const auto response = answerOf(aRequest, 200, std::move(aBody), aEra);
  co_await http::async_write(*aSocket, response, boost::asio::use_awaitable);
  co_return true;
}

Awaitable<bool>
respondJson(SocketPtr aSocket,
            const Request& aRequest,
            unsigned aStatus,
            json aBody,
            std::uint64_t aEra)
{
  auto response = answerOf(aRequest, aStatus, aBody.dump(), aEra);
  response.set(http::field::content_type, "application/json");
  co_await http::async_write(*aSocket, response, boost::asio::use_awaitable);
  co_return true;
}

/// Store calls begin so; all others are duty calls, which are another service's.
constexpr std::string_view kStorePath = "/log-";

Awaitable<bool>
refuse(SocketPtr aSocket, const Request& aRequest, std::string aReason, std::uint64_t aEra)
{
  auto body = standins::errorBody(aReason);
  if (standins::pathOf(aRequest).starts_with(kStorePath)) {
    co_return co_await respondJson(aSocket, aRequest, 503, std::move(body), aEra);
  }
  co_return co_await standins::respond(aSocket, aRequest, 503, std::move(body));
}

}

StoreStandin::StoreStandin(boost::asio::io_context& aIo)
{
  mAddress = standins::serveHttp(aIo, "127.0.0.1:0", [this](SocketPtr aSocket, Request& aRequest) {
    return handle(std::move(aSocket), aRequest);
  });
  mOtherAddress =
    standins::serveHttp(aIo, "127.0.0.1:0", [this](SocketPtr aSocket, Request& aRequest) {
      return handleOther(std::move(aSocket), aRequest);
    });
}

void
StoreStandin::turnAway(bool aAway)
{
  const std::lock_guard lock(mMutex);
  mAway = aAway;
}

Awaitable<bool>
StoreStandin::handleOther(SocketPtr aSocket, Request& aRequest)
{
  bool away = false;
  {
    const std::lock_guard lock(mMutex);
    away = mAway;
    if (!isSilent(aSocket)) {
      mConnections.insert(aSocket);
    }
  }
  if (away) {
    co_return co_await refuse(aSocket, aRequest, "turned away", era());
  }
  co_return co_await handle(aSocket, aRequest);
}

void
StoreStandin::put(const std::string& aTopic,
                  const std::string& aKey,
                  std::optional<std::string> aValue)
{
  const std::lock_guard lock(mMutex);
  mLogs.put(aTopic, aKey, aValue);
}

void
StoreStandin::append(const std::string& aTopic, const std::string& aContent)
{
  const std::lock_guard lock(mMutex);
  mLogs.append(aTopic, aContent);
}

std::uint64_t
StoreStandin::logEnd(const std::string& aTopic) const
{
  const std::lock_guard lock(mMutex);
  return mLogs.endOf(aTopic);
}

void
StoreStandin::setDown(bool aDown)
{
  const std::lock_guard lock(mMutex);
  mDown = aDown;
}

void
StoreStandin::setSilent(bool aSilent)
{
  const std::lock_guard lock(mMutex);
  mSilent = aSilent;
}

void
StoreStandin::silenceOtherConnections()
{
  const std::lock_guard lock(mMutex);
  mSilenced.merge(mConnections);
  mConnections.clear();
}

bool
StoreStandin::isSilent(const SocketPtr& aSocket) const
{
  return mSilent || mSilenced.contains(aSocket);
}

void
StoreStandin::setReadDelay(Millis aDelay)
{
  const std::lock_guard lock(mMutex);
  mReadDelayMs = aDelay.count();
}

void
StoreStandin::compact(const std::string& aTopic)
{
  const std::lock_guard lock(mMutex);
  mLogs.compact(aTopic);
}

void
StoreStandin::snapshot()
{
  const std::lock_guard lock(mMutex);
  mLogs.snapshot();
}

void
StoreStandin::restore()
{
  const std::lock_guard lock(mMutex);
  mLogs.restore();
}

void
StoreStandin::rewriteOperators()
{
  const std::lock_guard lock(mMutex);
  mLogs.rewriteOperators();
}

std::uint64_t
StoreStandin::era() const
{
  const std::lock_guard lock(mMutex);
  return mLogs.era();
}

void
StoreStandin::setReadRate(std::size_t aBytesPerSecond)
{
  const std::lock_guard lock(mMutex);
  mReadRate = aBytesPerSecond;
}

void
StoreStandin::setRawKeys(bool aRaw)
{
  const std::lock_guard lock(mMutex);
  mRawKeys = aRaw;
}

void
StoreStandin::setPageRows(std::size_t aRows)
{
  const std::lock_guard lock(mMutex);
  mPageRows = aRows;
}

void
StoreStandin::setRepeatFirstPage(bool aRepeat)
{
  const std::lock_guard lock(mMutex);
  mRepeatFirstPage = aRepeat;
}

void
StoreStandin::setEndlessList(bool aEndless)
{
  const std::lock_guard lock(mMutex);
  mEndlessList = aEndless;
}

std::size_t
StoreStandin::pageCalls() const
{
  const std::lock_guard lock(mMutex);
  return mPageCalls;
}

std::int64_t
StoreStandin::reserveRead(std::size_t aBytes)
{
  const std::lock_guard lock(mMutex);
  if (mReadRate == 0) {
    return 0;
  }
  const auto now = static_cast<double>(standins::ledgerMillis());
  mReadUntilMs = std::max(mReadUntilMs, now) +
                 1000.0 * static_cast<double>(aBytes) / static_cast<double>(mReadRate);
  return static_cast<std::int64_t>(mReadUntilMs - now);
}

Awaitable<bool>
StoreStandin::respondPaced(SocketPtr aSocket,
                           const Request& aRequest,
                           std::string aBody,
                           std::uint64_t aEra)
{
  constexpr std::size_t kPieceBytes = 16 * 1024;
  auto response = answerOf(aRequest, 200, std::move(aBody), aEra);
  response.set(http::field::content_type, "application/json");
  std::ostringstream stream;
  stream << response;
  const std::string text = stream.str();
  for (std::size_t at = 0; at < text.size(); at += kPieceBytes) {
    const auto piece = std::string_view(text).substr(at, kPieceBytes);
    co_await standins::sleepMillis(reserveRead(piece.size()));
    if (era() != aEra) {
      co_return false;
    }
    co_await boost::asio::async_write(
      *aSocket, boost::asio::buffer(piece), boost::asio::use_awaitable);
  }
  co_return true;
}

void
StoreStandin::loseAnswers(int aCount)
{
  const std::lock_guard lock(mMutex);
  mLoseAnswers = aCount;
}

std::vector<std::pair<std::string, std::string>>
StoreStandin::records(const std::string& aTopic) const
{
  const std::lock_guard lock(mMutex);
  return mLogs.records(aTopic);
}

std::vector<StoreStandin::DutyCall>
StoreStandin::dutyCalls() const
{
  const std::lock_guard lock(mMutex);
  return mDutyCalls;
}

Awaitable<bool>
StoreStandin::handle(SocketPtr aSocket, Request& aRequest)
{
  const auto path = standins::pathOf(aRequest);
  bool down = false;
  bool silent = false;
  {
    const std::lock_guard lock(mMutex);
    down = mDown;
    silent = isSilent(aSocket);
  }
  if (silent) {
    constexpr std::int64_t kLongerThanAnyCallMs = 60000;
    co_await standins::sleepMillis(kLongerThanAnyCallMs);
    co_return false;
  }
  if (down) {
    co_return co_await refuse(aSocket, aRequest, "down", era());
  }
  if (path == "/log-read") {
    co_return co_await read(aSocket, aRequest);
  }
  if (path == "/log-append") {
    co_return co_await append(aSocket, aRequest);
  }
  if (path == "/log-newest") {
    std::string page;
    std::uint64_t era = 0;
    {
      const std::lock_guard lock(mMutex);
      ++mPageCalls;
      const auto after = mRepeatFirstPage ? "" : percentDecode(queryText(aRequest, "after"));
      auto rows = mEndlessList ? endlessPage(mPageCalls)
                               : mLogs.newestPage(queryText(aRequest, "topic"), after, mPageRows);
      page = mRawKeys ? rawPage(std::move(rows))
                      : rows.dump(-1, ' ', false, json::error_handler_t::replace);
      era = mLogs.era();
    }
    co_return co_await respondPaced(aSocket, aRequest, std::move(page), era);
  }
  DutyCall call;
  call.path = path;
  call.holder = std::string(aRequest["X-Lease-Holder"]);
  call.fence = std::stoull("0" + std::string(aRequest["X-Fencing-Token"]));
  call.body = standins::jsonBody(aRequest);
  {
    const std::lock_guard lock(mMutex);
    mDutyCalls.push_back(std::move(call));
  }
  auto body = json::object();
  co_return co_await standins::respond(aSocket, aRequest, 200, std::move(body));
}

Awaitable<bool>
StoreStandin::read(SocketPtr aSocket, Request& aRequest)
{
  constexpr std::uint64_t kStepMs = 10;
  const auto topic = queryText(aRequest, "topic");
  const auto from = standins::queryNumber(aRequest, "fromRevision", 0);
  const auto wait = standins::queryNumber(aRequest, "waitMs", 0);
  const auto eraOfCall = era();
  for (std::uint64_t waited = 0; waited < wait; waited += kStepMs) {
    {
      const std::lock_guard lock(mMutex);
      if (mLogs.endOf(topic) != from || mLogs.era() != eraOfCall || mDown || isSilent(aSocket)) {
        break;
      }
    }
    co_await standins::sleepMillis(kStepMs);
  }
  std::optional<std::string> body;
  std::uint64_t start = 0;
  bool silent = false;
  {
    const std::lock_guard lock(mMutex);
    silent = isSilent(aSocket);
    if (mLogs.era() != eraOfCall) {
      co_return false;
    }
    start = mLogs.startOf(topic);
    if (mLogs.holds(topic, from)) {
      body = mLogs.chunk(topic, from);
    }
  }
  if (silent) {
    constexpr std::int64_t kLongerThanAnyCallMs = 60000;
    co_await standins::sleepMillis(kLongerThanAnyCallMs);
    co_return false;
  }
  std::int64_t delay = 0;
  {
    const std::lock_guard lock(mMutex);
    delay = mReadDelayMs;
  }
  if (delay > 0) {
    co_await standins::sleepMillis(delay);
  }
  if (!body) {
    json gone{ { "startOffset", start } };
    co_return co_await respondJson(aSocket, aRequest, 410, std::move(gone), eraOfCall);
  }
  co_return co_await respondRaw(aSocket, aRequest, std::move(*body), eraOfCall);
}

Awaitable<bool>
StoreStandin::append(SocketPtr aSocket, Request& aRequest)
{
  const auto topic = queryText(aRequest, "topic");
  const auto at = queryText(aRequest, "at");
  unsigned status = 200;
  json answer;
  bool lose = false;
  std::uint64_t era = 0;
  {
    const std::lock_guard lock(mMutex);
    era = mLogs.era();
    if (!at.empty() && std::stoull(at) != mLogs.endOf(topic)) {
      status = 412;
    } else {
      answer["offset"] = mLogs.endOf(topic);
      const auto& body = aRequest.body();
      for (std::size_t i = 0; i + 4 <= body.size();) {
        std::size_t size = 0;
        for (int n = 0; n < 4; ++n) {
          size = size << 8 | static_cast<unsigned char>(body[i + static_cast<std::size_t>(n)]);
        }
        mLogs.append(topic, body.substr(i + 4, size));
        i += 4 + size;
      }
      lose = mLoseAnswers > 0;
      mLoseAnswers -= lose ? 1 : 0;
    }
    answer["endOffset"] = mLogs.endOf(topic);
  }
  if (lose) {
    co_return false;
  }
  co_return co_await respondJson(aSocket, aRequest, status, std::move(answer), era);
}

}
