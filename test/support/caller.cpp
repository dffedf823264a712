#include "support/caller.hpp"

#include "mustardplank/base/prefix_hash.hpp"
#include "standins/common/answer.hpp"
#include "standins/common/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace mustardplank::support {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using nlohmann::json;
using standins::ledgerMillis;

namespace {

http::request<http::string_body>
requestOf(const HttpCall& aCall)
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.set(http::field::host, aCall.address);
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : aCall.headers) {
    request.set(name, value);
  }
  request.body() = aCall.body;
  request.prepare_payload();
  return request;
}

asio::awaitable<void>
exchange(const HttpCall& aCall, HttpAnswer& aAnswer)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aCall.timeout);
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  auto request = requestOf(aCall);
  try {
    co_await stream.async_connect(standins::parseEndpoint(aCall.address), asio::use_awaitable);
    co_await http::async_write(stream, request, asio::use_awaitable);
    co_await http::async_read_header(stream, buf, parser, asio::use_awaitable);
    while (!parser.is_done()) {
      co_await http::async_read_some(stream, buf, parser, asio::use_awaitable);
      if (aAnswer.firstByteMillis < 0 && !parser.get().body().empty()) {
        aAnswer.firstByteMillis = ledgerMillis();
      }
    }
    aAnswer.complete = true;
  } catch (const boost::system::system_error&) {
    // What came so far is the answer.
  }
  if (!parser.is_header_done()) {
    co_return;
  }
  aAnswer.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    std::string name(field.name_string());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
    aAnswer.headers[name] = std::string(field.value());
  }
  aAnswer.body = std::move(parser.get().body());
}

void
takeError(const json& aBody, ChatAnswer& aAnswer)
{
  const auto error = aBody.find("error");
  if (error == aBody.end() || !error->is_object()) {
    return;
  }
  aAnswer.errorCode = error->value("code", "");
  aAnswer.runState = error->value("run_state", "");
  aAnswer.requestId = error->value("request_id", aAnswer.requestId);
}

void
takeEvent(const std::string& aData, ChatAnswer& aAnswer)
{
  if (aData == "[DONE]") {
    aAnswer.done = true;
    return;
  }
  const json event = json::parse(aData, nullptr, false);
  if (!event.is_object()) {
    aAnswer.errorCode = "test_unreadable_event";
    return;
  }
  takeError(event, aAnswer);
  const json choices = event.value("choices", json::array());
  if (!choices.empty() && choices[0].contains("delta")) {
    aAnswer.text += choices[0]["delta"].value("content", "");
  }
  if (event.contains("usage") && event["usage"].is_object()) {
    aAnswer.usage = event["usage"];
  }
}

void
takeStream(ChatAnswer& aAnswer)
{
  constexpr std::string_view kData = "data:";
  std::istringstream lines(aAnswer.http.body);
  for (std::string line; std::getline(lines, line);) {
    while (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (line.starts_with(kData)) {
      const auto at = line.find_first_not_of(' ', kData.size());
      takeEvent(line.substr(std::min(at, line.size())), aAnswer);
    }
  }
}

void
takeWhole(ChatAnswer& aAnswer)
{
  const json body = json::parse(aAnswer.http.body, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  takeError(body, aAnswer);
  const json choices = body.value("choices", json::array());
  if (!choices.empty()) {
    aAnswer.text = choices[0]["message"].value("content", "");
    aAnswer.usage = body.value("usage", json());
    aAnswer.done = true;
  }
}

std::string
fullPrompt(const Chat& aChat)
{
  std::string prompt;
  appendPromptMessage(prompt, "user", aChat.prompt);
  return prompt;
}

}

HttpAnswer
callHttp(const HttpCall& aCall)
{
  HttpAnswer answer;
  answer.startMillis = ledgerMillis();
  asio::io_context io(1);
  asio::co_spawn(io, exchange(aCall, answer), asio::detached);
  io.run();
  answer.endMillis = ledgerMillis();
  return answer;
}

namespace {

json
jsonOf(const HttpCall& aCall)
{
  const auto answer = callHttp(aCall);
  json body = json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || body.is_discarded()) {
    throw std::runtime_error(aCall.address + aCall.target + " answered " +
                             std::to_string(answer.status) + " " + answer.body);
  }
  return body;
}

}

