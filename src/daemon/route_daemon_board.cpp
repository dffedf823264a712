#include "route_daemon_impl.hpp"

#include "mustardplank/base/hash.hpp"

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

}

control::BoardEntry
RouteDaemon::Impl::makeEntry()
{
  control::BoardEntry entry;
  entry.instance = settings.instance;
  entry.domain = settings.failureDomain;
  entry.incarnation = incarnation;
  entry.wallMs = wallMillis();
  entry.leaving = draining;
  if (lease.holds()) {
    entry.leaseEnd = lease.end();
  }
  entry.windows = usage.takeUntold();
  entry.crashes = std::exchange(crashes, {});
  entry.needs = dispatcher.takeNeeds(bootNow());
  return entry;
}

void
RouteDaemon::Impl::applyEntry(const control::Record& aRecord)
{
  Findings findings;
  const auto entry = control::decodeEntry(aRecord.value.value_or(std::string()), findings);
  if (!entry) {
    LogEvent(LogLevel::Warning, "board.entry_ignored")
      .field("offset", aRecord.offset)
      .field("detail", findings.text())
      .write();
    return;
  }
  usage.apply(*entry);
  needs[entry->instance] = { entry->wallMs, entry->needs };
  noteHolder(*entry);
  for (const auto& it : entry->crashes) {
    dispatcher.reportCrash(it, bootNow());
  }
}

void
RouteDaemon::Impl::noteHolder(const control::BoardEntry& aEntry)
{
  const auto age = Millis(std::max<std::int64_t>(wallMillis() - aEntry.wallMs, 0));
  if (aEntry.instance == settings.instance || !aEntry.leaseEnd) {
    return;
  }
  if (aEntry.leaving) {
    lease.givenUp(*aEntry.leaseEnd, bootNow() - age);
  } else {
    lease.observed(*aEntry.leaseEnd, bootNow() - age);
  }
}

void
RouteDaemon::Impl::countInstances()
{
  auto live = usage.live(wallMillis());
  live[settings.instance] = settings.failureDomain;
  lease.setRank(std::min(rankAmong(live), kMostRank));
  // Those that are cut off from the store send requests too: shares follow the largest number
  // seen lately.
  const auto now = bootNow();
  if (live.size() >= mostInstances || now - mostInstancesAt > kInstanceMemory) {
    mostInstances = live.size();
    mostInstancesAt = now;
  }
  dispatcher.setInstances(mostInstances);
  if (table) {
    for (const auto& [id, service] : table->config().services) {
      dispatcher.setNeed(id, needOf(id));
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
  control::Offset next = 0;
  TimePoint lastTold{};
  TimePoint lastRead{};
  for (;;) {
    const auto now = bootNow();
    const bool news = usage.hasUntold() || !crashes.empty();
    if (boardDue || (news && now - lastTold >= tellInterval()) || now - lastTold >= kBoardIdle) {
      boardDue = false;
      const bool told = co_await tell(store);
      if (!told) {
        co_await pauseFor(kRetryPause);
        continue;
      }
      lastTold = now;
    }
    const auto interval = lease.holds() ? kHolderReadInterval : kBoardReadInterval;
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
  std::vector<control::Record> records{ { 0, {}, control::encodeEntry(entry) } };
  const auto result = co_await aStore.append(Topic::Board, records, std::nullopt);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    usage.notTold(entry.windows);
    crashes.insert(crashes.end(), entry.crashes.begin(), entry.crashes.end());
    storeBoard.failed(failure->message);
    co_return false;
  }
  storeBoard.succeeded();
  co_return true;
}

awaitable<void>
RouteDaemon::Impl::readBoard(StoreClient& aStore, control::Offset& aNext)
{
  auto chunk = co_await aStore.read(Topic::Board, aNext, Duration{});
  if (const auto* failure = std::get_if<Failure>(&chunk)) {
    if (failure->kind == FailureKind::Forgotten) {
      aNext = failure->first;
    }
    co_return;
  }
  for (const auto& it : std::get<control::Chunk>(chunk).records) {
    applyEntry(it);
    aNext = it.offset + 1;
  }
  countInstances();
}

}
