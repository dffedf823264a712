#include "log_appender.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mustardplank::daemon {

namespace {

constexpr std::size_t kMaxBatch = 256;
/// More than this waits only when the log is far too slow; further records are refused.
constexpr std::size_t kMaxWaiting = 8192;
constexpr Duration kRateLimitPause = Millis(50);

}

LogAppender::LogAppender(Send aSend)
  : mSend(std::move(aSend))
{
}

void
LogAppender::add(std::string aRecord, Done aDone)
{
  addAll({ std::move(aRecord) }, std::move(aDone));
}

void
LogAppender::addAll(std::vector<std::string> aRecords, Done aDone)
{
  if (mWaiting.size() >= kMaxWaiting) {
    if (aDone) {
      aDone(
        platform::Failure{ platform::FailureKind::NoEffect, "too many records wait for the log" });
    }
    return;
  }
  mWaiting.push_back({ std::move(aRecords), std::move(aDone) });
}

void
LogAppender::flush(TimePoint aNow)
{
  if (!mUnderWay.empty() || mWaiting.empty() || aNow < mPausedUntil) {
    return;
  }
  std::vector<std::string> records;
  while (!mWaiting.empty() && records.size() < kMaxBatch) {
    const auto& first = mWaiting.front().records;
    records.insert(records.end(), first.begin(), first.end());
    mUnderWay.push_back(std::move(mWaiting.front()));
    mWaiting.pop_front();
  }
  mSend(std::move(records));
}

void
LogAppender::finished(const platform::Result<platform::Appended>& aResult, TimePoint aNow)
{
  auto items = std::exchange(mUnderWay, {});
  const auto* failure = std::get_if<platform::Failure>(&aResult);
  if (failure && failure->kind == platform::FailureKind::RateLimited) {
    mPausedUntil = aNow + kRateLimitPause;
    std::move(items.rbegin(), items.rend(), std::front_inserter(mWaiting));
    return;
  }
  for (auto& it : items) {
    if (it.done) {
      it.done(aResult);
    }
  }
}

}
