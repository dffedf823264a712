// The platform as section 7.2 of docs/design.md describes it: log, instance list, server orders,
// usage reports and weight store, all in memory.

#include "mustardplank/base/clock.hpp"
#include "standins/common/http_server.hpp"
#include "standins/common/options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <set>
#include <utility>

namespace mustardplank::standins {

namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// Allows a number of calls a second, with bursts of a tenth of that.
class TokenBucket
{
public:
  explicit TokenBucket(double aRate)
    : mRate(aRate)
  {
  }

  void setRate(double aRate) { mRate = aRate; }

  bool take()
  {
    const auto now = bootNow();
    mTokens += mRate * toMillis(now - mLast) / 1000.0;
    mTokens = std::min(mTokens, std::max(1.0, mRate / 10));
    mLast = now;
    if (mTokens < 1) {
      return false;
    }
    mTokens -= 1;
    return true;
  }

private:
  double mRate;
  double mTokens = 1e9;
  TimePoint mLast = bootNow();
};

struct Answer
{
  unsigned status = 200;
  json body = json::object();
  /// The call took effect, so its answer can be lost.
  bool tookEffect = false;
};

class Platform
{
public:
  Platform(asio::io_context& aIo, const Options& aOptions)
    : mOptions(aOptions)
    , mLogChanged(aIo, asio::steady_timer::time_point::max())
    , mAppendRate(aOptions.number("rate"))
    , mWeightRate(aOptions.number("weight-rate"))
    , mRetention(aOptions.count("retention"))
    , mCheckFence(aOptions.flag("check-fence"))
  {
    mInstanceHistory.emplace_back(0, json::array());
  }

  /// aView tells the observers apart, whose instance lists may hold different addresses.
  Awaitable<bool> handle(SocketPtr aSocket, Request& aRequest, std::size_t aView)
  {
    const std::string path = pathOf(aRequest);
    if (path == "/control") {
      control(jsonBody(aRequest));
      co_return co_await respond(aSocket, aRequest, 200, json::object());
    }
    if (path == "/ledger") {
      co_return co_await respond(aSocket, aRequest, 200, ledger());
    }
    if (mDelay > 0) {
      co_await sleepMillis(mDelay);
    }
    if (path == "/log" && !mOutage.contains("log")) {
      co_await waitForRecord(aRequest);
    }
    Answer answer = call(path, aRequest, aView);
    if (answer.tookEffect && mLoseAnswers > 0) {
      --mLoseAnswers;
      ++mAnswersLost;
      co_return false;
    }
    co_return co_await respond(aSocket, aRequest, answer.status, std::move(answer.body));
  }

private:
  static std::string outageName(const std::string& aPath)
  {
    if (aPath.starts_with("/log")) {
      return "log";
    }
    if (aPath == "/instances") {
      return "instances";
    }
    return aPath.starts_with("/servers") ? "orders" : "reports";
  }

  Answer call(const std::string& aPath, const Request& aRequest, std::size_t aView)
  {
    if (mOutage.contains(outageName(aPath))) {
      return { 503, errorBody("outage") };
    }
    if (aPath == "/log/append") {
      return append(jsonBody(aRequest));
    }
    if (aPath == "/log") {
      return readLog(aRequest);
    }
    if (aPath == "/instances") {
      return { 200, instances(aView) };
    }
    if (aPath == "/servers/orders") {
      return order(jsonBody(aRequest), aView);
    }
    if (aPath == "/servers") {
      return { 200, servers() };
    }
    if (aPath == "/usage/reports") {
      return report(jsonBody(aRequest), aView);
    }
    if (aPath == "/weights/fetch") {
      return mWeightRate.take() ? Answer{ 200 } : Answer{ 429, errorBody("rate") };
    }
    return { 404, errorBody("not_found") };
  }

  // Log.

  Answer append(const json& aBody)
  {
    const json records = aBody.value("records", json::array());
    if (records.empty()) {
      return { 400, errorBody("no records") };
    }
    if (!mAppendRate.take()) {
      ++mRateLimited;
      return { 429, errorBody("rate") };
    }
    const auto offset = end();
    for (const auto& record : records) {
      json entry;
      entry["offset"] = end();
      entry["time_ms"] = wallMillis();
      entry["record"] = record;
      mRecords.push_back(std::move(entry));
    }
    while (mRecords.size() > mRetention) {
      mRecords.pop_front();
      ++mFirst;
    }
    ++mAppends;
    mLogChanged.cancel();
    return { 200, { { "offset", offset }, { "count", records.size() } }, true };
  }

  std::uint64_t end() const { return mFirst + mRecords.size(); }

