#include "mustardplank/agent/held_parts_exchange.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::agent {

using dispatch::HeldParts;
using dispatch::PartKey;
using dispatch::ServerKey;

namespace {

/// Headers of IP and UDP.
constexpr std::size_t kHeaderBytes = 28;
/// Time whose share of the limit may be saved up.
constexpr Duration kBurstTime = Millis(200);

}

HeldPartsExchange::HeldPartsExchange(FailureDomainId aDomain, std::uint64_t aIncarnation)
  : mDomain(std::move(aDomain))
  , mNextEpoch(aIncarnation)
{
}

void
HeldPartsExchange::setActive(bool aActive, TimePoint aNow)
{
  if (aActive == mActive) {
    return;
  }
  mActive = aActive;
  mPending.clear();
  mForwarded.clear();
  auto& domain = mDomains[mDomain];
  clear(domain);
  if (aActive) {
    domain.epoch = mNextEpoch++;
    domain.sequence = 0;
    domain.heardAt = aNow;
  }
}

void
HeldPartsExchange::clear(Domain& aDomain)
{
  mTableChanged = mTableChanged || !aDomain.servers.empty();
  aDomain = {};
}

void
HeldPartsExchange::reset(ServerKey aServer, bool aComplete, TimePoint aNow)
{
  if (!mActive) {
    return;
  }
  using Kind = ServerPartsChange::Kind;
  auto& held = mDomains[mDomain].servers[aServer];
  if (!held) {
    held = std::make_shared<HeldParts>();
    mTableChanged = true;
  }
  held->clear(aComplete);
  held->confirm(aNow);
  mPending[aServer] = { aComplete ? Kind::Replaced : Kind::ReplacedPartly, {} };
}

void
HeldPartsExchange::setHeld(ServerKey aServer, PartKey aPart, bool aHeld, TimePoint aNow)
{
  auto& servers = mDomains[mDomain].servers;
  const auto it = servers.find(aServer);
  if (!mActive || it == servers.end()) {
    return;
  }
  it->second->confirm(aNow);
  if (it->second->holds(aPart) == aHeld || (aHeld && it->second->parts().size() >= kMaxParts)) {
    return;
  }
  if (aHeld) {
    addPart(*it->second, aPart);
    if (!it->second->holds(aPart)) {
      return;
    }
  } else {
    it->second->remove(aPart);
  }
  // A change that is taken back before it was sent is none.
  auto& pending = mPending[aServer];
  if (const auto [entry, isNew] = pending.held.try_emplace(aPart, aHeld); !isNew) {
    pending.held.erase(entry);
    if (pending.held.empty() && pending.kind == ServerPartsChange::Kind::Changed) {
      mPending.erase(aServer);
    }
  }
}

void
HeldPartsExchange::addPart(HeldParts& aHeld, PartKey aPart)
{
  if (aHeld.parts().size() >= kMaxParts) {
    return;
  }
  if (mPartsAtMost >= mMaxTotalParts) {
    mPartsAtMost = countAllParts();
  }
  if (mPartsAtMost >= mMaxTotalParts) {
    forgetLargest();
    mPartsAtMost = countAllParts();
  }
  aHeld.add(aPart);
  ++mPartsAtMost;
}

void
HeldPartsExchange::forgetLargest()
{
  std::pair<ServerKey, HeldParts*> largest{};
  const FailureDomainId* domainOfLargest = nullptr;
  for (auto& [id, domain] : mDomains) {
    for (auto& [server, held] : domain.servers) {
      if (!largest.second || held->parts().size() > largest.second->parts().size()) {
        largest = { server, held.get() };
        domainOfLargest = &id;
      }
    }
  }
  if (!largest.second) {
    return;
  }
  largest.second->clear(false);
  if (mActive && *domainOfLargest == mDomain) {
    mPending[largest.first] = { ServerPartsChange::Kind::ReplacedPartly, {} };
  }
}

std::size_t
HeldPartsExchange::countAllParts() const
{
  std::size_t n = 0;
  for (const auto& [id, domain] : mDomains) {
    for (const auto& [server, held] : domain.servers) {
      n += held->parts().size();
    }
  }
  return n;
}

