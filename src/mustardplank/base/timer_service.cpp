#include "mustardplank/base/timer_service.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <utility>
#include <vector>

namespace mustardplank {

namespace asio = boost::asio;

namespace {

struct Subscription
{
  std::string name;
  Duration interval;
  std::function<void(TimePoint)> callback;
  asio::steady_timer timer;
};

void
arm(Subscription& aSubscription)
{
  aSubscription.timer.expires_after(aSubscription.interval);
  aSubscription.timer.async_wait([&aSubscription](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    aSubscription.callback(bootNow());
    arm(aSubscription);
  });
}

}

struct TimerService::Impl
{
  asio::io_context io{ 1 };
  std::vector<std::unique_ptr<Subscription>> subscriptions;
  std::thread thread;
};

TimerService::TimerService()
  : mImpl(std::make_unique<Impl>())
{
}

TimerService::~TimerService()
{
  stop();
}

void
TimerService::subscribe(std::string aName,
                        Duration aInterval,
                        std::function<void(TimePoint)> aCallback)
{
  mImpl->subscriptions.push_back(std::make_unique<Subscription>(Subscription{
    std::move(aName), aInterval, std::move(aCallback), asio::steady_timer(mImpl->io) }));
}

void
TimerService::start()
{
  for (auto& it : mImpl->subscriptions) {
    arm(*it);
  }
  mImpl->thread = std::thread([this] { mImpl->io.run(); });
}

void
TimerService::stop()
{
  mImpl->io.stop();
  if (mImpl->thread.joinable()) {
    mImpl->thread.join();
  }
}

}
