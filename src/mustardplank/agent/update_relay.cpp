#include "mustardplank/agent/update_relay.hpp"

#include <algorithm>
#include <set>

namespace mustardplank::agent {

namespace {

/// Instances that have handed over an update within this time count.
constexpr Duration kLiveness = Seconds(4);

}

void
UpdateRelay::accept(const control::InstanceUpdate& aUpdate, std::string aBytes, TimePoint aNow)
{
  const Process process{ aUpdate.instance, aUpdate.incarnation };
  if (!mProcesses.contains(process) && mProcesses.size() >= kMaxProcesses) {
    return;
  }
  auto& state = mProcesses[process];
  state.acceptedAt = aNow;
  if (aUpdate.sequence <= state.sequence) {
    return;
  }
  state.sequence = aUpdate.sequence;
  state.bytes = std::move(aBytes);
  state.hasChanges = !aUpdate.windows.empty() || !aUpdate.crashes.empty() || aUpdate.leaving ||
                     !aUpdate.evidence.empty() || !aUpdate.allowances.empty();
}

std::vector<UpdateRelay::Item>
UpdateRelay::takeDue(TimePoint aNow)
{
  std::erase_if(mProcesses,
                [&](const auto& aItem) { return aItem.second.acceptedAt + kMemory < aNow; });
  std::vector<Item> due;
  for (const auto& [process, state] : mProcesses) {
    const bool isDue = state.hasChanges || aNow - state.writtenAt >= kIdleInterval;
    if (state.sequence > state.written && isDue) {
      due.push_back({ process, state.sequence, state.bytes });
    }
  }
  return due;
}

void
UpdateRelay::recordWritten(const std::vector<Item>& aItems, TimePoint aNow)
{
  for (const auto& it : aItems) {
    const auto state = mProcesses.find(it.process);
    if (state == mProcesses.end()) {
      continue;
    }
    state->second.written = std::max(state->second.written, it.sequence);
    state->second.writtenAt = aNow;
  }
}

void
UpdateRelay::recordWrittenElsewhere(std::uint64_t aIncarnation,
                                    std::uint64_t aSequence,
                                    TimePoint aNow)
{
  for (auto& [process, state] : mProcesses) {
    if (process.incarnation == aIncarnation && aSequence > state.written) {
      state.written = aSequence;
      state.writtenAt = aNow;
    }
  }
}

void
UpdateRelay::forgetWritten()
{
  for (auto& [process, state] : mProcesses) {
    state.written = 0;
    state.writtenAt = TimePoint{};
  }
}

std::vector<UpdateRelay::Item>
UpdateRelay::unwritten() const
{
  std::vector<Item> items;
  for (const auto& [process, state] : mProcesses) {
    if (state.sequence > state.written) {
      items.push_back({ process, state.sequence, state.bytes });
    }
  }
  return items;
}

std::uint64_t
UpdateRelay::writtenSequence(const Process& aProcess) const
{
  const auto it = mProcesses.find(aProcess);
  return it == mProcesses.end() ? 0 : it->second.written;
}

std::size_t
UpdateRelay::instanceCount(TimePoint aNow) const
{
  std::set<InstanceId> instances;
  for (const auto& [process, state] : mProcesses) {
    if (state.acceptedAt + kLiveness >= aNow) {
      instances.insert(process.instance);
    }
  }
  return instances.size();
}

}