void
HeldPartsExchange::confirm(ServerKey aServer, TimePoint aNow)
{
  auto& servers = mDomains[mDomain].servers;
  const auto it = servers.find(aServer);
  if (mActive && it != servers.end()) {
    it->second->confirm(aNow);
  }
}

void
HeldPartsExchange::drop(ServerKey aServer, TimePoint /*aNow*/)
{
  if (mActive && mDomains[mDomain].servers.erase(aServer) > 0) {
    mTableChanged = true;
    mPending[aServer] = { ServerPartsChange::Kind::Dropped, {} };
  }
}

bool
HeldPartsExchange::receive(const HeldPartsMessage& aMessage,
                           const std::string& aSender,
                           bool aSenderIsAgent,
                           TimePoint aNow)
{
  if (!aSenderIsAgent && !std::holds_alternative<PartsRequest>(aMessage)) {
    return false;
  }
  return std::visit([&](const auto& aInner) { return receive(aInner, aSender, aNow); }, aMessage);
}

HeldPartsExchange::Domain*
HeldPartsExchange::accept(const PartsPosition& aAt, TimePoint aNow)
{
  if (mActive && aAt.domain == mDomain) {
    return nullptr;
  }
  if (!mDomains.contains(aAt.domain) && mDomains.size() >= kMaxDomains) {
    return nullptr;
  }
  auto& domain = mDomains[aAt.domain];
  if (domain.epoch != aAt.epoch) {
    if (domain.heardAt && aNow - *domain.heardAt < kSourceMemory) {
      return nullptr;
    }
    clear(domain);
    domain.epoch = aAt.epoch;
  }
  domain.heardAt = aNow;
  return &domain;
}

bool
HeldPartsExchange::receive(const PartsChanges& aMessage, const std::string& aSender, TimePoint aNow)
{
  auto* domain = accept(aMessage.at, aNow);
  if (!domain) {
    return false;
  }
  const auto sequence = aMessage.at.sequence;
  const bool repeats = aMessage.changes.empty();
  if (sequence < domain->sequence || (sequence == domain->sequence && !repeats)) {
    return false;
  }
  if (repeats && sequence == domain->sequence) {
    confirmAll(*domain, aNow);
    if (mActive) {
      mForwarded.push_back(encodeHeldPartsMessage(aMessage));
    }
    return true;
  }
  if (!repeats && sequence == domain->sequence + 1) {
    applyNext(aMessage.at.domain, *domain, aMessage);
    applyEarly(aMessage.at.domain, *domain, aNow);
    return true;
  }
  if (!repeats && domain->early.size() < kMaxEarlyMessages) {
    domain->early.insert_or_assign(sequence, aMessage);
  }
  noteGap(*domain, aSender, aNow);
  return true;
}

bool
HeldPartsExchange::receive(const PartsPage& aMessage, const std::string& aSender, TimePoint aNow)
{
  auto* domain = accept(aMessage.at, aNow);
  if (!domain || aMessage.at.sequence < domain->snapshotSequence ||
      aMessage.at.sequence <= domain->sequence || aMessage.pages > kMaxPages) {
    return false;
  }
  if (aMessage.at.sequence > domain->snapshotSequence) {
    domain->pages.clear();
    domain->snapshotSequence = aMessage.at.sequence;
  }
  domain->pages.insert_or_assign(aMessage.page, aMessage);
  // Further pages may be on the way.
  domain->request = { aSender, aNow + kRequestInterval };
  if (domain->pages.size() < aMessage.pages) {
    return true;
  }
  mTableChanged = true;
  domain->servers.clear();
  domain->recent.clear();
  for (const auto& [number, page] : domain->pages) {
    apply(*domain, page.servers);
  }
  domain->sequence = aMessage.at.sequence;
  domain->pages.clear();
  applyEarly(aMessage.at.domain, *domain, aNow);
  return true;
}

