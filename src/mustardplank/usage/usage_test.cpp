#include "mustardplank/usage/usage.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace mustardplank;
using namespace mustardplank::usage;
using platform::OrganisationUsage;

namespace mustardplank::platform {
std::ostream&
operator<<(std::ostream& aStream, const OrganisationUsage& aLine)
{
  return aStream << aLine.organisation.str() << " " << aLine.requests << " " << aLine.promptTokens
                 << " " << aLine.completionTokens;
}
}

namespace {

const FailureDomainId kDomain("a");
const OrganisationId kOrganisation("port");
const OrganisationId kLab("lab");

TimePoint
at(double aSeconds)
{
  return TimePoint(Duration(static_cast<std::int64_t>(aSeconds * 1e6)));
}

struct Log
{
  std::vector<LogEntry> entries;
  void append(const std::string& aRecord)
  {
    auto record = std::make_shared<const nlohmann::json>(nlohmann::json::parse(aRecord));
    entries.push_back({ entries.size(), 0, std::move(record) });
  }
  void appendAll(const std::vector<MeterEffect>& aEffects)
  {
    for (const auto& it : aEffects) {
      if (const auto* append = std::get_if<AppendRecord>(&it)) {
        this->append(append->record);
      }
    }
  }
};

/// Usage accounting of one instance.
struct Instance
{
  UsageLedger ledger;
  UsageMeter meter;
  UsageBackup backup;

  explicit Instance(const std::string& aName,
                    std::uint64_t aIncarnation = 1,
                    LedgerOptions aOptions = {})
    : ledger(aOptions)
    , meter(options(aName, aIncarnation))
  {
  }
  static MeterOptions options(const std::string& aName, std::uint64_t aIncarnation)
  {
    MeterOptions options;
    options.instance = InstanceId(aName);
    options.incarnation = aIncarnation;
    options.failureDomain = kDomain;
    return options;
  }
  void read(const Log& aLog, Offset aFrom = 0)
  {
    for (Offset i = aFrom; i < aLog.entries.size(); ++i) {
      ledger.apply(aLog.entries[i]);
      meter.apply(aLog.entries[i], ledger);
      backup.apply(aLog.entries[i]);
    }
  }
};

/// Two instances of one failure domain that share a log.
struct TwoInstances
{
  Log log;
  Instance x;
  Instance y;
  double now = 0;

  explicit TwoInstances(LedgerOptions aOptions = {})
    : x("x", 1, aOptions)
    , y("y", 1, aOptions)
  {
    log.append("{}");
    read();
  }
  void read()
  {
    x.read(log);
    y.read(log);
  }
  void count(Instance& aInstance, std::uint64_t aTokens)
  {
    aInstance.meter.add(kOrganisation, { 1, aTokens, 2 * aTokens });
    log.appendAll(aInstance.meter.flush(at(now += 20), aInstance.ledger));
    read();
  }
  void close(bool aWithCheckpoint = false)
  {
    log.append(encode(x.ledger.makeCloseRecord(kDomain, 0, aWithCheckpoint)));
    read();
  }
};

std::vector<OrganisationUsage>
lines(std::uint64_t aRequests, std::uint64_t aTokens)
{
  return { { kOrganisation, aRequests, aTokens, 2 * aTokens } };
}

}

BOOST_AUTO_TEST_SUITE(usage_ledger)

// Guards against two instances that would report different usage for one window.
BOOST_FIXTURE_TEST_CASE(usage_is_equal_on_all_instances, TwoInstances)
{
  count(x, 10);
  count(y, 5);
  close();
  for (const auto* it : { &x, &y }) {
    const auto windows = it->ledger.unreported(kDomain);
    BOOST_REQUIRE(windows.size() == 1U);
    BOOST_TEST(windows[0].id == "a/1");
    BOOST_TEST(windows[0].lines == lines(2, 15));
  }
}

// Guards against usage that is counted twice because an append was repeated after a lost answer.
BOOST_FIXTURE_TEST_CASE(repeated_counters_count_once, TwoInstances)
{
  count(x, 10);
  log.append(log.entries.back().record->dump());
  close();
  BOOST_TEST(x.ledger.unreported(kDomain)[0].lines == lines(1, 10));
}

