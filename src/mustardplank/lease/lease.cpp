#include "mustardplank/lease/lease.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/config/fields.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::lease {

namespace {

/// Sent records whose times are kept; older ones would be past their lease when read back.
constexpr std::size_t kMaxSent = 16;

std::uint64_t
weight(const LeaseKey& aKey, const InstanceId& aInstance)
{
  return stableHash(std::string(kDutyNames.name(aKey.duty)) + "/" + aKey.failureDomain.str() + "/" +
                    aInstance.str());
}

}

LeaseHolder::LeaseHolder(HolderOptions aOptions, TimePoint aNow)
  : mOptions(std::move(aOptions))
  , mTable(mOptions.checkSeen)
  , mStarted(aNow)
{
  addKeys(mOptions.keys, aNow);
}

void
LeaseHolder::addKeys(const std::vector<LeaseKey>& aKeys, TimePoint aNow)
{
  for (const auto& it : aKeys) {
    Local local;
    local.lastRead = aNow;
    local.domainLive = aNow;
    mLocal.try_emplace(it, std::move(local));
  }
}

bool
LeaseHolder::isOwn(const Lease& aLease) const
{
  return aLease.holder == mOptions.instance && aLease.incarnation == mOptions.incarnation;
}

void
LeaseHolder::apply(const LogEntry& aEntry, TimePoint aNow)
{
  const auto record = mTable.apply(aEntry);
  if (record.applied == LeaseTable::Applied::Nothing) {
    return;
  }
  const auto it = mLocal.find(record.key);
  if (it == mLocal.end()) {
    return;
  }
  auto& local = it->second;
  local.lastRead = aNow;
  const bool own =
    record.instance == mOptions.instance && record.incarnation == mOptions.incarnation;
  const auto sent = local.sent.find(record.sequence);
  if (!own || sent == local.sent.end()) {
    return;
  }
  if (record.applied == LeaseTable::Applied::Valid) {
    local.actUntil = std::max(local.actUntil, sent->second + mOptions.lease - mOptions.margin);
  }
  local.sent.erase(sent);
}

bool
LeaseHolder::isDomainLive(const FailureDomainId& aDomain) const
{
  return std::any_of(mCandidates.begin(), mCandidates.end(), [&](const Candidate& aCandidate) {
    return aCandidate.failureDomain == aDomain;
  });
}

void
LeaseHolder::setCandidates(std::vector<Candidate> aCandidates, TimePoint aNow)
{
  // A failure domain is without a live instance only from when the list no longer names one.
  for (auto& [key, local] : mLocal) {
    if (isDomainLive(key.failureDomain)) {
      local.domainLive = aNow;
    }
  }
  mCandidates = std::move(aCandidates);
}

void
LeaseHolder::setWilling(const LeaseKey& aKey, bool aWilling)
{
  if (const auto it = mLocal.find(aKey); it != mLocal.end()) {
    it->second.willing = aWilling;
  }
}

std::optional<std::size_t>
LeaseHolder::rank(const LeaseKey& aKey) const
{
  const bool anywhere = mOptions.failureDomain != aKey.failureDomain;
  const auto mine = weight(aKey, mOptions.instance);
  std::size_t rank = 0;
  bool listed = false;
  for (const auto& it : mCandidates) {
    listed = listed || it.instance == mOptions.instance;
    const bool counts = anywhere || it.failureDomain == aKey.failureDomain;
    rank += counts && weight(aKey, it.instance) > mine ? 1 : 0;
  }
  return listed ? std::optional(rank) : std::nullopt;
}

Duration
LeaseHolder::waitBeforeClaim(const LeaseKey& aKey) const
{
  const auto* lease = mTable.find(aKey);
  const bool foreign = mOptions.failureDomain != aKey.failureDomain;
  // Without any lease record a holder is only ruled out if the log was read from its beginning.
  const bool free = lease == nullptr ? mTable.start() == 0 : lease->released;
  return (free ? Duration{} : mOptions.lease) + (foreign ? mOptions.lease : Duration{});
}

