// A runner fails part of its requests, after it has run them, with an answer that callers take for
// a promise.
#include "small_site.hpp"

#include "standins/common/http_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <map>
#include <mutex>
#include <set>

using namespace review;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace standins = mustardplank::standins;

namespace {

constexpr std::int64_t kWorkMs = 15;
/// Of the requests of the runner in trouble, one in so many fails.
constexpr int kOneIn = 3;
constexpr auto kBefore = 3s;
constexpr auto kTrouble = 6s;
constexpr int kCallers = 12;

/// A plain application that records items. It states what it has not run with X-Not-Executed.
class Application
{
public:
  Application(asio::io_context& aIo, std::string aId)
    : mId(std::move(aId))
    , mAddress(
        standins::serveHttp(aIo,
                            "127.0.0.1:0",
                            [this](standins::SocketPtr aSocket, standins::Request& aRequest) {
                              return handle(std::move(aSocket), aRequest);
                            }))
  {
  }

  const std::string& address() const { return mAddress; }
  void setFailing(bool aFailing) { mFailing = aFailing; }

  /// Attempts and the items that they recorded.
  std::map<std::string, std::string> recorded() const
  {
    const std::lock_guard lock(mMutex);
    return mRecorded;
  }

private:
  standins::Awaitable<bool> handle(standins::SocketPtr aSocket, standins::Request& aRequest)
  {
    const std::string attempt(aRequest["X-Attempt-Id"]);
    std::string text;
    if (aRequest["X-Expected-Instance"] != mId) {
      text = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + attempt +
             "\r\nContent-Length: 0\r\n\r\n";
    } else {
      bool fails = false;
      {
        const std::lock_guard lock(mMutex);
        fails = mFailing && ++mTurn % kOneIn == 0;
        mRecorded[attempt] = aRequest.body();
      }
      co_await standins::sleepMillis(kWorkMs);
      text = std::string("HTTP/1.1 ") + (fails ? "429 Too Many Requests" : "200 OK") +
             "\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: sig-" + mId +
             "\r\nContent-Length: 2\r\n\r\nok";
    }
    boost::system::error_code ec;
    co_await asio::async_write(
      *aSocket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  std::string mId;
  mutable std::mutex mMutex;
  std::map<std::string, std::string> mRecorded;
  int mTurn = 0;
  std::atomic<bool> mFailing{ false };
  std::string mAddress;
};

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  record.line(trouble ? "with trouble" : "without trouble");
  SmallSite site(3, 6, record);
  std::vector<std::unique_ptr<Application>> applications;
  for (std::size_t i = 0; i < 3; ++i) {
    applications.push_back(std::make_unique<Application>(site.io(), site.server(i).id()));
    site.writeServer(i, applications[i]->address(), R"({"slots": 6, "born": 2})");
  }
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    return 2;
  }
  std::this_thread::sleep_for(3s);
  std::atomic<bool> over{ false };
  std::mutex mutex;
  std::map<std::string, int> statuses;
  int resent = 0;
  std::vector<std::thread> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back([&, n] {
      for (int i = 0; !over; ++i) {
        const auto item = "item " + std::to_string(n) + "-" + std::to_string(i);
        // The first try, and one more after a promise that it has not run.
        for (int attempt = 0; attempt < 2; ++attempt) {
          auto call = mustardplank::routes::callOf("/plain/x");
          call.body = item;
          call.deadlineMs = 1500;
          const auto place = static_cast<std::size_t>(n + i + attempt) % site.instanceCount();
          const int status = statusOf(site.callers(place), call);
          {
            const std::lock_guard lock(mutex);
            statuses[call.attempt] = status;
            resent += attempt;
          }
          if (status != 429 && status != 503) {
            break;
          }
        }
        std::this_thread::sleep_for(100ms);
      }
    });
  }
  std::this_thread::sleep_for(kBefore);
  if (trouble) {
    applications[0]->setFailing(true);
    record.line("server0 fails one request in three from now on");
  }
  std::this_thread::sleep_for(kTrouble);
  applications[0]->setFailing(false);
  record.line("server0 is sound");
  std::this_thread::sleep_for(kBefore);
  over = true;
  for (auto& it : callers) {
    it.join();
  }
  int falsePromises = 0;
  std::map<std::string, int> times;
  for (const auto& application : applications) {
    for (const auto& [attempt, item] : application->recorded()) {
      ++times[item];
      const int status = statuses[attempt];
      if (status == 429 || status == 503 || status == 408 || status == 421) {
        ++falsePromises;
        record.line(item + ": " + attempt + " has run and was answered " + std::to_string(status));
      }
    }
  }
  int doubled = 0;
  for (const auto& [item, n] : times) {
    doubled += n > 1 && item.starts_with("item") ? 1 : 0;
  }
  record.line("requests " + std::to_string(statuses.size()) + ", sent again " +
              std::to_string(resent) + ", answered as not run though they had run " +
              std::to_string(falsePromises) + ", items recorded twice " + std::to_string(doubled));
  if (statuses.size() < 300) {
    return 2;
  }
  return falsePromises > 0 ? 1 : 0;
}
