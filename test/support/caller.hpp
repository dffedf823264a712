#pragma once

#include "mustardplank/base/time.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace mustardplank::support {

struct HttpCall
{
  /// "ip:port".
  std::string address;
  std::string method = "GET";
  std::string target = "/";
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  Duration timeout = Seconds(30);
};

struct HttpAnswer
{
  /// 0 when no answer came.
  unsigned status = 0;
  /// By lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether the whole body came.
  bool complete = false;
  /// CLOCK_BOOTTIME, as in the ledgers.
  std::int64_t startMillis = 0;
  /// First byte of the body; -1 when none came.
  std::int64_t firstByteMillis = -1;
  std::int64_t endMillis = 0;
};

/// Blocks until the answer has come, the connection has broken, or the timeout.
HttpAnswer
callHttp(const HttpCall& aCall);

/// Throws unless the answer is 200 with JSON.
nlohmann::json
getJson(const std::string& aAddress, const std::string& aTarget);
nlohmann::json
postJson(const std::string& aAddress, const std::string& aTarget, const nlohmann::json& aBody);

/// A chat request of a caller.
struct Chat
{
  std::string address;
  std::string key;
  std::string requestClass;
  std::string prompt;
  std::string model = "m1";
  std::string idempotencyKey;
  unsigned maxTokens = 0;
  bool stream = true;
  Duration timeout = Seconds(30);
};

struct ChatAnswer
{
  Chat chat;
  HttpAnswer http;
  std::string text;
  /// From a refusal body or an error event.
  std::string errorCode;
  std::string runState;
  std::string requestId;
  nlohmann::json usage;
  bool done = false;

  /// Whether the caller got the whole answer to exactly its prompt.
  bool whole() const;
  /// Milliseconds to the first byte.
  std::int64_t firstMillis() const { return http.firstByteMillis - http.startMillis; }
  /// For messages of failed checks.
  std::string describe() const;
};

ChatAnswer
ask(const Chat& aChat);
std::future<ChatAnswer>
askLater(Chat aChat);

/// Callers that each send the next request when the last is answered, until stop().
///
///     Load load(8, [&](unsigned n) { return chatWith(prompt(n)); });
///     deployment.killInstance("a1");
///     for (const auto& it : load.stop()) { BOOST_TEST(it.whole()); }
class Load
{
public:
  Load(unsigned aCallers, std::function<Chat(unsigned aNumber)> aNext);
  ~Load();

  /// Waits for the requests under way and returns all answers.
  std::vector<ChatAnswer> stop();
  std::size_t answered() const;

private:
  std::atomic<bool> mStopping{ false };
  std::atomic<unsigned> mNumber{ 0 };
  mutable std::mutex mMutex;
  std::vector<ChatAnswer> mAnswers;
  std::vector<std::thread> mThreads;
};

}
