#include "mustardplank/agent/load_exchange.hpp"

#include "mustardplank/base/duration_from.hpp"

#include <algorithm>

namespace mustardplank::agent {

using dispatch::InstanceLoads;
using Recipient = WorkFactorRelay::Recipient;

namespace {

/// Changes within these times go into one datagram.
constexpr Duration kReportInterval = Millis(15);
constexpr Duration kDomainInterval = Millis(25);
constexpr Duration kTableInterval = Millis(40);
/// What has not changed is repeated this often, in case a datagram was lost.
constexpr Duration kRepeatInterval = Millis(300);
/// The loads of an instance or failure domain, and a table, count for this long after the last
/// message.
constexpr Duration kMemberMemory = Millis(1500);
constexpr Duration kDomainMemory = Millis(1500);
constexpr Duration kTableMemory = Millis(700);
/// Instances of a failure domain whose loads an agent keeps.
constexpr std::size_t kMaxMembers = 1024;
/// Reports that are kept to subtract them from tables.
constexpr std::size_t kMaxReported = 64;
/// Shares of the limit on bytes.
constexpr double kDomainShare = 0.25;
constexpr double kTableShare = 0.75;
/// Headers of IP and UDP.
constexpr std::size_t kHeaderBytes = 28;
/// Loads of servers and work factors in one datagram, at about 11 bytes each.
constexpr std::size_t kMaxItemsPerDatagram = 100;

void
add(InstanceLoads& aSum, const InstanceLoads& aLoads)
{
  for (const auto& [server, load] : aLoads) {
    aSum[server] += load;
  }
}

/// Leaves out servers without load; a difference of values of different age may be negative.
InstanceLoads
difference(InstanceLoads aSum, const InstanceLoads& aLoads)
{
  for (const auto& [server, load] : aLoads) {
    aSum[server] -= load;
  }
  for (auto& [server, load] : aSum) {
    load.running = std::max(0.0, load.running);
    load.pendingPrefillTokens = std::max(0.0, load.pendingPrefillTokens);
  }
  std::erase_if(aSum, [](const auto& aItem) {
    return aItem.second.running <= 0.0 && aItem.second.pendingPrefillTokens <= 0.0;
  });
  return aSum;
}

}

LoadExchange::LoadExchange(InstanceId aInstance,
                           FailureDomainId aDomain,
                           std::string aAddress,
                           std::uint64_t aIncarnation)
  : mInstance(std::move(aInstance))
  , mDomain(std::move(aDomain))
  , mAddress(std::move(aAddress))
  , mIncarnation(aIncarnation)
{
}

void
LoadExchange::setDirectory(const Directory& aDirectory)
{
  mDirectory = aDirectory;
  mOwnAgents.clear();
  mOtherAgents.clear();
  mSlot.reset();
  for (const auto& [domain, agents] : aDirectory.domains) {
    for (std::size_t slot = 0; slot < agents.size(); ++slot) {
      if (agents[slot].instance == mInstance) {
        mSlot = slot;
      } else {
        (domain == mDomain ? mOwnAgents : mOtherAgents).push_back(agents[slot]);
      }
    }
  }
}

void
LoadExchange::setOwnLoads(InstanceLoads aLoads)
{
  if (aLoads == mOwnLoads) {
    return;
  }
  mOwnLoads = std::move(aLoads);
  mOwnChanged = true;
  mDomainChanged = true;
  mTotalChanged = true;
}

void
LoadExchange::addOwnWorkFactors(const dispatch::WorkFactorReports& aReports, TimePoint aNow)
{
  for (const auto& [server, report] : aReports) {
    if (mSlot) {
      mWorkFactors.add(
        server, report, { Recipient::OwnAgents, Recipient::OtherAgents, Recipient::Members }, aNow);
    } else {
      mWorkFactors.add(server, report, { Recipient::OwnAgents }, aNow);
    }
  }
}

void
LoadExchange::addWorkFactors(const std::vector<AgedWorkFactor>& aReports,
                             std::initializer_list<Recipient> aRecipients,
                             TimePoint aNow)
{
  for (const auto& it : aReports) {
    mWorkFactors.add(it.server, { it.factor, aNow - it.age }, aRecipients, aNow);
  }
}

bool
LoadExchange::receive(const LoadMessage& aMessage, const std::string& aSender, TimePoint aNow)
{
  return std::visit(
    [&](const auto& aInner) {
      if (!mayAccept(aInner, aSender)) {
        return false;
      }
      apply(aInner, aNow);
      return true;
    },
    aMessage);
}

bool
LoadExchange::mayAccept(const LoadReport& aReport, const std::string& aSender) const
{
  return aReport.address == aSender &&
         (mMembers.contains(aReport.instance) || mMembers.size() < kMaxMembers);
}

bool
LoadExchange::mayAccept(const DomainLoads& aLoads, const std::string& aSender) const
{
  return mDirectory.names(aLoads.domain, aSender);
}

bool
LoadExchange::mayAccept(const LoadTable& /*aTable*/, const std::string& aSender) const
{
  return mDirectory.names(mDomain, aSender);
}

void
LoadExchange::apply(const LoadReport& aReport, TimePoint aNow)
{
  if (!mSlot) {
    return;
  }
  addWorkFactors(aReport.load.workFactors,
                 { Recipient::OtherAgents, Recipient::Members, Recipient::Dispatcher },
                 aNow);
  auto& member = mMembers[aReport.instance];
  if (member.incarnation == aReport.incarnation && aReport.sequence < member.sequence) {
    return;
  }
  if (member.incarnation != aReport.incarnation) {
    member.loads.clear();
  }
  auto loads = member.loads;
  mergePart(loads, aReport.load);
  const bool changed = loads != member.loads;
  member = { aReport.incarnation, aReport.sequence, aReport.address, std::move(loads), aNow };
  mDomainChanged = mDomainChanged || changed;
  mTotalChanged = mTotalChanged || changed;
}

void
LoadExchange::apply(const DomainLoads& aLoads, TimePoint aNow)
{
  if (!mSlot || aLoads.domain == mDomain) {
    return;
  }
  addWorkFactors(aLoads.load.workFactors, { Recipient::Members, Recipient::Dispatcher }, aNow);
  auto& remote = mRemoteDomains[aLoads.domain];
  auto loads = remote.loads;
  mergePart(loads, aLoads.load);
  mTotalChanged = mTotalChanged || loads != remote.loads;
  remote = { std::move(loads), aNow };
}

void
LoadExchange::apply(const LoadTable& aTable, TimePoint aNow)
{
  addWorkFactors(aTable.load.workFactors, { Recipient::Dispatcher }, aNow);
  mergePart(mTable, aTable.load);
  mTableReceivedAt = aNow;
  const auto own = std::find_if(mReported.begin(), mReported.end(), [&](const auto& aReported) {
    return aReported.first == aTable.sequence;
  });
  mOthersLoads = difference(mTable, own == mReported.end() ? InstanceLoads{} : own->second);
}

bool
LoadExchange::sendsTables(TimePoint aNow) const
{
  return mSlot && (*mSlot == 0 || !mTableReceivedAt || aNow - *mTableReceivedAt >= kTableMemory);
}

void
LoadExchange::expire(TimePoint aNow)
{
  const auto members = std::erase_if(
    mMembers, [&](const auto& aItem) { return aNow - aItem.second.receivedAt >= kMemberMemory; });
  const auto domains = std::erase_if(mRemoteDomains, [&](const auto& aItem) {
    return aNow - aItem.second.receivedAt >= kDomainMemory;
  });
  mDomainChanged = mDomainChanged || members > 0;
  mTotalChanged = mTotalChanged || members > 0 || domains > 0;
}

bool
LoadExchange::isReportChanged() const
{
  return mOwnChanged || mWorkFactors.hasNew(Recipient::OwnAgents);
}

bool
LoadExchange::isDomainChanged() const
{
  return mDomainChanged || mWorkFactors.hasNew(Recipient::OtherAgents);
}

bool
LoadExchange::isTotalChanged() const
{
  return mTotalChanged || mWorkFactors.hasNew(Recipient::Members);
}

InstanceLoads
LoadExchange::domainLoads() const
{
  auto sum = mOwnLoads;
  for (const auto& [instance, member] : mMembers) {
    add(sum, member.loads);
  }
  return sum;
}

void
LoadExchange::addReports(std::vector<Datagram>& aOut, TimePoint aNow)
{
  const bool due = aNow - mReportedAt >= (isReportChanged() ? kReportInterval : kRepeatInterval);
  if (!due) {
    return;
  }
  mOwnChanged = false;
  mReportedAt = aNow;
  mReported.emplace_back(++mSequence, mOwnLoads);
  if (mReported.size() > kMaxReported) {
    mReported.pop_front();
  }
  for (const auto& part : splitLoads(
         mOwnLoads, mWorkFactors.takeAged(Recipient::OwnAgents, aNow), kMaxItemsPerDatagram)) {
    const auto bytes =
      encodeLoadMessage(LoadReport{ mInstance, mIncarnation, mSequence, mAddress, part });
    for (const auto& it : mOwnAgents) {
      aOut.push_back({ it.address, bytes });
    }
  }
}

void
LoadExchange::addDomainLoads(std::vector<Datagram>& aOut, TimePoint aNow)
{
  const bool due = aNow - mDomainSentAt >= (isDomainChanged() ? mDomainInterval : kRepeatInterval);
  if (!due) {
    return;
  }
  mDomainChanged = false;
  mDomainSentAt = aNow;
  const auto first = aOut.size();
  for (const auto& part : splitLoads(domainLoads(),
                                     mWorkFactors.takeAged(Recipient::OtherAgents, aNow),
                                     kMaxItemsPerDatagram)) {
    const auto bytes = encodeLoadMessage(DomainLoads{ mDomain, part });
    for (const auto& it : mOtherAgents) {
      aOut.push_back({ it.address, bytes });
    }
  }
  mDomainInterval = pacedInterval(kDomainInterval, aOut, first, kDomainShare);
}

Duration
LoadExchange::pacedInterval(Duration aInterval,
                            const std::vector<Datagram>& aOut,
                            std::size_t aFirst,
                            double aShare) const
{
  if (!mByteRate) {
    return aInterval;
  }
  std::size_t bytes = 0;
  for (std::size_t i = aFirst; i < aOut.size(); ++i) {
    bytes += kHeaderBytes + aOut[i].bytes.size();
  }
  const double seconds = static_cast<double>(bytes) / (aShare * *mByteRate);
  return std::clamp(durationFromMicros(1e6 * seconds), aInterval, Duration(kRepeatInterval));
}

void
LoadExchange::addTables(std::vector<Datagram>& aOut, TimePoint aNow)
{
  const bool due = aNow - mTableSentAt >= (isTotalChanged() ? mTableInterval : kRepeatInterval);
  if (!due) {
    return;
  }
  mTotalChanged = false;
  mTableSentAt = aNow;
  const auto first = aOut.size();
  auto total = domainLoads();
  for (const auto& [domain, remote] : mRemoteDomains) {
    add(total, remote.loads);
  }
  mOthersLoads = difference(total, mOwnLoads);
  for (const auto& part :
       splitLoads(total, mWorkFactors.takeAged(Recipient::Members, aNow), kMaxItemsPerDatagram)) {
    for (const auto& [instance, member] : mMembers) {
      aOut.push_back(
        { member.address, encodeLoadMessage(LoadTable{ mInstance, member.sequence, part }) });
    }
  }
  mTableInterval = pacedInterval(kTableInterval, aOut, first, kTableShare);
}

std::vector<Datagram>
LoadExchange::takeDue(TimePoint aNow)
{
  std::vector<Datagram> out;
  mWorkFactors.expire(aNow);
  addReports(out, aNow);
  if (mSlot) {
    expire(aNow);
  }
  if (sendsTables(aNow)) {
    addDomainLoads(out, aNow);
    addTables(out, aNow);
  }
  return out;
}

TimePoint
LoadExchange::nextAt(TimePoint aNow) const
{
  const auto due = [](bool aChanged, TimePoint aLast, Duration aInterval) {
    return aLast + (aChanged ? aInterval : kRepeatInterval);
  };
  auto next = due(isReportChanged(), mReportedAt, kReportInterval);
  if (sendsTables(aNow)) {
    next = std::min(next, due(isDomainChanged(), mDomainSentAt, mDomainInterval));
    next = std::min(next, due(isTotalChanged(), mTableSentAt, mTableInterval));
  }
  return std::max(next, aNow);
}

std::vector<std::string>
LoadExchange::ownAgents() const
{
  std::vector<std::string> addresses;
  for (const auto& it : mOwnAgents) {
    addresses.push_back(it.address);
  }
  return addresses;
}

Neighbours
LoadExchange::neighbours() const
{
  Neighbours neighbours;
  neighbours.agents = ownAgents();
  if (!mSlot) {
    return neighbours;
  }
  for (const auto& it : mOtherAgents) {
    neighbours.agents.push_back(it.address);
  }
  for (const auto& [instance, member] : mMembers) {
    if (!isAgentAddress(member.address)) {
      neighbours.members.push_back(member.address);
    }
  }
  return neighbours;
}

bool
LoadExchange::isAgentAddress(const std::string& aAddress) const
{
  const auto hasAddress = [&](const Agent& aAgent) { return aAgent.address == aAddress; };
  return std::any_of(mOwnAgents.begin(), mOwnAgents.end(), hasAddress) ||
         std::any_of(mOtherAgents.begin(), mOtherAgents.end(), hasAddress);
}

bool
LoadExchange::isNeighbour(const std::string& aAddress) const
{
  return isAgentAddress(aAddress) ||
         std::any_of(mMembers.begin(), mMembers.end(), [&](const auto& aItem) {
           return aItem.second.address == aAddress;
         });
}

std::optional<InstanceLoads>
LoadExchange::takeOthersLoads()
{
  return std::exchange(mOthersLoads, std::nullopt);
}

dispatch::WorkFactorReports
LoadExchange::takeOthersWorkFactors()
{
  return mWorkFactors.take(Recipient::Dispatcher);
}

}
