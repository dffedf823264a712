#include "client.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/sink_body.hpp"
#include "mustardplank/traffic/sse.hpp"
#include "standins/common/answer.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <string_view>

namespace mustardplank::load {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

double
millisBetween(Clock::time_point aFrom, Clock::time_point aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

std::string
promptOfNumber(const Flow& aFlow, std::uint64_t aNumber)
{
  std::string prompt = "request " + std::to_string(aNumber) + " of " + aFlow.name() +
                       " OUTPUT-TOKENS=" + std::to_string(aFlow.tokens) + " ";
  if (prompt.size() < aFlow.promptBytes) {
    prompt.append(aFlow.promptBytes - prompt.size(), 'x');
  }
  return prompt;
}

/// Follows the answer as it comes and compares it with the one that the prompt must have.
class AnswerCheck
{
public:
  AnswerCheck(std::string aExpected, Record& aRecord, std::vector<float>& aGaps)
    : mExpected(std::move(aExpected))
    , mRecord(aRecord)
    , mGaps(aGaps)
    , mStart(Clock::now())
  {
  }

  bool take(std::string_view aBytes)
  {
    mNow = Clock::now();
    return mSse.feed(aBytes, [this](std::string_view aData) { return takeEvent(aData); });
  }

  bool whole() const { return mDone && mAt == mExpected.size(); }
  bool wrong() const { return mWrong; }
  Clock::time_point start() const { return mStart; }

private:
  bool takeEvent(std::string_view aData)
  {
    if (aData == "[DONE]") {
      mDone = true;
      return true;
    }
    static constexpr std::string_view kMark = "\"content\":\"";
    const auto at = aData.find(kMark);
    if (at == std::string_view::npos) {
      takeError(aData);
      return true;
    }
    const auto text = aData.substr(at + kMark.size());
    const auto content = text.substr(0, text.find('"'));
    if (mExpected.compare(mAt, content.size(), content) != 0) {
      mWrong = true;
      return false;
    }
    mAt += content.size();
    countToken();
    return true;
  }

  void takeError(std::string_view aData)
  {
    if (aData.find("\"error\"") == std::string_view::npos) {
      return;
    }
    const json body = json::parse(aData, nullptr, false);
    if (body.is_object() && body.contains("error")) {
      mRecord.outcome = body["error"].value("code", "broken");
      mRecord.runState = body["error"].value("run_state", "");
    }
  }

  void countToken()
  {
    if (mRecord.tokens++ == 0) {
      mRecord.firstTokenMillis = millisBetween(mStart, mNow);
    } else {
      mGaps.push_back(static_cast<float>(millisBetween(mLast, mNow)));
    }
    mLast = mNow;
  }

  std::string mExpected;
  Record& mRecord;
  std::vector<float>& mGaps;
  traffic::SseParser mSse;
  Clock::time_point mStart;
  Clock::time_point mNow;
  Clock::time_point mLast;
  std::size_t mAt = 0;
  bool mDone = false;
  bool mWrong = false;
};

}

Client::Client(asio::io_context& aIo, traffic::Tcp::endpoint aTarget)
  : mSocket(aIo.get_executor())
  , mTarget(aTarget)
{
}

void
Client::close()
{
  boost::system::error_code ec;
  mSocket.close(ec);
}

traffic::Task<bool>
Client::send(const std::string& aRequest)
{
  if (!mSocket.is_open()) {
    auto [ec] = co_await mSocket.async_connect(mTarget, traffic::kAwait);
    if (ec) {
      close();
      co_return false;
    }
    mSocket.set_option(traffic::Tcp::no_delay(true), ec);
  }
  auto [ec, n] = co_await asio::async_write(mSocket, asio::buffer(aRequest), traffic::kAwait);
  co_return !ec;
}

traffic::Task<Record>
Client::ask(const Flow& aFlow, std::uint64_t aNumber, std::vector<float>& aGaps)
{
  Record record;
  json message;
  message["role"] = "user";
  message["content"] = promptOfNumber(aFlow, aNumber);
  json body;
  body["model"] = "m1";
  body["stream"] = true;
  body["messages"] = json::array();
  body["messages"].push_back(message);
  const std::string text = body.dump();
  std::string request = "POST /v1/chat/completions HTTP/1.1\r\nHost: load\r\n";
  request += "Authorization: Bearer " + aFlow.key + "\r\n";
  request += "X-Request-Class: " + aFlow.requestClass + "\r\n";
  // For targets that are engines, which name their chunks after it.
  request += "X-Request-Id: load-" + std::to_string(aNumber) + "\r\n";
  request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(text.size());
  request += "\r\n\r\n" + text;
  const std::string prompt = standins::promptOf(body);
  std::string expected = standins::answerText(prompt, standins::answerLength(prompt, 0));

  std::string refusal;
  AnswerCheck check(std::move(expected), record, aGaps);
  http::response_parser<SinkBody> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  parser.get().body() = [&](std::string_view aBytes) {
    if (parser.get().result_int() != 200) {
      refusal.append(aBytes);
      return true;
    }
    return check.take(aBytes);
  };
  const bool sent = co_await send(request);
  std::array<char, 8192> bytes;
  std::size_t kept = 0;
  bool alive = sent;
  while (alive && !parser.is_done()) {
    auto [ec, n] = co_await mSocket.async_read_some(
      asio::buffer(bytes.data() + kept, bytes.size() - kept), traffic::kAwait);
    if (ec) {
      alive = false;
      break;
    }
    const std::size_t have = kept + n;
    const std::size_t used = parser.put(asio::buffer(bytes.data(), have), ec);
    kept = have - used;
    std::copy(bytes.data() + used, bytes.data() + have, bytes.data());
    alive = !ec || ec == http::error::need_more;
  }
  record.totalMillis = millisBetween(check.start(), Clock::now());
  if (check.whole()) {
    record.outcome = "ok";
  } else if (check.wrong()) {
    record.outcome = "wrong";
  } else if (!refusal.empty()) {
    const json error = json::parse(refusal, nullptr, false);
    if (error.is_object() && error.contains("error") && error["error"].is_object()) {
      record.outcome = error["error"].value("code", "broken");
      record.runState = error["error"].value("run_state", "");
    }
  }
  if (!alive || !parser.is_done() || !parser.get().keep_alive()) {
    close();
  }
  co_return record;
}

}