json
getJson(const std::string& aAddress, const std::string& aTarget)
{
  return jsonOf({ .address = aAddress, .target = aTarget });
}

json
postJson(const std::string& aAddress, const std::string& aTarget, const json& aBody)
{
  return jsonOf({ .address = aAddress, .method = "POST", .target = aTarget, .body = aBody.dump() });
}

bool
ChatAnswer::whole() const
{
  const auto prompt = fullPrompt(chat);
  const auto length = standins::answerLength(prompt, chat.maxTokens);
  return http.status == 200 && done && errorCode.empty() &&
         text == standins::answerText(prompt, length);
}

std::string
ChatAnswer::describe() const
{
  constexpr std::size_t kShown = 80;
  return "status=" + std::to_string(http.status) + " code=" + errorCode + " run_state=" + runState +
         " done=" + std::to_string(done) +
         " ms=" + std::to_string(http.endMillis - http.startMillis) + " prompt=\"" +
         chat.prompt.substr(0, kShown) + "\" text_bytes=" + std::to_string(text.size()) +
         " body=\"" + (text.empty() ? http.body.substr(0, kShown) : "") + "\"";
}

ChatAnswer
ask(const Chat& aChat)
{
  json body;
  body["model"] = aChat.model;
  body["stream"] = aChat.stream;
  body["messages"] = json::array({ { { "role", "user" }, { "content", aChat.prompt } } });
  if (aChat.maxTokens > 0) {
    body["max_tokens"] = aChat.maxTokens;
  }
  if (aChat.stream) {
    body["stream_options"]["include_usage"] = true;
  }
  HttpCall call{ .address = aChat.address,
                 .method = "POST",
                 .target = "/v1/chat/completions",
                 .headers = { { "Content-Type", "application/json" } },
                 .body = body.dump(),
                 .timeout = aChat.timeout };
  if (!aChat.key.empty()) {
    call.headers["Authorization"] = "Bearer " + aChat.key;
  }
  if (!aChat.requestClass.empty()) {
    call.headers["X-Request-Class"] = aChat.requestClass;
  }
  if (!aChat.idempotencyKey.empty()) {
    call.headers["Idempotency-Key"] = aChat.idempotencyKey;
  }
  ChatAnswer answer;
  answer.chat = aChat;
  answer.http = callHttp(call);
  answer.requestId = answer.http.headers["x-request-id"];
  if (answer.http.headers["content-type"].starts_with("text/event-stream")) {
    takeStream(answer);
  } else {
    takeWhole(answer);
  }
  return answer;
}

std::future<ChatAnswer>
askLater(Chat aChat)
{
  return std::async(std::launch::async, [chat = std::move(aChat)] { return ask(chat); });
}

Load::Load(unsigned aCallers, std::function<Chat(unsigned)> aNext)
{
  for (unsigned i = 0; i < aCallers; ++i) {
    mThreads.emplace_back([this, aNext] {
      while (!mStopping) {
        auto answer = ask(aNext(mNumber++));
        const bool failed = answer.http.status != 200;
        {
          const std::lock_guard lock(mMutex);
          mAnswers.push_back(std::move(answer));
        }
        // A caller that is refused or not connected does not come back at once.
        std::this_thread::sleep_for(Millis(failed ? 50 : 0));
      }
    });
  }
}

Load::~Load()
{
  stop();
}

std::vector<ChatAnswer>
Load::stop()
{
  mStopping = true;
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();
  return mAnswers;
}

std::size_t
Load::answered() const
{
  const std::lock_guard lock(mMutex);
  return mAnswers.size();
}

}
