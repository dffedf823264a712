// An inference engine as section 7.3 of docs/design.md describes it. It computes nothing: tokens
// are derived from the prompt and paced by timers.

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/prefix_hash.hpp"
#include "standins/common/answer.hpp"
#include "standins/common/gate.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/options.hpp"
#include "standins/common/prefix_cache.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>

namespace mustardplank::standins {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// A request as it runs, and the entry it leaves in the ledger.
struct Stream
{
  explicit Stream(asio::io_context& aIo)
    : waiter{ asio::steady_timer(aIo) }
  {
  }

  Waiter waiter;
  json headers;
  std::string requestId;
  std::string model;
  std::string prompt;
  unsigned priority = 0;
  std::uint32_t resumeTokens = 0;
  std::uint32_t length = 0;
  std::uint32_t tokensSent = 0;
  std::int64_t start = 0;
  std::int64_t end = 0;
  bool cold = false;
  bool streaming = true;
  std::string outcome = "running";
};

using StreamPtr = std::shared_ptr<Stream>;

json
ledgerEntry(const Stream& aStream)
{
  constexpr std::size_t kTail = 120;
  const auto& prompt = aStream.prompt;
  return { { "request_id", aStream.requestId },
           { "headers", aStream.headers },
           { "model", aStream.model },
           { "priority", aStream.priority },
           { "prompt_tail", prompt.substr(prompt.size() - std::min(prompt.size(), kTail)) },
           { "resume_tokens", aStream.resumeTokens },
           { "length", aStream.length },
           { "tokens_sent", aStream.tokensSent },
           { "start_ms", aStream.start },
           { "end_ms", aStream.end },
           { "cold", aStream.cold },
           { "outcome", aStream.outcome } };
}

class Engine
{
public:
  Engine(asio::io_context& aIo, const Options& aOptions)
    : mIo(aIo)
    , mOptions(aOptions)
    , mSlots(aOptions.count("slots"))
    , mPrefill(1)
    , mCache(aOptions.count("cache-blocks"), aOptions.number("cache-gap"), aOptions.count("seed"))
    , mTokensPerSecond(aOptions.number("tokens-per-second"))
    , mCheckFence(aOptions.flag("check-fence"))
    , mModels(aOptions.all("model"))
    , mIncarnation(wallMillis())
  {
    if (mModels.empty()) {
      mModels.push_back(aOptions.text("model"));
    }
    mColdUntil = ledgerMillis() + static_cast<std::int64_t>(aOptions.number("cold-ms"));
    asio::co_spawn(mIo, sampleLoad(), asio::detached);
  }

  Awaitable<bool> handle(SocketPtr aSocket, Request& aRequest)
  {
    const std::string path = pathOf(aRequest);
    if (path == "/v1/chat/completions") {
      co_return co_await chat(aSocket, aRequest);
    }
    if (path == "/load") {
      co_return co_await respond(aSocket, aRequest, 200, laggingLoad());
    }
    if (path == "/cache/events") {
      co_return co_await respond(aSocket, aRequest, 200, cacheEvents(aRequest));
    }
    if (path == "/orders") {
      co_return co_await order(aSocket, aRequest);
    }
    if (path == "/control") {
      control(jsonBody(aRequest));
      co_return co_await respond(aSocket, aRequest, 200, json::object());
    }
    if (path == "/ledger") {
      const bool summary = queryNumber(aRequest, "summary", 0) != 0;
      co_return co_await respond(aSocket, aRequest, 200, ledger(!summary));
    }
    co_return co_await respond(aSocket, aRequest, 404, errorBody("not_found"));
  }

private:
  bool cold() const { return ledgerMillis() < mColdUntil; }

  // Requests.

