#include "mustardplank/base/response_memory.hpp"

#include <algorithm>
#include <string_view>

namespace mustardplank {

ResponseMemory::ResponseMemory(std::size_t aLimitBytes)
  : mLimitBytes(aLimitBytes)
{
}

void
ResponseMemory::set(HolderId aHolder, const std::string& aSource, std::size_t aBytes)
{
  if (aBytes == 0) {
    remove(aHolder);
    return;
  }
  auto& holder = mHolders[aHolder];
  if (holder.source != aSource) {
    holder.source = aSource;
  }
  mTotalBytes += aBytes - holder.bytes;
  holder.bytes = aBytes;
}

void
ResponseMemory::remove(HolderId aHolder)
{
  const auto it = mHolders.find(aHolder);
  if (it != mHolders.end()) {
    mTotalBytes -= it->second.bytes;
    mHolders.erase(it);
  }
}

std::size_t
ResponseMemory::bytesOf(HolderId aHolder) const
{
  const auto it = mHolders.find(aHolder);
  return it == mHolders.end() ? 0 : it->second.bytes;
}

std::optional<ResponseMemory::HolderId>
ResponseMemory::findExcess() const
{
  if (mTotalBytes <= mLimitBytes) {
    return std::nullopt;
  }
  std::unordered_map<std::string_view, std::size_t> bytesOfSource;
  for (const auto& [id, holder] : mHolders) {
    bytesOfSource[holder.source] += holder.bytes;
  }
  const auto rank = [&](const auto& aItem) {
    return std::pair(bytesOfSource[aItem.second.source], aItem.second.bytes);
  };
  return std::max_element(
           mHolders.begin(),
           mHolders.end(),
           [&](const auto& aLeft, const auto& aRight) { return rank(aLeft) < rank(aRight); })
    ->first;
}

}
