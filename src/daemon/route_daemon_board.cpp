#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/settings/parse.hpp"

#include <charconv>

namespace mustardplank::daemon {

namespace {

/// Instances beyond this place try together: with many of them the last would wait too long.
constexpr std::size_t kMostRank = 7;
/// Part of a usage window's figures that may be lost when an instance is killed; sets how often the
/// instances tell theirs.
constexpr double kUsageAtRisk = 0.04;
constexpr Duration kLeastTellInterval = Millis(1000);
constexpr Duration kMostTellInterval = Millis(2500);
/// An instance with nothing to tell says that it lives.
constexpr Duration kBoardIdle = Millis(2500);
/// How often the board is read by the holder of the duties, and by the others.
constexpr Duration kHolderReadInterval = Millis(1000);
constexpr Duration kBoardReadInterval = Millis(3000);
constexpr Duration kBoardStep = Millis(250);
/// How often an entry that the store refuses is given to another instance.
constexpr Duration kPassOnInterval = Millis(1000);
/// An append at the other instance and the way there and back.
constexpr Duration kPassOnTimeout = Millis(800);
/// Other instances of which nothing was read for this long are not asked to relay. Longer than the
/// times for which the store turns single instances away, in which this one reads no updates.
constexpr Duration kRelayMemory = Seconds(15);
/// How often the shared clock is compared with that of other instances, and with how many of them.
constexpr Duration kClockInterval = Seconds(5);
constexpr Duration kFirstClockInterval = Millis(100);
constexpr std::size_t kClockPeers = 3;
constexpr Duration kClockTimeout = Millis(400);
/// Entries of other instances that are kept for the return of the store.
constexpr std::size_t kMaxHeldEntries = 64;

}

control::InstanceUpdate
RouteDaemon::Impl::makeEntry()
{
  control::InstanceUpdate entry;
  entry.instance = settings.instance;
  entry.domain = settings.failureDomain;
  entry.incarnation = incarnation;
  entry.sequence = ++updateCount;
  entry.countedToMs = clock.now(bootNow());
  entry.leaving = draining;
  entry.relayAddress = settings.admin.text();
  if (lease.holdsDuties()) {
    entry.claimsLogEnd = lease.logEnd();
  }
  entry.windows = usage.takeUnpublished();
  entry.crashes = std::exchange(crashes, {});
  entry.needs = dispatcher.takeDemands(bootNow());
  return entry;
}

void
RouteDaemon::Impl::applyEntry(const control::Record& aRecord)
{
  Findings findings;
  const auto entry = control::decodeUpdate(aRecord.value.value_or(std::string()), findings);
  if (!entry) {
    LogEvent(LogLevel::Warning, "board.entry_ignored")
      .field("offset", aRecord.offset)
      .field("detail", findings.text())
      .write();
    return;
  }
  const auto now = bootNow();
  usage.apply(*entry, now);
  if (entry->instance != settings.instance) {
    relays[entry->instance] = { now, entry->leaving ? std::string() : entry->relayAddress };
  }
  needs[entry->instance] = { now, entry->needs };
  noteHolder(*entry, now);
  for (const auto& it : entry->crashes) {
    dispatcher.reportCrash(it, now);
  }
}

void
RouteDaemon::Impl::noteHolder(const control::InstanceUpdate& aEntry, TimePoint aNow)
{
  if (aEntry.instance == settings.instance || !aEntry.claimsLogEnd) {
    return;
  }
  // The update may be old, but its age is known to no clock: counted as new, it delays a claim and
  // never allows one too early.
  if (aEntry.leaving) {
    lease.observeRelease(*aEntry.claimsLogEnd, aNow);
  } else {
    lease.observeEnd(*aEntry.claimsLogEnd, aNow);
  }
}

void
RouteDaemon::Impl::countInstances()
{
  auto live = usage.liveInstances(bootNow());
  live[settings.instance] = settings.failureDomain;
  lease.setRank(std::min(rankAmong(live), kMostRank));
  // Those that are cut off from the store send requests too: shares follow the largest number
  // seen lately.
  const auto now = bootNow();
  if (live.size() >= mostInstances || now - mostInstancesAt > kInstanceMemory) {
    mostInstances = live.size();
    mostInstancesAt = now;
  }
  dispatcher.setInstanceCount(mostInstances);
  if (table) {
    for (const auto& [id, service] : table->config().services) {
      dispatcher.setDemand(id, needOf(id));
    }
  }
  metrics.set(metrics::Gauge::LiveInstances, static_cast<double>(live.size()));
}

std::size_t
RouteDaemon::Impl::rankAmong(const std::map<InstanceId, FailureDomainId>& aLive) const
{
  const auto own = stableHash(settings.instance.str());
  std::size_t rank = 0;
  for (const auto& [id, domain] : aLive) {
    rank += stableHash(id.str()) < own ? 1 : 0;
  }
  return rank;
}

Duration
RouteDaemon::Impl::tellInterval() const
{
  const double window = static_cast<double>(settings.bounds.usageWindow.count());
  const Duration interval(static_cast<std::int64_t>(
    kUsageAtRisk * window * static_cast<double>(std::max<std::size_t>(mostInstances, 1))));
  return std::clamp(interval, kLeastTellInterval, kMostTellInterval);
}

awaitable<void>
RouteDaemon::Impl::boardLoop()
{
  auto store = client();
  RetryPause retryPause(kRetryPause, kMostRetryPause);
  control::Offset next = 0;
  TimePoint lastTold{};
  TimePoint lastRead{};
  for (;;) {
    const auto now = bootNow();
    const bool news = usage.hasUnpublished() || !crashes.empty();
    if (boardDue || (news && now - lastTold >= tellInterval()) || now - lastTold >= kBoardIdle) {
      boardDue = false;
      const bool told = co_await tell(store);
      if (!told) {
        co_await pauseFor(retryPause.next());
        continue;
      }
      retryPause.reset();
      lastTold = now;
    }
    const auto interval = lease.holdsDuties() ? kHolderReadInterval : kBoardReadInterval;
    if (now - lastRead >= interval) {
      co_await readBoard(store, next);
      lastRead = now;
    }
    co_await pauseFor(kBoardStep);
  }
}

awaitable<bool>
RouteDaemon::Impl::tell(StoreClient& aStore)
{
  auto entry = makeEntry();
  const auto text = control::encodeUpdate(entry);
  std::vector<control::Record> records{ { 0, {}, text } };
  auto held = std::exchange(heldEntries, {});
  for (auto& [id, bytes] : held) {
    records.push_back({ 0, {}, bytes });
  }
  const auto result = co_await aStore.append(Topic::InstanceUpdates, records, std::nullopt);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    // Entries that came meanwhile are newer.
    heldEntries.merge(held);
    const bool passedOn = co_await tellThroughOther(text);
    if (passedOn) {
      co_return true;
    }
    usage.markUnpublished(entry.windows);
    crashes.insert(crashes.end(), entry.crashes.begin(), entry.crashes.end());
    storeBoard.failed(failure->message);
    co_return false;
  }
  storeBoard.succeeded();
  co_return true;
}