  Awaitable<bool> chat(SocketPtr aSocket, const Request& aRequest)
  {
    auto stream = std::make_shared<Stream>(mIo);
    std::string error;
    if (!readRequest(aRequest, *stream, error)) {
      co_return co_await respond(aSocket, aRequest, 400, errorBody(error));
    }
    remember(stream);
    const bool crash = stream->prompt.find("CRASH-ENGINE") != std::string::npos;
    if (mSlots.taken() >= mOptions.count("slots") && mSlots.waiting() >= mOptions.count("queue")) {
      finish(*stream, "refused");
      co_return co_await respond(aSocket, aRequest, 503, errorBody("no_free_slot"));
    }
    if (crash) {
      finish(*stream, "crashed");
      endProcess();
    }
    asio::co_spawn(mIo, watchClose(aSocket, stream), asio::detached);
    bool open = false;
    if (co_await mSlots.acquire(stream->waiter, stream->priority)) {
      open = co_await run(aSocket, aRequest, stream);
      mSlots.release();
    }
    if (stream->outcome == "running") {
      finish(*stream, stream->waiter.closed ? "cancelled" : "broken");
    }
    stream->waiter.closed = true;
    // Ends watchClose(), which otherwise would hold on to the connection's next request.
    boost::system::error_code ec;
    aSocket->cancel(ec);
    co_return open;
  }

  bool readRequest(const Request& aRequest, Stream& aStream, std::string& aError)
  {
    const json body = jsonBody(aRequest);
    aStream.start = ledgerMillis();
    aStream.headers = headersOf(aRequest);
    aStream.requestId = aStream.headers.value("x-request-id", "");
    aStream.priority = static_cast<unsigned>(std::stoul(aStream.headers.value("x-priority", "0")));
    aStream.model = body.value("model", "");
    aStream.prompt = promptOf(body);
    aStream.length = answerLength(aStream.prompt, body.value("max_tokens", 0U));
    aStream.streaming = body.value("stream", false);
    if (aStream.prompt.empty()) {
      aError = "no messages";
      return false;
    }
    const auto resume = body.find("resume");
    if (resume != body.end()) {
      aStream.resumeTokens = resume->value("tokens", 0U);
      if (resume->value("text", "") != answerText(aStream.prompt, aStream.resumeTokens)) {
        ++mBadResumes;
        aError = "resume text is not the start of this answer";
        return false;
      }
    }
    if (std::find(mModels.begin(), mModels.end(), aStream.model) == mModels.end()) {
      aError = "model not loaded";
      return false;
    }
    return true;
  }

  Awaitable<bool> run(SocketPtr aSocket, const Request& aRequest, StreamPtr aStream)
  {
    ++mRunning;
    countCold(*aStream);
    bool open = false;
    try {
      if (co_await prefill(*aStream)) {
        open = aStream->streaming ? co_await stream(*aSocket, aStream)
                                  : co_await answerWhole(aSocket, aRequest, aStream);
      }
    } catch (const boost::system::system_error&) {
      aStream->waiter.closed = true;
    }
    --mRunning;
    co_return open;
  }

  void countCold(Stream& aStream)
  {
    aStream.cold = cold();
    if (!aStream.cold) {
      return;
    }
    mMaxConcurrentCold = std::max(mMaxConcurrentCold, mRunning);
    if (mRunning <= mOptions.count("cold-slots")) {
      return;
    }
    ++mOverfilled;
    if (mOptions.text("overfill") == "crash") {
      endProcess();
    }
  }

  /// An engine that was overfilled while cold runs at a tenth of its speed until it is warm.
  double slowness() const
  {
    return mSlow * (mOverfilled > 0 && cold() && mOptions.text("overfill") == "grind" ? 10.0 : 1.0);
  }

  Awaitable<bool> prefill(Stream& aStream)
  {
    const auto hashes = prefixHashes(aStream.prompt);
    if (!co_await mPrefill.acquire(aStream.waiter, aStream.priority)) {
      co_return false;
    }
    const auto cached = mCache.match(hashes) * kPrefixBlockBytes / 4;
    const double tokens =
      std::max(1.0, static_cast<double>(promptTokens(aStream.prompt)) - cached) +
      aStream.resumeTokens;
    const double millis = tokens / 100.0 * mOptions.number("prefill-ms") * slowness();
    co_await pause(aStream, millis);
    mPrefill.release();
    mCache.store(hashes, ledgerMillis());
    co_return !aStream.waiter.closed;
  }

  Awaitable<void> pause(Stream& aStream, double aMillis)
  {
    if (aMillis <= 0) {
      co_return;
    }
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::microseconds(static_cast<std::int64_t>(aMillis * 1000));
    while (!aStream.waiter.closed && std::chrono::steady_clock::now() < until) {
      co_await aStream.waiter.wait(until);
    }
  }

