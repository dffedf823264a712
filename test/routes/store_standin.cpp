#include "store_standin.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <openssl/evp.h>

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

bool
isKeyed(const std::string& aTopic)
{
  return aTopic.starts_with("keyed.");
}

std::string
bigEndian(std::uint64_t aValue, int aBytes)
{
  std::string out;
  for (int i = aBytes - 1; i >= 0; --i) {
    out += static_cast<char>(aValue >> (8 * i) & 0xff);
  }
  return out;
}

std::string
toBase64(const std::string& aText)
{
  std::string out(4 * ((aText.size() + 2) / 3) + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(aText.data()),
                                static_cast<int>(aText.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

Awaitable<bool>
respondRaw(SocketPtr aSocket, const Request& aRequest, std::string aBody)
{
  http::response<http::string_body> response{ http::status::ok, 11 };
  response.body() = std::move(aBody);
  response.keep_alive(aRequest.keep_alive());
  response.prepare_payload();
  co_await http::async_write(*aSocket, response, boost::asio::use_awaitable);
  co_return true;
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
  }
  if (away) {
    auto body = standins::errorBody("turned away");
    co_return co_await standins::respond(aSocket, aRequest, 503, std::move(body));
  }
  co_return co_await handle(aSocket, aRequest);
}

void
StoreStandin::add(Log& aLog, bool aKeyed, const std::string& aContent)
{
  Record record;
  if (!aKeyed) {
    record.value = aContent;
  } else {
    const auto keySize = static_cast<unsigned char>(aContent.at(0));
    record.key = aContent.substr(1, keySize);
    if (aContent.size() > 1U + keySize) {
      record.value = aContent.substr(1U + keySize);
    }
    if (record.value) {
      aLog.newest[record.key] = { aLog.end(), *record.value };
    } else {
      aLog.newest.erase(record.key);
    }
  }
  aLog.records.push_back(std::move(record));
}

void
StoreStandin::put(const std::string& aTopic,
                  const std::string& aKey,
                  std::optional<std::string> aValue)
{
  const std::lock_guard lock(mMutex);
  std::string content(1, static_cast<char>(aKey.size()));
  content += aKey + aValue.value_or(std::string());
  add(mLogs[aTopic], true, content);
}

void
StoreStandin::append(const std::string& aTopic, const std::string& aContent)
{
  const std::lock_guard lock(mMutex);
  add(mLogs[aTopic], false, aContent);
}

std::uint64_t
StoreStandin::logEnd(const std::string& aTopic) const
{
  const std::lock_guard lock(mMutex);
  return endOf(aTopic);
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
StoreStandin::compact(const std::string& aTopic)
{
  const std::lock_guard lock(mMutex);
  auto& log = mLogs[aTopic];
  log.start = log.end();
  log.records.clear();
}

void
StoreStandin::setReadRate(std::size_t aBytesPerSecond)
{
  const std::lock_guard lock(mMutex);
  mReadRate = aBytesPerSecond;
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
StoreStandin::respondPaced(SocketPtr aSocket, const Request& aRequest, std::string aBody)
{
  constexpr std::size_t kPieceBytes = 16 * 1024;
  http::response<http::string_body> response{ http::status::ok, 11 };
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  response.keep_alive(aRequest.keep_alive());
  response.prepare_payload();
  std::ostringstream stream;
  stream << response;
  const std::string text = stream.str();
  for (std::size_t at = 0; at < text.size(); at += kPieceBytes) {
    const auto piece = std::string_view(text).substr(at, kPieceBytes);
    co_await standins::sleepMillis(reserveRead(piece.size()));
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

std::vector<StoreStandin::DutyCall>
StoreStandin::dutyCalls() const
{
  const std::lock_guard lock(mMutex);
  return mDutyCalls;
}

std::uint64_t
StoreStandin::endOf(const std::string& aTopic) const
{
  const auto it = mLogs.find(aTopic);
  return it == mLogs.end() ? 0 : it->second.end();
}

std::string
StoreStandin::chunk(const std::string& aTopic, std::uint64_t aFrom) const
{
  const auto it = mLogs.find(aTopic);
  const Log empty;
  const auto& log = it == mLogs.end() ? empty : it->second;
  std::string out = bigEndian(log.end(), 8) + bigEndian(log.start, 8);
  for (auto offset = aFrom; offset < log.end(); ++offset) {
    const auto& record = log.records[offset - log.start];
    std::string content;
    if (isKeyed(aTopic)) {
      content += static_cast<char>(record.key.size());
      content += record.key;
    }
    content += record.value.value_or(std::string());
    out += bigEndian(content.size(), 4) + content;
  }
  return out;
}

json
StoreStandin::newestPage(const std::string& aTopic) const
{
  json page{ { "hasMore", false }, { "endOffset", endOf(aTopic) } };
  page["entries"] = json::array();
  const auto it = mLogs.find(aTopic);
  if (it != mLogs.end()) {
    for (const auto& [key, entry] : it->second.newest) {
      json row{ { "key", key }, { "offset", entry.first } };
      row["value"] = toBase64(entry.second);
      page["entries"].push_back(std::move(row));
    }
  }
  return page;
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
    silent = mSilent;
  }
  if (silent) {
    constexpr std::int64_t kLongerThanAnyCallMs = 60000;
    co_await standins::sleepMillis(kLongerThanAnyCallMs);
    co_return false;
  }
  if (down) {
    auto body = standins::errorBody("down");
    co_return co_await standins::respond(aSocket, aRequest, 503, std::move(body));
  }
  if (path == "/log-read") {
    co_return co_await read(aSocket, aRequest);
  }
  if (path == "/log-append") {
    co_return co_await append(aSocket, aRequest);
  }
  if (path == "/log-newest") {
    json page;
    {
      const std::lock_guard lock(mMutex);
      page = newestPage(queryText(aRequest, "topic"));
    }
    co_return co_await respondPaced(
      aSocket, aRequest, page.dump(-1, ' ', false, json::error_handler_t::replace));
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
  for (std::uint64_t waited = 0; waited < wait; waited += kStepMs) {
    {
      const std::lock_guard lock(mMutex);
      if (endOf(topic) > from || mDown || mSilent) {
        break;
      }
    }
    co_await standins::sleepMillis(kStepMs);
  }
  std::string body;
  std::uint64_t start = 0;
  bool silent = false;
  {
    const std::lock_guard lock(mMutex);
    silent = mSilent;
    const auto it = mLogs.find(topic);
    start = it == mLogs.end() ? 0 : it->second.start;
    if (from >= start) {
      body = chunk(topic, from);
    }
  }
  if (silent) {
    constexpr std::int64_t kLongerThanAnyCallMs = 60000;
    co_await standins::sleepMillis(kLongerThanAnyCallMs);
    co_return false;
  }
  if (from < start) {
    json gone{ { "startOffset", start } };
    co_return co_await standins::respond(aSocket, aRequest, 410, std::move(gone));
  }
  co_return co_await respondRaw(aSocket, aRequest, std::move(body));
}

Awaitable<bool>
StoreStandin::append(SocketPtr aSocket, Request& aRequest)
{
  const auto topic = queryText(aRequest, "topic");
  const auto at = queryText(aRequest, "at");
  unsigned status = 200;
  json answer;
  bool lose = false;
  {
    const std::lock_guard lock(mMutex);
    auto& log = mLogs[topic];
    if (!at.empty() && std::stoull(at) != log.end()) {
      status = 412;
    } else {
      answer["offset"] = log.end();
      const auto& body = aRequest.body();
      for (std::size_t i = 0; i + 4 <= body.size();) {
        std::size_t size = 0;
        for (int n = 0; n < 4; ++n) {
          size = size << 8 | static_cast<unsigned char>(body[i + static_cast<std::size_t>(n)]);
        }
        add(log, isKeyed(topic), body.substr(i + 4, size));
        i += 4 + size;
      }
      lose = mLoseAnswers > 0;
      mLoseAnswers -= lose ? 1 : 0;
    }
    answer["endOffset"] = log.end();
  }
  if (lose) {
    co_return false;
  }
  co_return co_await standins::respond(aSocket, aRequest, status, std::move(answer));
}

}
