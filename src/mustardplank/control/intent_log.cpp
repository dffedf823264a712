#include "mustardplank/control/intent_log.hpp"

namespace mustardplank::control {

void
IntentLog::add(const ReportIntent& aIntent)
{
  const auto [it, isNew] = mWindows.try_emplace(aIntent.window);
  auto& state = it->second;
  // After a restoration the log may hold another decision than the one that was lost; it counts for
  // everybody unless the lost one was reported.
  if (isNew || (!state.inLog && !state.reported)) {
    state.counts = aIntent.counts;
  }
  state.inLog = true;
  while (mWindows.size() > kMaxWindows) {
    mWindows.erase(mWindows.begin());
  }
}

void
IntentLog::restart()
{
  for (auto& [window, state] : mWindows) {
    state.inLog = false;
  }
}

std::vector<ReportIntent>
IntentLog::missing(std::uint64_t aFirst) const
{
  std::vector<ReportIntent> intents;
  for (auto it = mWindows.lower_bound(aFirst); it != mWindows.end(); ++it) {
    if (!it->second.inLog) {
      intents.push_back({ it->first, it->second.counts });
    }
  }
  return intents;
}

std::vector<ReportIntent>
IntentLog::unreported() const
{
  std::vector<ReportIntent> intents;
  for (const auto& [window, state] : mWindows) {
    if (!state.reported) {
      intents.push_back({ window, state.counts });
    }
  }
  return intents;
}

void
IntentLog::markReported(std::uint64_t aWindow)
{
  if (const auto it = mWindows.find(aWindow); it != mWindows.end()) {
    it->second.reported = true;
  }
}

}
