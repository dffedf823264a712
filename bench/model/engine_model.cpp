#include "engine_model.hpp"

#include <algorithm>

namespace mustardplank::model {

namespace {

Duration
millis(double aMillis)
{
  return Duration(static_cast<std::int64_t>(aMillis * 1000.0));
}

}

Engine::Engine(EngineParameters aParameters)
  : mParameters(aParameters)
  , mPrefixes(aParameters.memoryTokens)
  , mRandom(static_cast<std::minstd_rand::result_type>(aParameters.noiseSeed))
{
}

double
Engine::noiseAt(TimePoint aNow)
{
  if (mParameters.noiseShare <= 0.0) {
    return 1.0;
  }
  while (mNoiseChangesAt <= aNow) {
    mNoisy = !mNoisy;
    const double share = mNoisy ? mParameters.noiseShare : 1.0 - mParameters.noiseShare;
    std::exponential_distribution<double> span(1.0 / (share * toMillis(mParameters.noiseInterval)));
    mNoiseChangesAt = std::max(mNoiseChangesAt, aNow - Seconds(5)) + millis(span(mRandom));
  }
  return mNoisy ? mParameters.noiseFactor : 1.0;
}

void
Engine::submit(const dispatch::Job& aJob, std::uint32_t aOutputTokens, TimePoint aNow)
{
  if (mRunning.empty() && mWaiting.empty()) {
    mNow = std::max(mNow, aNow + millis(mParameters.firstMs / mParameters.speed));
  }
  mWaiting.push_back({ aJob, 0, 0, std::max(1U, aOutputTokens), 0 });
}

void
Engine::admit()
{
  std::stable_sort(mWaiting.begin(), mWaiting.end(), [](const Run& aLeft, const Run& aRight) {
    return aLeft.job.tier < aRight.job.tier;
  });
  while (!mWaiting.empty() && mRunning.size() < mParameters.slots) {
    auto run = std::move(mWaiting.front());
    mWaiting.pop_front();
    const auto kept = std::min(mPrefixes.cachedTokens(run.job.prompt), run.job.promptTokens);
    run.position = kept;
    run.unread = run.job.promptTokens - kept;
    mKeptTokens += kept;
    mReadTokens += run.unread;
    const auto own = run.job.prompt.empty() ? 0 : run.job.prompt.back().tokens;
    mReadSharedTokens += run.unread - std::min(run.unread, own);
    mPrefixes.recordPrompt(run.job.prompt);
    mRunning.push_back(std::move(run));
  }
}

void
Engine::lose()
{
  mRunning.clear();
  mWaiting.clear();
  mEvents.clear();
  mPrefixes.clear();
}

std::vector<EngineEvent>
Engine::advance(TimePoint aUntil)
{
  const auto delivery = millis(mParameters.deliveryMs);
  while (mNow < aUntil && !(mRunning.empty() && mWaiting.empty())) {
    const auto expired = [this](const Run& aRun) { return aRun.job.deadline <= mNow; };
    std::erase_if(mWaiting, expired);
    std::erase_if(mRunning, expired);
    admit();
    std::uint32_t chunk = mParameters.chunkTokens;
    std::uint32_t read = 0;
    double pairs = 0.0;
    for (auto& it : mRunning) {
      const auto n = std::min(chunk, it.unread);
      it.unread -= n;
      chunk -= n;
      read += n;
      pairs += static_cast<double>(n) * (it.position + n / 2.0);
      it.position += n;
    }
    const double stepMs =
      mParameters.stepMs + mParameters.stepMsPerSlot * static_cast<double>(mRunning.size()) +
      read / mParameters.promptTokensPerMs + mParameters.pairsMsPerMillion * pairs / 1e6;
    mNow += millis(stepMs * noiseAt(mNow) / mParameters.speed);
    for (auto& it : mRunning) {
      if (it.unread > 0) {
        continue;
      }
      ++it.made;
      const bool last = it.made >= it.output;
      if (it.made == 1 || it.made % mParameters.eventTokens == 0 || last) {
        mEvents.push_back({ it.job.id, mNow + delivery, it.made == 1, last });
      }
    }
    std::erase_if(mRunning, [](const Run& aRun) { return aRun.made >= aRun.output; });
  }
  if (mRunning.empty() && mWaiting.empty()) {
    mNow = std::max(mNow, aUntil);
  }
  std::vector<EngineEvent> events;
  while (!mEvents.empty() && (mEvents.front().at <= aUntil || delivery == Duration{})) {
    events.push_back(mEvents.front());
    mEvents.pop_front();
  }
  return events;
}

}