  /// Waits until token aStream.tokensSent is due.
  Awaitable<void> pace(Stream& aStream, std::chrono::steady_clock::time_point& aDue)
  {
    if (mTokensPerSecond <= 0) {
      co_return;
    }
    const double micros = 1e6 / mTokensPerSecond * slowness();
    aDue += std::chrono::microseconds(static_cast<std::int64_t>(micros));
    while (!aStream.waiter.closed && std::chrono::steady_clock::now() < aDue) {
      co_await aStream.waiter.wait(aDue);
    }
  }

  // Answers.

  static std::string chunk(const std::string& aText)
  {
    char size[20];
    const int n = std::snprintf(size, sizeof size, "%zx\r\n", aText.size());
    return std::string(size, static_cast<std::size_t>(n)) + aText + "\r\n";
  }

  json usage(const Stream& aStream) const
  {
    const auto prompt = promptTokens(aStream.prompt);
    return { { "prompt_tokens", prompt },
             { "completion_tokens", aStream.length },
             { "total_tokens", prompt + aStream.length } };
  }

  json message(const Stream& aStream, const char* aObject) const
  {
    return { { "id", "chatcmpl-" + aStream.requestId },
             { "object", aObject },
             { "created", wallMillis() / 1000 },
             { "model", aStream.model } };
  }

  json tokenEvent(const Stream& aStream) const
  {
    json event = message(aStream, "chat.completion.chunk");
    json choice{ { "index", 0 }, { "finish_reason", nullptr } };
    choice["delta"]["content"] = "@";
    event["choices"] = json::array({ choice });
    return event;
  }

  json wholeAnswer(const Stream& aStream) const
  {
    const auto sent = answerText(aStream.prompt, aStream.resumeTokens).size();
    json body = message(aStream, "chat.completion");
    json choice{ { "index", 0 }, { "finish_reason", "stop" } };
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = answerText(aStream.prompt, aStream.length).substr(sent);
    body["choices"] = json::array({ choice });
    body["usage"] = usage(aStream);
    return body;
  }

  Awaitable<bool> stream(Tcp::socket& aSocket, StreamPtr aStream)
  {
    static const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";
    co_await asio::async_write(aSocket, asio::buffer(kHead), asio::use_awaitable);
    json event = tokenEvent(*aStream);
    // The event of every token differs only in the token, which needs no escaping.
    const std::string text = "data: " + event.dump() + "\n\n";
    const std::string before = text.substr(0, text.find('@'));
    const std::string after = text.substr(text.find('@') + 1);
    const std::string token = answerToken(aStream->prompt, 0).substr(2);
    const auto batch = std::max(1U, mOptions.count("batch"));
    const auto breakAfter = std::exchange(mBreakAfter, -1);
    const bool garbage = std::exchange(mGarbage, false);
    auto due = std::chrono::steady_clock::now();
    std::string out;
    for (auto i = aStream->resumeTokens; i < aStream->length;) {
      out.clear();
      for (unsigned n = 0; n < batch && i < aStream->length; ++n, ++i) {
        out += chunk(before + "w" + std::to_string(i) + token + after);
      }
      if (garbage) {
        out = chunk("data: {\"choices\": [this is no JSON\n\n");
      }
      co_await pace(*aStream, due);
      if (aStream->waiter.closed ||
          (breakAfter >= 0 && std::cmp_greater_equal(aStream->tokensSent, breakAfter))) {
        co_return false;
      }
      co_await asio::async_write(aSocket, asio::buffer(out), asio::use_awaitable);
      aStream->tokensSent = i - aStream->resumeTokens;
      mTokens += batch;
    }
    event["choices"][0]["delta"] = json::object();
    event["choices"][0]["finish_reason"] = "stop";
    event["usage"] = usage(*aStream);
    out = chunk("data: " + event.dump() + "\n\n") + chunk("data: [DONE]\n\n") + "0\r\n\r\n";
    // Finished before the last write, so that a caller that has the answer finds it in the ledger.
    finish(*aStream, "finished");
    co_await asio::async_write(aSocket, asio::buffer(out), asio::use_awaitable);
    co_return true;
  }