std::optional<settings::Address>
RouteDaemon::Impl::otherInstance()
{
  std::vector<std::string> addresses;
  for (const auto& [id, relay] : relays) {
    if (!relay.address.empty() && relay.receivedAt + kRelayMemory >= bootNow()) {
      addresses.push_back(relay.address);
    }
  }
  if (addresses.empty()) {
    return std::nullopt;
  }
  return settings::parseAddress(addresses[random() % addresses.size()]);
}

awaitable<bool>
RouteDaemon::Impl::tellThroughOther(const std::string& aEntry)
{
  const auto now = bootNow();
  const auto other = now < nextPassOn ? std::nullopt : otherInstance();
  if (!other) {
    co_return false;
  }
  nextPassOn = now + kPassOnInterval;
  platform::HttpClient exchange(endpointOf(*other));
  platform::HttpRequest call;
  call.post = true;
  call.target = gateway::GatewayOptions{}.boardPath;
  call.body = aEntry;
  call.contentType = "application/cbor";
  call.timeout = kPassOnTimeout;
  const auto answer = co_await exchange.send(std::move(call));
  const auto* got = std::get_if<control::HttpResponse>(&answer);
  const bool written = got && got->status == 200;
  if (written) {
    metrics.count(metrics::Event::EntryPassedOn);
  }
  LogEvent(LogLevel::Info, "board.passed_on")
    .field("to", other->text())
    .field("written", static_cast<int>(written))
    .write();
  co_return written;
}

