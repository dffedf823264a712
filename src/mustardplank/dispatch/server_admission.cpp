#include "mustardplank/dispatch/server_admission.hpp"

#include <utility>

namespace mustardplank::dispatch {

void
AdmissionMemory::store(const BackendServerId& aServer,
                       std::int64_t aStartTimeMs,
                       ServerAdmission aAdmission)
{
  take(aServer, aStartTimeMs);
  if (!aAdmission.isRestricted()) {
    return;
  }
  mEntries[aServer] = Entry{ aStartTimeMs, std::move(aAdmission), ++mLastNumber };
  mOrder[mLastNumber] = aServer;
  if (mEntries.size() > kMaxServers) {
    const auto oldest = mOrder.begin();
    mEntries.erase(oldest->second);
    mOrder.erase(oldest);
  }
}

ServerAdmission
AdmissionMemory::take(const BackendServerId& aServer, std::int64_t aStartTimeMs)
{
  const auto it = mEntries.find(aServer);
  if (it == mEntries.end()) {
    return {};
  }
  auto entry = std::move(it->second);
  mOrder.erase(entry.number);
  mEntries.erase(it);
  return entry.startTimeMs == aStartTimeMs ? std::move(entry.admission) : ServerAdmission{};
}

}