bool
HeldPartsExchange::receive(const PartsRequest& aMessage,
                           const std::string& aSender,
                           TimePoint /*aNow*/)
{
  const auto it = mDomains.find(aMessage.at.domain);
  const bool isWaiting = std::any_of(mReplies.begin(), mReplies.end(), [&](const auto& aReply) {
    return aReply.address == aSender;
  });
  if (it == mDomains.end() || isWaiting || mReplies.size() >= kMaxWaitingPages) {
    return false;
  }
  const auto& domain = it->second;
  const bool sameEpoch = aMessage.at.epoch == domain.epoch;
  if (sameEpoch && aMessage.at.sequence >= domain.sequence) {
    return false;
  }
  if (sameEpoch && !domain.recent.empty() &&
      domain.recent.front().first <= aMessage.at.sequence + 1) {
    for (const auto& [sequence, bytes] : domain.recent) {
      if (sequence > aMessage.at.sequence) {
        mReplies.push_back({ aSender, bytes });
      }
    }
    return true;
  }
  for (const auto& page : snapshotOf(aMessage.at.domain, domain)) {
    mReplies.push_back({ aSender, encodeHeldPartsMessage(page) });
  }
  return true;
}

void
HeldPartsExchange::apply(Domain& aDomain, const std::vector<ServerPartsChange>& aChanges)
{
  using Kind = ServerPartsChange::Kind;
  for (const auto& it : aChanges) {
    if (it.kind == Kind::Dropped) {
      mTableChanged = aDomain.servers.erase(it.server) > 0 || mTableChanged;
      continue;
    }
    const auto known = aDomain.servers.find(it.server);
    if (known == aDomain.servers.end() &&
        (it.kind == Kind::Changed || aDomain.servers.size() >= kMaxServers)) {
      continue;
    }
    auto& held = aDomain.servers[it.server];
    if (!held) {
      held = std::make_shared<HeldParts>();
      mTableChanged = true;
    }
    if (it.kind != Kind::Changed) {
      held->clear(it.kind == Kind::Replaced);
    }
    for (const auto part : it.removed) {
      held->remove(part);
    }
    for (const auto part : it.added) {
      if (!held->holds(part)) {
        addPart(*held, part);
      }
    }
  }
}

void
HeldPartsExchange::applyNext(const FailureDomainId& aId,
                             Domain& aDomain,
                             const PartsChanges& aMessage)
{
  apply(aDomain, aMessage.changes);
  aDomain.sequence = aMessage.at.sequence;
  auto bytes = encodeHeldPartsMessage(aMessage);
  if (mActive && aId != mDomain) {
    mForwarded.push_back(bytes);
  }
  keepRecent(aDomain, aMessage.at.sequence, std::move(bytes));
}

void
HeldPartsExchange::applyEarly(const FailureDomainId& aId, Domain& aDomain, TimePoint aNow)
{
  while (!aDomain.early.empty() && aDomain.early.begin()->first <= aDomain.sequence + 1) {
    const auto next = aDomain.early.extract(aDomain.early.begin());
    if (next.key() == aDomain.sequence + 1) {
      applyNext(aId, aDomain, next.mapped());
    }
  }
  if (aDomain.early.empty()) {
    aDomain.request.reset();
  }
  confirmAll(aDomain, aNow);
}

void
HeldPartsExchange::confirmAll(Domain& aDomain, TimePoint aNow)
{
  for (const auto& [server, held] : aDomain.servers) {
    held->confirm(aNow);
  }
}

void
HeldPartsExchange::noteGap(Domain& aDomain, const std::string& aSender, TimePoint aNow)
{
  if (!aDomain.request) {
    aDomain.request = { aSender,
                        std::max(aNow + kGapPause, aDomain.requestedAt + kRequestInterval) };
  }
  aDomain.request->first = aSender;
}

void
HeldPartsExchange::keepRecent(Domain& aDomain, std::uint64_t aSequence, std::string aBytes)
{
  aDomain.recent.emplace_back(aSequence, std::move(aBytes));
  if (aDomain.recent.size() > kMaxRecentMessages) {
    aDomain.recent.pop_front();
  }
}