// Guards against usage that arrives after the close being lost or changing the closed window.
BOOST_FIXTURE_TEST_CASE(late_counters_go_into_next_window, TwoInstances)
{
  count(x, 10);
  close();
  count(x, 7);
  close();
  BOOST_TEST(y.ledger.unreported(kDomain)[0].lines == lines(1, 10));
  BOOST_TEST(y.ledger.unreported(kDomain)[1].lines == lines(1, 7));
}

// Guards against two close records that close one window at different offsets.
BOOST_FIXTURE_TEST_CASE(first_close_record_wins, TwoInstances)
{
  count(x, 10);
  const auto late = encode(y.ledger.makeCloseRecord(kDomain, 0, false));
  close();
  count(x, 1);
  log.append(late);
  read();
  BOOST_TEST(x.ledger.latestWindow(kDomain) == 1U);
  close();
  BOOST_TEST(x.ledger.unreported(kDomain)[1].lines == lines(1, 1));
}

// Guards against usage of a killed instance going unbilled, and against billing it twice.
BOOST_FIXTURE_TEST_CASE(backup_appends_for_ended_process, TwoInstances)
{
  count(x, 10);
  x.meter.add(kOrganisation, { 1, 3, 6 });
  for (const auto& it : x.meter.tick(at(21), x.ledger)) {
    if (const auto* copy = std::get_if<CopyToBackup>(&it)) {
      y.backup.addCopy(nlohmann::json::parse(copy->record));
    }
  }
  BOOST_TEST(y.backup.tick(at(30)).empty());
  y.backup.markEnded(InstanceId("x"), 1);
  for (const auto& it : y.backup.tick(at(30))) {
    log.append(it.record);
    log.append(it.record);
  }
  read();
  BOOST_TEST(y.backup.copyCount() == 0U);
  close();
  BOOST_TEST(y.ledger.unreported(kDomain)[0].lines == lines(2, 13));
}

// Guards against a copy that is never appended because it arrives after its sender's process was
// found to have ended (bench/explore, seed 1004947).
BOOST_FIXTURE_TEST_CASE(copy_arriving_after_sender_ended_is_appended, TwoInstances)
{
  x.meter.add(kOrganisation, { 1, 3, 6 });
  const auto effects = x.meter.tick(at(1), x.ledger);
  const auto& copy = std::get<CopyToBackup>(effects.back());
  y.backup.markEnded(InstanceId("x"), 1);
  BOOST_TEST(y.backup.tick(at(2)).empty());
  y.backup.addCopy(nlohmann::json::parse(copy.record));
  BOOST_TEST(y.backup.tick(at(3)).size() == 1U);
}

// Guards against losing the usage of an instance that started while the log could not be read.
BOOST_FIXTURE_TEST_CASE(usage_is_copied_before_log_was_read, TwoInstances)
{
  Instance fresh("z");
  fresh.meter.add(kOrganisation, { 1, 4, 8 });
  const auto effects = fresh.meter.tick(at(1), fresh.ledger);
  BOOST_REQUIRE(effects.size() == 1U);
  y.backup.addCopy(nlohmann::json::parse(std::get<CopyToBackup>(effects[0]).record));
  y.backup.markEnded(InstanceId("z"), 1);
  for (const auto& it : y.backup.tick(at(2))) {
    log.append(it.record);
  }
  read();
  close();
  BOOST_TEST(x.ledger.unreported(kDomain)[0].lines == lines(1, 4));
}