awaitable<void>
RouteDaemon::Impl::writeFor(std::string aEntry, std::function<void(bool)> aDone)
{
  Findings findings;
  const auto entry = control::decodeUpdate(aEntry, findings);
  if (!entry) {
    LogEvent(LogLevel::Warning, "board.entry_refused").field("detail", findings.text()).write();
    aDone(false);
    co_return;
  }
  bool written = false;
  // While the store is lost here too, the entry is kept: its sender may end before the store
  // returns.
  if (!storeBoard.isLost()) {
    auto store = client();
    std::vector<control::Record> records{ { 0, {}, aEntry } };
    const auto result = co_await store.append(Topic::InstanceUpdates, records, std::nullopt);
    written = std::holds_alternative<control::AppendResult>(result);
  }
  if (!written && (heldEntries.size() < kMaxHeldEntries || heldEntries.contains(entry->instance))) {
    heldEntries.insert_or_assign(entry->instance, std::move(aEntry));
  }
  aDone(written);
}

awaitable<void>
RouteDaemon::Impl::readBoard(StoreClient& aStore, control::Offset& aNext)
{
  auto chunk = co_await aStore.read(Topic::InstanceUpdates, aNext, Duration{});
  if (const auto* failure = std::get_if<Failure>(&chunk)) {
    if (failure->kind == FailureKind::LogTruncated) {
      aNext = failure->first;
    }
    co_return;
  }
  for (const auto& it : std::get<control::RecordBatch>(chunk).records) {
    applyEntry(it);
    aNext = it.offset + 1;
  }
  countInstances();
}

awaitable<void>
RouteDaemon::Impl::clockLoop()
{
  for (;;) {
    if (clock.observeLocal(wallMillis(), bootNow())) {
      LogEvent(LogLevel::Warning, "clock.jumped")
        .field("by_ms", -toMillis(clock.localError()))
        .write();
    }
    std::vector<std::pair<InstanceId, std::string>> peers;
    for (const auto& [id, relay] : relays) {
      if (!relay.address.empty() && relay.receivedAt + kRelayMemory >= bootNow()) {
        peers.emplace_back(id, relay.address);
      }
    }
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), kClockPeers));
    for (const auto& [id, address] : peers) {
      co_await compareClock(id, address);
    }
    // Updates of the others have to be read first: a process that has just started may have a wrong
    // time.
    co_await pauseFor(peers.empty() ? kFirstClockInterval : kClockInterval);
  }
}

awaitable<void>
RouteDaemon::Impl::compareClock(InstanceId aPeer, std::string aAddress)
{
  const auto address = settings::parseAddress(aAddress);
  if (!address) {
    co_return;
  }
  platform::HttpClient exchange(endpointOf(*address));
  platform::HttpRequest call;
  call.target = gateway::GatewayOptions{}.clockPath;
  call.timeout = kClockTimeout;
  const auto sentAt = bootNow();
  const auto answer = co_await exchange.send(std::move(call));
  const auto* got = std::get_if<control::HttpResponse>(&answer);
  std::int64_t peerMs = 0;
  if (!got || got->status != 200 ||
      std::from_chars(got->body.data(), got->body.data() + got->body.size(), peerMs).ec !=
        std::errc{}) {
    co_return;
  }
  const auto change = clock.observePeer(aPeer, peerMs, sentAt, bootNow());
  if (change != Duration{}) {
    LogEvent(LogLevel::Warning, "clock.set")
      .field("by_ms", toMillis(change))
      .field("peer", aPeer.str())
      .write();
  }
}

}