  Awaitable<bool> answerWhole(SocketPtr aSocket, const Request& aRequest, StreamPtr aStream)
  {
    auto due = std::chrono::steady_clock::now();
    for (auto i = aStream->resumeTokens; i < aStream->length && !aStream->waiter.closed; ++i) {
      co_await pace(*aStream, due);
    }
    if (aStream->waiter.closed) {
      co_return false;
    }
    json body = wholeAnswer(*aStream);
    aStream->tokensSent = aStream->length - aStream->resumeTokens;
    finish(*aStream, "finished");
    co_return co_await respond(aSocket, aRequest, 200, std::move(body));
  }

  Awaitable<void> watchClose(SocketPtr aSocket, StreamPtr aStream)
  {
    auto [ec] =
      co_await aSocket->async_wait(Tcp::socket::wait_read, asio::as_tuple(asio::use_awaitable));
    if (ec || aStream->waiter.closed) {
      co_return;
    }
    char byte = 0;
    const auto n = aSocket->receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
    if (ec || n == 0) {
      aStream->waiter.closed = true;
      aStream->waiter.wake();
    }
  }

  // Load, cache and orders.

  json load() const
  {
    return { { "server_id", mOptions.text("id") },
             { "incarnation", mIncarnation },
             { "state", cold() ? "cold" : "warm" },
             { "slots", cold() ? mOptions.count("cold-slots") : mOptions.count("slots") },
             { "running", mRunning },
             { "waiting", mSlots.waiting() + mPrefill.waiting() },
             { "tokens_per_second", mTokenRate },
             { "cached_blocks", mCache.size() },
             { "time_ms", wallMillis() },
             { "models", mModels } };
  }

  Awaitable<void> sampleLoad()
  {
    constexpr std::int64_t kPeriodMillis = 25;
    const auto lag = static_cast<std::int64_t>(mOptions.number("load-lag-ms"));
    for (;;) {
      const double seconds = kPeriodMillis / 1000.0;
      mTokenRate = 0.9 * mTokenRate + 0.1 * static_cast<double>(mTokens) / seconds;
      mTokens = 0;
      mSamples.emplace_back(ledgerMillis(), load());
      while (mSamples.size() > 1 && mSamples[1].first <= ledgerMillis() - lag) {
        mSamples.pop_front();
      }
      co_await sleepMillis(kPeriodMillis);
    }
  }

  json laggingLoad() const
  {
    if (mOptions.number("load-lag-ms") <= 0) {
      json now = load();
      now["age_ms"] = 0;
      return now;
    }
    json sample = mSamples.front().second;
    sample["age_ms"] = ledgerMillis() - mSamples.front().first;
    return sample;
  }

  json cacheEvents(const Request& aRequest) const
  {
    const auto from = queryNumber(aRequest, "from", 0);
    const auto visible =
      ledgerMillis() - static_cast<std::int64_t>(mOptions.number("cache-events-lag-ms"));
    json events = json::array();
    auto next = from;
    for (const auto& it : mCache.events()) {
      if (it.sequence < from || it.millis > visible) {
        continue;
      }
      events.push_back({ { "seq", it.sequence },
                         { "type", it.stored ? "stored" : "evicted" },
                         { "hash", it.hash } });
      next = it.sequence + 1;
    }
    return { { "next", next }, { "events", std::move(events) } };
  }

  Awaitable<bool> order(SocketPtr aSocket, const Request& aRequest)
  {
    json body = jsonBody(aRequest);
    const auto fence = body.value("fence", std::uint64_t{ 0 });
    const bool stale = mCheckFence && fence < mHighestFence;
    mHighestFence = std::max(mHighestFence, fence);
    body["time_ms"] = ledgerMillis();
    body["accepted"] = !stale;
    mOrders.push_back(body);
    if (stale) {
      co_return co_await respond(aSocket, aRequest, 412, errorBody("stale_fence"));
    }
    const std::string model = body.value("model", "");
    std::erase(mModels, model);
    if (body.value("action", "") == "load_model") {
      mModels.push_back(model);
    }
    co_return co_await respond(aSocket, aRequest, 200, json::object());
  }

