#include "mustardplank/platform/read_memory.hpp"

namespace mustardplank::platform {

ReadMemory::Holding::Holding(std::shared_ptr<ReadMemory> aMemory,
                             std::string aSource,
                             RevokeCallback aOnRevoke)
  : mMemory(std::move(aMemory))
  , mId(mMemory->mNextId++)
  , mSource(std::move(aSource))
  , mOnRevoke(std::move(aOnRevoke))
{
  mMemory->mHoldings.emplace(mId, this);
}

ReadMemory::Holding::~Holding()
{
  mMemory->mMemory.remove(mId);
  mMemory->mHoldings.erase(mId);
}

bool
ReadMemory::Holding::set(std::size_t aBytes)
{
  if (mRevoked) {
    return false;
  }
  mMemory->mMemory.set(mId, mSource, aBytes);
  while (const auto excess = mMemory->mMemory.findExcess()) {
    mMemory->revoke(*excess);
  }
  return !mRevoked;
}

ReadMemory::ReadMemory(std::size_t aLimitBytes)
  : mMemory(aLimitBytes)
{
}

void
ReadMemory::revoke(ResponseMemory::HolderId aId)
{
  mMemory.remove(aId);
  auto& holding = *mHoldings.at(aId);
  holding.mRevoked = true;
  if (holding.mOnRevoke) {
    holding.mOnRevoke();
  }
}

}