  Awaitable<void> waitForRecord(const Request& aRequest)
  {
    constexpr std::uint64_t kMaxWaitMillis = 30'000;
    const auto from = queryNumber(aRequest, "from", 0);
    const auto wait = std::min(queryNumber(aRequest, "wait_ms", 0), kMaxWaitMillis);
    const auto until = ledgerMillis() + static_cast<std::int64_t>(wait);
    while (from >= end() && ledgerMillis() < until && !mOutage.contains("log")) {
      asio::steady_timer timer(mLogChanged.get_executor(), Millis(until - ledgerMillis()));
      mPollers.insert(&timer);
      wakePollersOnChange();
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      mPollers.erase(&timer);
    }
  }

  /// One wait on mLogChanged serves all pollers.
  void wakePollersOnChange()
  {
    if (std::exchange(mWaking, true)) {
      return;
    }
    mLogChanged.async_wait([this](const boost::system::error_code&) {
      mWaking = false;
      for (auto* it : mPollers) {
        it->cancel();
      }
    });
  }

  Answer readLog(const Request& aRequest)
  {
    const auto from = queryNumber(aRequest, "from", 0);
    const auto limit = queryNumber(aRequest, "limit", 1000);
    if (from < mFirst) {
      return { 410, { { "first", mFirst } } };
    }
    json records = json::array();
    for (auto n = from; n < end() && records.size() < limit; ++n) {
      records.push_back(mRecords[n - mFirst]);
    }
    return { 200, { { "first", mFirst }, { "end", end() }, { "records", std::move(records) } } };
  }

  // Instances.

  json instances(std::size_t aView)
  {
    const auto lag = static_cast<std::int64_t>(mOptions.number("instance-lag-ms"));
    while (mInstanceHistory.size() > 1 && mInstanceHistory[1].first <= ledgerMillis() - lag) {
      mInstanceHistory.pop_front();
    }
    json list = mInstanceHistory.front().second;
    for (auto& it : list) {
      // Harnesses give each observer its own address for a peer, to cut single links.
      const auto addresses = it.find("peer_addresses");
      if (addresses != it.end() && aView < addresses->size()) {
        it["peer_address"] = addresses->at(aView);
      }
      it.erase("peer_addresses");
    }
    return { { "instances", std::move(list) } };
  }

  // Servers.

  json servers()
  {
    const auto now = ledgerMillis();
    json list = json::array();
    for (auto& server : mServers) {
      if (server["state"] == "starting" && now >= server.value("ready_ms", now)) {
        server["state"] = "running";
      }
      json shown = server;
      if (server["state"] == "reclaiming") {
        const auto left = server["reclaim_ms"].get<std::int64_t>() - now;
        shown["reclaim_in_ms"] = std::max<std::int64_t>(left, 0);
        if (left <= 0) {
          shown["state"] = "stopped";
          server["state"] = "stopped";
        }
      }
      list.push_back(std::move(shown));
    }
    return { { "servers", std::move(list) } };
  }

  Answer order(json aBody, std::size_t aView)
  {
    // Tells which observer sent it.
    aBody["view"] = aView;
    const auto fence = aBody.value("fence", std::uint64_t{ 0 });
    auto& highest = mHighestFence[aBody.value("failure_domain", "")];
    const std::string operation = aBody.value("operation_id", "");
    const auto earlier = mOrderAnswers.find(operation);
    aBody["time_ms"] = ledgerMillis();
    aBody["stale"] = fence < highest;
    aBody["repeat"] = earlier != mOrderAnswers.end();
    Answer answer;
    if (earlier != mOrderAnswers.end()) {
      answer = earlier->second;
    } else if (mCheckFence && fence < highest) {
      answer = { 412, errorBody("stale_fence") };
    } else {
      answer = carryOut(aBody);
      mOrderAnswers[operation] = answer;
    }
    highest = std::max(highest, fence);
    aBody["status"] = answer.status;
    mOrders.push_back(std::move(aBody));
    return answer;
  }

  Answer carryOut(const json& aOrder)
  {
    const std::string id = aOrder.value("server_id", "");
    if (aOrder.value("action", "") == "stop") {
      for (auto& server : mServers) {
        if (server["id"] == id) {
          server["state"] = "stopped";
        }
      }
      return { 200, { { "server_id", id } }, true };
    }
    const bool denied = mNotAvailable.contains(aOrder.value("kind", "")) ||
                        mNotAvailable.contains(aOrder.value("failure_domain", ""));
    for (auto it = mSpares.begin(); it != mSpares.end() && !denied; ++it) {
      if (!matches(*it, aOrder)) {
        continue;
      }
      json server = *it;
      mSpares.erase(it);
      server["state"] = "starting";
      server["ready_ms"] = ledgerMillis() + static_cast<std::int64_t>(mOptions.number("start-ms"));
      mServers.push_back(server);
      return { 200, { { "server_id", server["id"] } }, true };
    }
    return { 409, errorBody("not_available") };
  }