  void control(const json& aBody)
  {
    if (const auto it = aBody.find("cold"); it != aBody.end()) {
      mColdUntil = ledgerMillis() + it->get<std::int64_t>();
      mCache.clear(ledgerMillis());
    }
    mSlow = aBody.value("slow", mSlow);
    mGarbage = aBody.value("garbage", mGarbage);
    mBreakAfter = aBody.value("break_after", mBreakAfter);
    mCheckFence = aBody.value("check_fence", mCheckFence);
    mTokensPerSecond = aBody.value("tokens_per_second", mTokensPerSecond);
  }

  // Ledger.

  void remember(StreamPtr aStream)
  {
    mStreams.push_back(std::move(aStream));
    if (mStreams.size() > mOptions.count("ledger-requests")) {
      mStreams.pop_front();
    }
  }

  void finish(Stream& aStream, const char* aOutcome)
  {
    aStream.outcome = aOutcome;
    aStream.end = ledgerMillis();
    ++mOutcomes[aOutcome];
    mTokensTotal += aStream.tokensSent;
  }

  json ledger(bool aWithRequests) const
  {
    json requests = json::array();
    if (aWithRequests) {
      for (const auto& it : mStreams) {
        requests.push_back(ledgerEntry(*it));
      }
    }
    return { { "server_id", mOptions.text("id") }, { "incarnation", mIncarnation },
             { "requests", std::move(requests) },  { "outcomes", mOutcomes },
             { "tokens_sent", mTokensTotal },      { "running", mRunning },
             { "overfilled", mOverfilled },        { "max_concurrent_cold", mMaxConcurrentCold },
             { "bad_resumes", mBadResumes },       { "orders", mOrders } };
  }

  [[noreturn]] void endProcess()
  {
    if (!mOptions.text("ledger-file").empty()) {
      std::ofstream(mOptions.text("ledger-file"), std::ios::app) << ledger(true).dump() << '\n';
    }
    std::_Exit(3);
  }

  asio::io_context& mIo;
  const Options& mOptions;
  Gate mSlots;
  Gate mPrefill;
  PrefixCache mCache;
  double mTokensPerSecond;
  bool mCheckFence;
  std::vector<std::string> mModels;
  std::int64_t mIncarnation;
  std::int64_t mColdUntil = 0;
  double mSlow = 1.0;
  bool mGarbage = false;
  int mBreakAfter = -1;
  std::uint64_t mHighestFence = 0;
  unsigned mRunning = 0;
  unsigned mOverfilled = 0;
  unsigned mMaxConcurrentCold = 0;
  unsigned mBadResumes = 0;
  std::uint64_t mTokens = 0;
  std::uint64_t mTokensTotal = 0;
  double mTokenRate = 0;
  std::deque<std::pair<std::int64_t, json>> mSamples;
  std::deque<StreamPtr> mStreams;
  std::map<std::string, std::uint64_t> mOutcomes;
  json mOrders = json::array();
};

}

}

int
main(int argc, char** argv)
{
  using namespace mustardplank::standins;
  const Options options(argc,
                        argv,
                        { { "listen", "127.0.0.1:0" },
                          { "id", "engine" },
                          { "model", "m1" },
                          { "slots", "8" },
                          { "cold-slots", "1" },
                          { "queue", "0" },
                          { "tokens-per-second", "50" },
                          { "batch", "1" },
                          { "prefill-ms", "1" },
                          { "load-lag-ms", "0" },
                          { "cold-ms", "0" },
                          { "overfill", "grind" },
                          { "cache-blocks", "1024" },
                          { "cache-gap", "0" },
                          { "cache-events-lag-ms", "0" },
                          { "check-fence", "false" },
                          { "ledger-requests", "20000" },
                          { "ledger-file", "" },
                          { "seed", "1" } });
  boost::asio::io_context io(1);
  Engine engine(io, options);
  const auto address =
    serveHttp(io, options.text("listen"), [&](SocketPtr aSocket, Request& aRequest) {
      return engine.handle(std::move(aSocket), aRequest);
    });
  runUntilTerminated(io, address);
}