std::vector<PartsPage>
HeldPartsExchange::snapshotOf(const FailureDomainId& aId, const Domain& aDomain)
{
  using Kind = ServerPartsChange::Kind;
  constexpr std::size_t kPartsPerRow = 200;
  std::vector<PartsPage> pages;
  std::size_t bytes = kMaxContentBytes;
  const auto addRow = [&](ServerPartsChange aRow) {
    const auto size = encodedBytes(aRow);
    if (bytes + size > kMaxContentBytes) {
      pages.push_back({ { aId, aDomain.epoch, aDomain.sequence }, 0, 1, {} });
      bytes = 0;
    }
    bytes += size;
    pages.back().servers.push_back(std::move(aRow));
  };
  for (const auto& [server, held] : aDomain.servers) {
    ServerPartsChange row{
      server, held->isComplete() ? Kind::Replaced : Kind::ReplacedPartly, {}, {}
    };
    for (const auto part : held->parts()) {
      row.added.push_back(part);
      if (row.added.size() == kPartsPerRow) {
        addRow(std::exchange(row, { server, Kind::Changed, {}, {} }));
      }
    }
    if (row.kind != Kind::Changed || !row.added.empty()) {
      addRow(std::move(row));
    }
  }
  if (pages.empty()) {
    pages.push_back({ { aId, aDomain.epoch, aDomain.sequence }, 0, 1, {} });
  }
  for (std::size_t i = 0; i < pages.size(); ++i) {
    pages[i].page = static_cast<std::uint32_t>(i);
    pages[i].pages = static_cast<std::uint32_t>(pages.size());
  }
  return pages;
}

void
HeldPartsExchange::refill(TimePoint aNow)
{
  if (mByteRate) {
    const double burst = *mByteRate * toMillis(kBurstTime) / 1000.0;
    mBytesLeft = std::min(burst, mBytesLeft + *mByteRate * toMillis(aNow - mRefilledAt) / 1000.0);
  }
  mRefilledAt = aNow;
}

TimePoint
HeldPartsExchange::nextSendAt(TimePoint aNow) const
{
  if (!mByteRate || mBytesLeft >= 0.0) {
    return aNow;
  }
  return mRefilledAt + Millis(1) +
         Duration(static_cast<std::int64_t>(1e6 * -mBytesLeft / *mByteRate));
}

void
HeldPartsExchange::add(std::vector<Datagram>& aOut, Datagram aDatagram)
{
  mBytesLeft -= mByteRate ? static_cast<double>(kHeaderBytes + aDatagram.bytes.size()) : 0.0;
  aOut.push_back(std::move(aDatagram));
}

std::vector<ServerPartsChange>
HeldPartsExchange::takePending()
{
  std::vector<ServerPartsChange> changes;
  std::size_t bytes = 0;
  while (!mPending.empty() && bytes < kMaxContentBytes) {
    auto it = mPending.begin();
    ServerPartsChange change{ it->first, it->second.kind, {}, {} };
    bytes += encodedBytes(change);
    auto& held = it->second.held;
    while (!held.empty() && bytes < kMaxContentBytes) {
      const auto [part, isHeld] = *held.begin();
      (isHeld ? change.added : change.removed).push_back(part);
      held.erase(held.begin());
      bytes += sizeof part + 1;
    }
    changes.push_back(std::move(change));
    if (held.empty()) {
      mPending.erase(it);
    } else {
      it->second.kind = ServerPartsChange::Kind::Changed;
    }
  }
  return changes;
}

void
HeldPartsExchange::addChanges(std::vector<Datagram>& aOut,
                              const Neighbours& aNeighbours,
                              TimePoint aNow)
{
  if (!mActive) {
    return;
  }
  auto& domain = mDomains[mDomain];
  const bool repeats = mPending.empty();
  if (aNow - mSentAt < (repeats ? kRepeatInterval : kSendInterval) ||
      (repeats && domain.servers.empty())) {
    return;
  }
  mSentAt = aNow;
  do {
    PartsChanges message{ { mDomain, domain.epoch, domain.sequence }, takePending() };
    if (!message.changes.empty()) {
      message.at.sequence = ++domain.sequence;
    }
    const auto bytes = encodeHeldPartsMessage(message);
    if (!message.changes.empty()) {
      keepRecent(domain, domain.sequence, bytes);
    }
    for (const auto& it : aNeighbours.agents) {
      add(aOut, { it, bytes });
    }
    for (const auto& it : aNeighbours.members) {
      add(aOut, { it, bytes });
    }
  } while (!mPending.empty() && (!mByteRate || mBytesLeft >= 0.0));
}

