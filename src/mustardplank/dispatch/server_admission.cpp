#include "mustardplank/dispatch/server_admission.hpp"

#include <utility>

namespace mustardplank::dispatch {

void
AdmissionMemory::store(const ServerIncarnation& aServer, ServerAdmission aAdmission)
{
  take(aServer);
  if (!aAdmission.isRestricted()) {
    return;
  }
  mEntries[aServer.id] = Entry{ aServer.startTimeMs, std::move(aAdmission), ++mLastNumber };
  mOrder[mLastNumber] = aServer.id;
  if (mEntries.size() > kMaxServers) {
    const auto oldest = mOrder.begin();
    mEntries.erase(oldest->second);
    mOrder.erase(oldest);
  }
}

ServerAdmission
AdmissionMemory::take(const ServerIncarnation& aServer)
{
  const auto it = mEntries.find(aServer.id);
  if (it == mEntries.end()) {
    return {};
  }
  auto entry = std::move(it->second);
  mOrder.erase(entry.number);
  mEntries.erase(it);
  return entry.startTimeMs == aServer.startTimeMs ? std::move(entry.admission) : ServerAdmission{};
}

}
