#include "mustardplank/lease/lease_table.hpp"

#include "mustardplank/config/fields.hpp"

namespace mustardplank::lease {

using config::FieldReader;
using config::RecordKind;

namespace {

bool
isLeaseRecord(std::optional<RecordKind> aKind)
{
  return aKind == RecordKind::LeaseClaim || aKind == RecordKind::LeaseRenew ||
         aKind == RecordKind::LeaseRelease;
}

/// The record, or nothing if a field is wrong; aSeen is set for claims only.
std::optional<LeaseTable::Record>
read(const nlohmann::json& aRecord, Offset& aSeen)
{
  LeaseTable::Record record;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("duty", record.key.duty, kDutyNames);
  fields.field("failure_domain", record.key.failureDomain);
  fields.field("instance", record.instance);
  fields.field("incarnation", record.incarnation);
  fields.field("sequence", record.sequence);
  fields.field("fence", record.fence);
  fields.field("seen", aSeen);
  return findings.empty() ? std::optional(record) : std::nullopt;
}

}

LeaseTable::Record
LeaseTable::apply(const LogEntry& aEntry)
{
  if (mStarted && aEntry.offset < mNext) {
    return {};
  }
  if (!mStarted || aEntry.offset > mNext) {
    startAt(aEntry.offset);
  }
  mNext = aEntry.offset + 1;
  const auto kind = config::readableKind(*aEntry.record);
  if (!isLeaseRecord(kind)) {
    return {};
  }
  Offset seen = 0;
  auto record = read(*aEntry.record, seen);
  if (!record) {
    return {};
  }
  if (kind == RecordKind::LeaseClaim) {
    record->fence = aEntry.offset;
    record->applied = applyClaim(*record, aEntry.offset, seen);
  } else if (kind == RecordKind::LeaseRenew) {
    record->applied = applyRenewal(*record, seen);
  } else {
    record->applied = applyRelease(*record);
  }
  mLatest[record->key] = aEntry.offset;
  return *record;
}

void
LeaseTable::startAt(Offset aOffset)
{
  mStart = aOffset;
  mStarted = true;
  // The entries missed may hold newer claims.
  for (auto& [key, lease] : mLeases) {
    lease.certain = false;
  }
}

LeaseTable::Applied
LeaseTable::applyClaim(const Record& aRecord, Offset aOffset, Offset aSeen)
{
  const auto latest = mLatest.find(aRecord.key);
  if (mCheckSeen && latest != mLatest.end() && latest->second >= aSeen) {
    return Applied::Void;
  }
  const bool certain = aSeen >= mStart;
  mLeases[aRecord.key] = {
    aOffset, aRecord.instance, aRecord.incarnation, false, certain, certain
  };
  return Applied::Valid;
}

bool
LeaseTable::isNewerThan(const Lease& aLease, const Record& aRenewal, Offset aSeen) const
{
  // A sender that has read an unproven claim and still renews its own lease shows that the claim
  // lost. Otherwise fencing tokens only rise, as a renewal may arrive long after its lease ended.
  return aLease.proven ? aRenewal.fence > aLease.fence : aSeen > aLease.fence;
}

LeaseTable::Applied
LeaseTable::applyRenewal(const Record& aRecord, Offset aSeen)
{
  const auto it = mLeases.find(aRecord.key);
  if (it != mLeases.end() && it->second.fence == aRecord.fence) {
    it->second.proven = true;
    return it->second.released ? Applied::Void : Applied::Valid;
  }
  // Only a holder that has verified its claim renews. A claim from before the entries read here is
  // therefore taken from its renewal, unless a newer one is known.
  const bool unseenClaim = aRecord.fence < mStart;
  if (!unseenClaim || (it != mLeases.end() && !isNewerThan(it->second, aRecord, aSeen))) {
    return Applied::Void;
  }
  mLeases[aRecord.key] = {
    aRecord.fence, aRecord.instance, aRecord.incarnation, false, false, true
  };
  return Applied::Valid;
}

LeaseTable::Applied
LeaseTable::applyRelease(const Record& aRecord)
{
  const auto it = mLeases.find(aRecord.key);
  if (it == mLeases.end() || it->second.fence != aRecord.fence) {
    return Applied::Void;
  }
  it->second.released = true;
  return Applied::Valid;
}

const Lease*
LeaseTable::find(const LeaseKey& aKey) const
{
  const auto it = mLeases.find(aKey);
  return it == mLeases.end() ? nullptr : &it->second;
}

bool
LeaseTable::isCurrent(const LeaseKey& aKey, Offset aFence) const
{
  const auto* lease = find(aKey);
  return lease != nullptr && lease->fence == aFence && !lease->released;
}

}