bool
LeaseHolder::mayClaim(const LeaseKey& aKey, const Local& aLocal, TimePoint aNow) const
{
  const auto wait = waitBeforeClaim(aKey);
  const bool early = aNow - aLocal.lastRead < wait;
  if (early || !aLocal.willing || !mCaughtUp || aNow - *mCaughtUp > mOptions.maxReadAge) {
    return false;
  }
  if (mOptions.failureDomain != aKey.failureDomain &&
      (isDomainLive(aKey.failureDomain) || aNow - aLocal.domainLive < mOptions.lease)) {
    return false;
  }
  const auto order = rank(aKey);
  return order && aNow - aLocal.lastRead >= wait + mOptions.rankDelay * *order;
}

bool
LeaseHolder::maySend(const Local& aLocal, Duration aInterval, TimePoint aNow) const
{
  return !aLocal.lastSent || aNow - *aLocal.lastSent >= aInterval;
}

AppendRecord
LeaseHolder::send(const char* aKind, const LeaseKey& aKey, Local& aLocal, TimePoint aNow)
{
  nlohmann::json record{ { "v", config::kRecordVersion }, { "kind", aKind } };
  config::FieldWriter fields(record);
  fields.field("duty", aKey.duty, kDutyNames);
  fields.field("failure_domain", aKey.failureDomain);
  fields.field("instance", mOptions.instance);
  fields.field("incarnation", mOptions.incarnation);
  fields.field("sequence", ++mSequence);
  fields.field("seen", mTable.next());
  if (const auto* lease = mTable.find(aKey); lease != nullptr) {
    fields.field("fence", lease->fence);
  }
  aLocal.lastSent = aNow;
  aLocal.sent[mSequence] = aNow;
  if (aLocal.sent.size() > kMaxSent) {
    aLocal.sent.erase(aLocal.sent.begin());
  }
  return { record.dump() };
}

std::optional<AppendRecord>
LeaseHolder::step(const LeaseKey& aKey, Local& aLocal, TimePoint aNow)
{
  const auto* lease = mTable.find(aKey);
  const bool holds = lease != nullptr && isOwn(*lease) && !lease->released;
  if (mReleasing) {
    // A call sent before release() may still take effect, so the successor must not act yet.
    return holds && aNow - *mReleasing >= mOptions.margin &&
               maySend(aLocal, mOptions.renewInterval, aNow)
             ? std::optional(send("lease.release", aKey, aLocal, aNow))
             : std::nullopt;
  }
  if (holds && lease->certain) {
    return maySend(aLocal, mOptions.renewInterval, aNow)
             ? std::optional(send("lease.renew", aKey, aLocal, aNow))
             : std::nullopt;
  }
  if (maySend(aLocal, mOptions.claimRetry, aNow) && mayClaim(aKey, aLocal, aNow)) {
    return send("lease.claim", aKey, aLocal, aNow);
  }
  return std::nullopt;
}

std::vector<AppendRecord>
LeaseHolder::tick(TimePoint aNow)
{
  std::vector<AppendRecord> appends;
  for (auto& [key, local] : mLocal) {
    if (auto record = step(key, local, aNow)) {
      appends.push_back(std::move(*record));
    }
  }
  return appends;
}

std::vector<AppendRecord>
LeaseHolder::release(TimePoint aNow)
{
  mReleasing = aNow;
  for (auto& [key, local] : mLocal) {
    local.lastSent.reset();
  }
  return tick(aNow);
}

bool
LeaseHolder::isReleased() const
{
  return std::none_of(mLocal.begin(), mLocal.end(), [&](const auto& aItem) {
    const auto* lease = mTable.find(aItem.first);
    return lease != nullptr && isOwn(*lease) && !lease->released;
  });
}

std::optional<Offset>
LeaseHolder::mayAct(const LeaseKey& aKey, TimePoint aNow) const
{
  const auto* lease = mTable.find(aKey);
  if (!mOptions.leases) {
    return lease == nullptr ? 0 : lease->fence;
  }
  const auto local = mLocal.find(aKey);
  if (mReleasing || lease == nullptr || local == mLocal.end() || !isOwn(*lease) ||
      lease->released || !lease->certain) {
    return std::nullopt;
  }
  if (mOptions.expiry && aNow >= local->second.actUntil) {
    return std::nullopt;
  }
  return lease->fence;
}

TimePoint
LeaseHolder::actUntil(const LeaseKey& aKey) const
{
  if (!mOptions.leases || !mOptions.expiry) {
    return TimePoint::max();
  }
  const auto local = mLocal.find(aKey);
  return local == mLocal.end() ? TimePoint{} : local->second.actUntil;
}

}
