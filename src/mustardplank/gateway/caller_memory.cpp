#include "mustardplank/gateway/caller_memory.hpp"

#include <tuple>

namespace mustardplank::gateway {

namespace {

/// Bytes that count as progress: a byte now and then does not.
constexpr std::size_t kProgressStep = 16UL * 1024;
/// An idle connection may be replaced by another one of the same address after this time. A caller
/// that has just connected is about to send.
constexpr Duration kMinIdleTime = Seconds(1);

}

CallerMemory::CallerMemory(Options aOptions)
  : mOptions(aOptions)
{
}

void
CallerMemory::add(HolderId aHolder, const std::string& aAddress, TimePoint aNow)
{
  Holder holder;
  holder.address = mAddresses.try_emplace(aAddress).first;
  holder.progressAt = aNow;
  ++holder.address->second.connections;
  mHolders.insert_or_assign(aHolder, holder);
}

void
CallerMemory::leave(Groups& aGroups, Groups::iterator aGroup, std::size_t aBytes)
{
  aGroup->second.bytes -= aBytes;
  if (--aGroup->second.connections == 0) {
    aGroups.erase(aGroup);
  }
}

void
CallerMemory::remove(HolderId aHolder)
{
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  const auto& holder = it->second;
  mTotalBytes -= holder.bytes;
  leave(mAddresses, holder.address, holder.bytes);
  if (holder.organisation) {
    leave(mOrganisations, *holder.organisation, holder.bytes);
  }
  mHolders.erase(it);
}

void
CallerMemory::setOrganisation(HolderId aHolder, const std::string& aOrganisation)
{
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  auto& holder = it->second;
  if (holder.organisation && (*holder.organisation)->first == aOrganisation) {
    return;
  }
  if (holder.organisation) {
    leave(mOrganisations, *holder.organisation, holder.bytes);
    holder.organisation.reset();
  }
  if (!aOrganisation.empty()) {
    holder.organisation = mOrganisations.try_emplace(aOrganisation).first;
    (*holder.organisation)->second.bytes += holder.bytes;
    ++(*holder.organisation)->second.connections;
  }
}

void
CallerMemory::setBytes(HolderId aHolder, std::size_t aBytes)
{
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  auto& holder = it->second;
  const auto replace = [&](std::size_t& aSum) { aSum += aBytes - holder.bytes; };
  replace(mTotalBytes);
  replace(holder.address->second.bytes);
  if (holder.organisation) {
    replace((*holder.organisation)->second.bytes);
  }
  holder.bytes = aBytes;
}

void
CallerMemory::setStage(HolderId aHolder, CallerStage aStage, TimePoint aNow)
{
  const auto it = mHolders.find(aHolder);
  if (it != mHolders.end() && it->second.stage != aStage) {
    it->second.stage = aStage;
    it->second.progressAt = aNow;
    it->second.progressBytes = 0;
  }
}

void
CallerMemory::noteProgress(HolderId aHolder, std::size_t aBytes, TimePoint aNow)
{
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  auto& holder = it->second;
  holder.progressBytes += aBytes;
  if (holder.progressBytes >= kProgressStep) {
    holder.progressBytes = 0;
    holder.progressAt = aNow;
  }
}

std::size_t
CallerMemory::bytesOf(HolderId aHolder) const
{
  const auto it = mHolders.find(aHolder);
  return it == mHolders.end() ? 0 : it->second.bytes;
}

bool
CallerMemory::isProtected(const Holder& aHolder) const
{
  const auto within = [&](const Groups::iterator& aGroup) {
    return aGroup->second.bytes <= mOptions.minimumBytes;
  };
  return within(aHolder.address) || (aHolder.organisation && within(*aHolder.organisation));
}

std::optional<CallerMemory::HolderId>
CallerMemory::findExcess(TimePoint aNow) const
{
  if (!isExceeded()) {
    return std::nullopt;
  }
  using Rank = std::tuple<bool, bool, double>;
  std::optional<std::pair<Rank, HolderId>> worst;
  for (const auto& [id, holder] : mHolders) {
    const auto heldFor = toMillis(aNow - holder.progressAt) + 1.0;
    const std::pair candidate{ Rank{ !isProtected(holder),
                                     holder.stage != CallerStage::Executing,
                                     static_cast<double>(holder.bytes) * heldFor },
                               id };
    if (holder.bytes > 0 && (!worst || candidate > *worst)) {
      worst = candidate;
    }
  }
  return worst ? std::optional(worst->second) : std::nullopt;
}

std::optional<CallerMemory::HolderId>
CallerMemory::findStalled(TimePoint aNow) const
{
  if (!isScarce() || mOptions.minBytesPerSecond == 0) {
    return std::nullopt;
  }
  const Duration stepTime = Millis(1000 * kProgressStep / mOptions.minBytesPerSecond);
  for (const auto& [id, holder] : mHolders) {
    if (holder.stage == CallerStage::Receiving && aNow - holder.progressAt > stepTime &&
        !isProtected(holder)) {
      return id;
    }
  }
  return std::nullopt;
}

std::optional<CallerMemory::HolderId>
CallerMemory::findReplaceable(const std::string& aAddress, TimePoint aNow) const
{
  const auto own = mAddresses.find(aAddress);
  const std::size_t ownCount = own == mAddresses.end() ? 0 : own->second.connections;
  using Rank = std::tuple<std::size_t, bool, Duration>;
  std::optional<std::pair<Rank, HolderId>> worst;
  for (const auto& [id, holder] : mHolders) {
    const bool isIdle = holder.stage == CallerStage::Idle;
    const auto heldFor = aNow - holder.progressAt;
    // A new connection must not take the place of one whose address then has fewer.
    const bool hasMore = holder.address->second.connections > ownCount + 1 &&
                         (isIdle || holder.stage == CallerStage::Receiving);
    const bool isOwnIdle = holder.address == own && isIdle && heldFor >= kMinIdleTime;
    const std::pair candidate{ Rank{ holder.address->second.connections, isIdle, heldFor }, id };
    if (((hasMore && holder.address != own) || isOwnIdle) && (!worst || candidate > *worst)) {
      worst = candidate;
    }
  }
  return worst ? std::optional(worst->second) : std::nullopt;
}

}