void
HeldPartsExchange::addForwarded(std::vector<Datagram>& aOut, const Neighbours& aNeighbours)
{
  while (!mForwarded.empty() && (!mByteRate || mBytesLeft >= 0.0)) {
    for (const auto& it : aNeighbours.members) {
      add(aOut, { it, mForwarded.front() });
    }
    mForwarded.pop_front();
  }
  // On a slow link receivers ask for what they have missed.
  while (mForwarded.size() > kMaxRecentMessages) {
    mForwarded.pop_front();
  }
}

void
HeldPartsExchange::addRequests(std::vector<Datagram>& aOut, TimePoint aNow)
{
  for (auto& [id, domain] : mDomains) {
    if (!domain.request || domain.request->second > aNow) {
      continue;
    }
    const PartsRequest request{ { id, domain.epoch, domain.sequence } };
    add(aOut, { domain.request->first, encodeHeldPartsMessage(request) });
    domain.requestedAt = aNow;
    domain.request.reset();
  }
}

void
HeldPartsExchange::addReplies(std::vector<Datagram>& aOut, TimePoint aNow)
{
  if (aNow < mNextReplyAt) {
    return;
  }
  for (std::size_t n = 0;
       n < kMaxRepliesAtOnce && !mReplies.empty() && (!mByteRate || mBytesLeft >= 0.0);
       ++n) {
    add(aOut, std::move(mReplies.front()));
    mReplies.pop_front();
    mNextReplyAt = aNow + kReplyPause;
  }
}

std::vector<Datagram>
HeldPartsExchange::takeDue(const Neighbours& aNeighbours, TimePoint aNow)
{
  std::vector<Datagram> out;
  refill(aNow);
  addRequests(out, aNow);
  if (!mByteRate || mBytesLeft >= 0.0) {
    addChanges(out, aNeighbours, aNow);
  }
  addForwarded(out, aNeighbours);
  addReplies(out, aNow);
  return out;
}

std::optional<TimePoint>
HeldPartsExchange::nextAt(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  const auto consider = [&](TimePoint aAt) { next = std::min(next.value_or(aAt), aAt); };
  if (mActive) {
    const auto own = mDomains.find(mDomain);
    if (!mPending.empty()) {
      consider(std::max(mSentAt + kSendInterval, nextSendAt(aNow)));
    } else if (own != mDomains.end() && !own->second.servers.empty()) {
      consider(std::max(mSentAt + kRepeatInterval, nextSendAt(aNow)));
    }
  }
  if (!mForwarded.empty()) {
    consider(nextSendAt(aNow));
  }
  if (!mReplies.empty()) {
    consider(std::max(mNextReplyAt, nextSendAt(aNow)));
  }
  for (const auto& [id, domain] : mDomains) {
    if (domain.request) {
      consider(domain.request->second);
    }
  }
  return next;
}

std::optional<dispatch::HeldPartsTable>
HeldPartsExchange::takeTable()
{
  if (!std::exchange(mTableChanged, false)) {
    return std::nullopt;
  }
  dispatch::HeldPartsTable table;
  for (const auto& [id, domain] : mDomains) {
    for (const auto& [server, held] : domain.servers) {
      table[server] = held;
    }
  }
  return table;
}

std::size_t
HeldPartsExchange::countKnown(TimePoint aNow) const
{
  std::size_t n = 0;
  for (const auto& [id, domain] : mDomains) {
    for (const auto& [server, held] : domain.servers) {
      n += held->isFresh(aNow) ? 1 : 0;
    }
  }
  return n;
}

std::size_t
HeldPartsExchange::countParts(TimePoint aNow) const
{
  std::size_t n = 0;
  for (const auto& [id, domain] : mDomains) {
    for (const auto& [server, held] : domain.servers) {
      n += held->isFresh(aNow) ? held->parts().size() : 0;
    }
  }
  return n;
}

std::size_t
HeldPartsExchange::countPending() const
{
  std::size_t n = 0;
  for (const auto& [server, pending] : mPending) {
    n += pending.held.size();
  }
  return n;
}

}