// Guards against a new instance computing other usage because the log's beginning was deleted.
BOOST_FIXTURE_TEST_CASE(checkpoint_makes_late_reader_ready, TwoInstances)
{
  count(x, 10);
  count(y, 4);
  close();
  count(x, 3);
  const Offset start = log.entries.size();
  close();
  count(y, 6);
  close(true);
  Instance late("z");
  late.read(log, start - 1);
  BOOST_TEST(late.ledger.isReady(kDomain));
  count(x, 1);
  close();
  late.read(log, start - 1);
  BOOST_TEST(x.ledger.checkpointMismatches() == 0U);
  const auto windows = late.ledger.unreported(kDomain);
  BOOST_REQUIRE(windows.size() == 2U);
  BOOST_TEST(windows[0].lines == lines(1, 6));
  BOOST_TEST(windows[1].lines == lines(1, 1));
  BOOST_TEST(windows[1].id == x.ledger.unreported(kDomain).back().id);
}

// Guards against checkpoints that depend on how far their writer had read the log: a copy made
// before the log was read names another start offset than the source's own records
// (bench/explore, seed 1031379).
BOOST_FIXTURE_TEST_CASE(checkpoint_holds_state_at_close, TwoInstances)
{
  const Source source{ InstanceId("z"), 1, 0 };
  log.append(encode(CountersRecord{ kDomain, source, 0, { { kOrganisation, { 1, 4, 8 } } } }));
  read();
  close();
  const auto next = encode(x.ledger.makeCloseRecord(kDomain, 0, true));
  log.append(encode(CountersRecord{ kDomain, source, 1, { { kOrganisation, { 2, 6, 12 } } } }));
  log.append(next);
  read();
  BOOST_TEST(x.ledger.latestWindow(kDomain) == 2U);
  BOOST_TEST(x.ledger.checkpointMismatches() == 0U);
}

// Guards against a late reader that uses a checkpoint although it missed entries between the
// previous close, whose state the checkpoint holds, and the close record.
BOOST_FIXTURE_TEST_CASE(checkpoint_is_not_used_after_missed_entries, TwoInstances)
{
  count(x, 10);
  close();
  count(x, 3);
  const Offset start = log.entries.size();
  close(true);
  Instance late("z");
  late.read(log, start);
  BOOST_TEST(!late.ledger.isReady(kDomain));
}

// Guards against usage that is lost or billed twice because a source was retired while its process
// was paused.
BOOST_AUTO_TEST_CASE(retired_source_begins_new_part)
{
  TwoInstances two(LedgerOptions{ 2, 100 });
  two.count(two.x, 10);
  two.close();
  two.x.meter.add(kOrganisation, { 1, 5, 10 });
  for (int i = 0; i < 2; ++i) {
    two.count(two.y, 1);
    two.close();
  }
  two.count(two.x, 2);
  two.close();
  BOOST_TEST(two.x.meter.isLogged());
  OrganisationUsage sum{ kOrganisation, 0, 0, 0 };
  for (const auto& it : two.y.ledger.unreported(kDomain)) {
    sum.requests += it.lines[0].requests;
    sum.promptTokens += it.lines[0].promptTokens;
  }
  BOOST_TEST(sum.promptTokens == 10U + 5 + 1 + 1 + 2);
  BOOST_TEST(sum.requests == 5U);
}

// Guards against usage that is never billed because the clock stepped back, so that the incarnation
// of an instance is below that of its retired source.
BOOST_AUTO_TEST_CASE(lower_incarnation_than_retired_still_counts)
{
  TwoInstances two(LedgerOptions{ 2, 100 });
  two.count(two.x, 10);
  for (int i = 0; i < 3; ++i) {
    two.count(two.y, 1);
    two.close();
  }
  Instance again("x", 0, LedgerOptions{ 2, 100 });
  again.read(two.log);
  BOOST_TEST(again.meter.source().incarnation == 2U);
  again.meter.add(kOrganisation, { 1, 7, 14 });
  two.log.appendAll(again.meter.tick(at(1000), again.ledger));
  two.read();
  two.close();
  again.read(two.log);
  BOOST_TEST(two.y.ledger.unreported(kDomain).back().lines == lines(1, 7));
  BOOST_TEST(again.meter.isLogged());
  BOOST_TEST(again.meter.source().part == 0U);
}

