#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"
#include "mustardplank/settings/parse.hpp"

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
/// Other instances that have told nothing for so long are not asked. Longer than the times for
/// which the store turns single instances away, in which this one reads nothing of them.
constexpr std::int64_t kTakerAgeMs = 15000;
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
  entry.wallMs = wallMillis();
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
  usage.apply(*entry);
  if (entry->instance != settings.instance) {
    auto& [heardMs, address] = entryTakers[entry->instance];
    if (entry->wallMs >= heardMs) {
      heardMs = entry->wallMs;
      address = entry->leaving ? std::string() : entry->relayAddress;
    }
  }
  if (auto& known = needs[entry->instance]; entry->wallMs >= known.first) {
    known = { entry->wallMs, entry->needs };
  }
  noteHolder(*entry);
  for (const auto& it : entry->crashes) {
    dispatcher.reportCrash(it, bootNow());
  }
}

void
RouteDaemon::Impl::noteHolder(const control::InstanceUpdate& aEntry)
{
  const auto age = Millis(std::max<std::int64_t>(wallMillis() - aEntry.wallMs, 0));
  if (aEntry.instance == settings.instance || !aEntry.claimsLogEnd) {
    return;
  }
  if (aEntry.leaving) {
    lease.observeRelease(*aEntry.claimsLogEnd, bootNow() - age);
  } else {
    lease.observeEnd(*aEntry.claimsLogEnd, bootNow() - age);
  }
}

void
RouteDaemon::Impl::countInstances()
{
  auto live = usage.liveInstances(wallMillis());
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
  for (const auto& [id, taker] : entryTakers) {
    if (!taker.second.empty() && taker.first + kTakerAgeMs >= wallMillis()) {
      addresses.push_back(taker.second);
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

}
