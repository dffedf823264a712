// A plain service as section 7.4 of docs/design.md describes it: counts calls and keeps them.

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/options.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace mustardplank::standins {

namespace {

using nlohmann::json;

class Service
{
public:
  explicit Service(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  Awaitable<bool> handle(SocketPtr aSocket, Request& aRequest)
  {
    const std::string path = pathOf(aRequest);
    if (path == "/control") {
      control(jsonBody(aRequest));
      co_return co_await respond(aSocket, aRequest, 200, json::object());
    }
    if (path == "/ledger") {
      co_return co_await respond(aSocket, aRequest, 200, ledger());
    }
    if (path == "/load") {
      co_return co_await respond(aSocket, aRequest, 200, load());
    }
    co_return co_await call(aSocket, aRequest, path);
  }

private:
  Awaitable<bool> call(SocketPtr aSocket, const Request& aRequest, std::string aPath)
  {
    const std::size_t index = mCalls.size();
    mCalls.push_back(callEntry(aRequest, aPath));
    ++mRunning;
    co_await sleepMillis(static_cast<std::int64_t>(queryNumber(aRequest, "delay_ms", mDelay)));
    --mRunning;
    mCalls[index]["end_ms"] = ledgerMillis();
    if (mLoseAnswers > 0) {
      --mLoseAnswers;
      co_return false;
    }
    mCalls[index]["answered"] = true;
    co_return co_await respond(aSocket, aRequest, 200, answer(index));
  }

  json ledger() const { return { { "id", mOptions.text("id") }, { "calls", mCalls } }; }

  static json callEntry(const Request& aRequest, const std::string& aPath)
  {
    constexpr std::size_t kMaxBody = 1000;
    return { { "method", std::string(aRequest.method_string()) },
             { "path", aPath },
             { "headers", headersOf(aRequest) },
             { "body", aRequest.body().substr(0, kMaxBody) },
             { "body_digest", sha256Hex(aRequest.body()) },
             { "start_ms", ledgerMillis() },
             { "end_ms", 0 },
             { "answered", false } };
  }

  json answer(std::size_t aIndex) const
  {
    return { { "service", mOptions.text("id") },
             { "path", mCalls[aIndex]["path"] },
             { "body_digest", mCalls[aIndex]["body_digest"] },
             { "count", aIndex + 1 } };
  }

  /// The load report of an engine, so that routers may watch both alike.
  json load() const
  {
    return {
      { "server_id", mOptions.text("id") }, { "incarnation", mIncarnation }, { "state", "warm" },
      { "slots", mOptions.count("slots") }, { "running", mRunning },         { "waiting", 0 },
      { "tokens_per_second", 0 },           { "cached_blocks", 0 },          { "age_ms", 0 },
      { "time_ms", wallMillis() },          { "models", json::array() }
    };
  }

  void control(const json& aBody)
  {
    mLoseAnswers = aBody.value("lose_answers", mLoseAnswers);
    mDelay = aBody.value("delay_ms", mDelay);
  }

  const Options& mOptions;
  std::int64_t mIncarnation = ledgerMillis();
  unsigned mRunning = 0;
  unsigned mLoseAnswers = 0;
  std::uint64_t mDelay = 0;
  json mCalls = json::array();
};

}

}

int
main(int argc, char** argv)
{
  using namespace mustardplank::standins;
  const Options options(
    argc, argv, { { "listen", "127.0.0.1:0" }, { "id", "service" }, { "slots", "8" } });
  Service service(options);
  boost::asio::io_context io(1);
  const auto address =
    serveHttp(io, options.text("listen"), [&](SocketPtr aSocket, Request& aRequest) {
      return service.handle(std::move(aSocket), aRequest);
    });
  runUntilTerminated(io, address);
}