// Guards against a failure domain that is never billed again because no instance knows its state,
// and against billing usage from before the restart record twice.
BOOST_FIXTURE_TEST_CASE(restart_record_resets_failure_domain, TwoInstances)
{
  count(x, 10);
  const Offset start = log.entries.size();
  count(x, 3);
  Instance late("z");
  late.read(log, start);
  BOOST_TEST(!late.ledger.isReady(kDomain));
  x.meter.add(kOrganisation, { 1, 6, 12 });
  log.append(encode(late.ledger.makeRestartRecord(kDomain, 0)));
  read();
  late.read(log, start);
  BOOST_TEST(late.ledger.isReady(kDomain));
  count(x, 1);
  close();
  late.read(log, start);
  for (const auto* it : { &x, &y, &late }) {
    BOOST_TEST(it->ledger.unreported(kDomain).back().lines == lines(2, 7));
  }
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct CloserFixture : TwoInstances
{
  CloserOptions options;
  UsageCloser closer;

  CloserFixture()
    : options{ kDomain }
    , closer(options, at(0))
  {
    count(x, 10);
  }
  template<typename T>
  std::vector<T> tick(double aSeconds, std::optional<Offset> aFence = 7)
  {
    std::vector<T> found;
    for (const auto& it : closer.tick(at(aSeconds), x.ledger, aFence)) {
      if (const auto* effect = std::get_if<T>(&it)) {
        found.push_back(*effect);
      }
    }
    return found;
  }
  void closeAt(double aSeconds)
  {
    for (const auto& it : tick<AppendRecord>(aSeconds)) {
      log.append(it.record);
    }
    read();
  }
};

}

BOOST_AUTO_TEST_SUITE(usage_closer)

// Guards against an instance that closes or reports without holding the duty.
BOOST_FIXTURE_TEST_CASE(acts_only_with_fence, CloserFixture)
{
  BOOST_TEST(tick<AppendRecord>(100, std::nullopt).empty());
  closeAt(100);
  BOOST_TEST(tick<SendReport>(101, std::nullopt).empty());
  const auto report = tick<SendReport>(101).at(0);
  BOOST_TEST(UsageCloser::mayReport(report, 7));
  BOOST_TEST(!UsageCloser::mayReport(report, 9));
  BOOST_TEST(!UsageCloser::mayReport(report, std::nullopt));
}

// Guards against a report whose answer was lost being sent again with other usage or not at all.
BOOST_FIXTURE_TEST_CASE(lost_report_is_sent_again_unchanged, CloserFixture)
{
  closeAt(100);
  const auto first = tick<SendReport>(101).at(0);
  BOOST_TEST(tick<SendReport>(120).empty());
  closer.handleReportResult(first, platform::Failure{});
  count(x, 50);
  const auto second = tick<SendReport>(121).at(0);
  BOOST_TEST(second.report.windowId == first.report.windowId);
  BOOST_TEST(second.report.operation.str() == first.report.operation.str());
  BOOST_TEST(second.report.organisations == first.report.organisations);
}

// Guards against reporting a window again and again.
BOOST_FIXTURE_TEST_CASE(accepted_report_is_recorded, CloserFixture)
{
  closeAt(100);
  closer.handleReportResult(tick<SendReport>(101).at(0), platform::Empty{});
  const auto record = tick<AppendRecord>(102);
  BOOST_REQUIRE(record.size() == 1U);
  log.append(record[0].record);
  read();
  BOOST_TEST(x.ledger.unreportedCount(kDomain) == 0U);
  BOOST_TEST(tick<SendReport>(110).empty());
}

// Guards against close records for windows without usage.
BOOST_FIXTURE_TEST_CASE(empty_window_is_not_closed, CloserFixture)
{
  closeAt(100);
  BOOST_TEST(tick<AppendRecord>(300).empty());
}

// Guards against memory growth while the platform does not accept reports.
BOOST_FIXTURE_TEST_CASE(unreported_windows_are_bounded, CloserFixture)
{
  options.maxUnreported = 1;
  closer = UsageCloser(options, at(0));
  closeAt(100);
  count(x, 1);
  BOOST_TEST(tick<AppendRecord>(300).empty());
}

BOOST_AUTO_TEST_SUITE_END()