  static bool matches(const json& aServer, const json& aOrder)
  {
    for (const char* field : { "failure_domain", "pool", "kind" }) {
      if (aServer.value(field, "") != aOrder.value(field, "")) {
        return false;
      }
    }
    return true;
  }

  void reclaim(const json& aBody)
  {
    for (auto& server : mServers) {
      const bool concerned = server["id"] == aBody.value("server_id", "") ||
                             (server["failure_domain"] == aBody.value("failure_domain", "") &&
                              server["kind"] == "cheap");
      if (concerned && server["state"] != "stopped") {
        server["state"] = "reclaiming";
        server["reclaim_ms"] = ledgerMillis() + aBody.value("in_ms", std::int64_t{ 0 });
      }
    }
  }

  // Usage.

  Answer report(json aBody, std::size_t aView)
  {
    aBody["view"] = aView;
    aBody["time_ms"] = ledgerMillis();
    mReports.push_back(std::move(aBody));
    return { 200, json::object(), true };
  }

  // Control and ledger.

  void control(const json& aBody)
  {
    if (const auto it = aBody.find("outage"); it != aBody.end()) {
      mOutage = it->get<std::set<std::string>>();
      mLogChanged.cancel();
    }
    if (const auto it = aBody.find("instances"); it != aBody.end()) {
      mInstanceHistory.emplace_back(ledgerMillis(), *it);
    }
    if (const auto it = aBody.find("servers"); it != aBody.end()) {
      mServers = *it;
    }
    if (const auto it = aBody.find("spare_servers"); it != aBody.end()) {
      mSpares = it->get<std::vector<json>>();
    }
    if (const auto it = aBody.find("not_available"); it != aBody.end()) {
      mNotAvailable = it->get<std::set<std::string>>();
    }
    if (const auto it = aBody.find("reclaim"); it != aBody.end()) {
      reclaim(*it);
    }
    if (const auto it = aBody.find("rate"); it != aBody.end()) {
      mAppendRate.setRate(it->get<double>());
    }
    mLoseAnswers = aBody.value("lose_answers", mLoseAnswers);
    mDelay = aBody.value("delay_ms", mDelay);
    mRetention = aBody.value("retention", mRetention);
    mCheckFence = aBody.value("check_fence", mCheckFence);
  }

  json ledger() const
  {
    return { { "orders", mOrders },
             { "reports", mReports },
             { "servers", mServers },
             { "appends", mAppends },
             { "rate_limited", mRateLimited },
             { "answers_lost", mAnswersLost },
             { "log_first", mFirst },
             { "log_end", end() } };
  }

  const Options& mOptions;
  asio::steady_timer mLogChanged;
  std::set<asio::steady_timer*> mPollers;
  bool mWaking = false;
  TokenBucket mAppendRate;
  TokenBucket mWeightRate;
  std::size_t mRetention;
  bool mCheckFence;
  /// Offset of the first record kept.
  std::uint64_t mFirst = 0;
  std::deque<json> mRecords;
  std::deque<std::pair<std::int64_t, json>> mInstanceHistory;
  json mServers = json::array();
  std::vector<json> mSpares;
  std::set<std::string> mNotAvailable;
  std::set<std::string> mOutage;
  std::map<std::string, std::uint64_t> mHighestFence;
  std::map<std::string, Answer> mOrderAnswers;
  unsigned mLoseAnswers = 0;
  std::int64_t mDelay = 0;
  std::uint64_t mAppends = 0;
  std::uint64_t mRateLimited = 0;
  std::uint64_t mAnswersLost = 0;
  json mOrders = json::array();
  json mReports = json::array();
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
                          { "views", "0" },
                          { "rate", "400" },
                          { "weight-rate", "2" },
                          { "retention", "100000" },
                          { "instance-lag-ms", "0" },
                          { "start-ms", "0" },
                          { "check-fence", "false" } });
  boost::asio::io_context io(1);
  Platform platform(io, options);
  std::string addresses;
  // Listener 0 is for everyone; the others are one for each view.
  for (std::size_t view = 0; view <= options.count("views"); ++view) {
    const std::string listen = view == 0 ? options.text("listen") : "127.0.0.1:0";
    addresses += (view == 0 ? "" : " ");
    addresses += serveHttp(io, listen, [&, view](SocketPtr aSocket, Request& aRequest) {
      return platform.handle(std::move(aSocket), aRequest, view == 0 ? SIZE_MAX : view - 1);
    });
  }
  runUntilTerminated(io, addresses);
}
