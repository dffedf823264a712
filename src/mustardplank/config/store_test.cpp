#include "mustardplank/config/test_support.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::config;
using namespace mustardplank::config::test;

namespace {

struct Filled
{
  Store store;
  Log log{ store };
  Filled() { fill(log); }

  const BackendServer& server() const
  {
    return store.current()->servers().at(BackendServerId("s1"));
  }
  const CallerKey& key() const { return store.current()->keys().at(KeyId("k1")); }
  const config::FailureDomain& domain() const
  {
    return store.current()->failureDomains().at(FailureDomainId("a"));
  }
  Organisation organisation(double aWeight) const
  {
    auto changed = store.current()->organisations().at(OrganisationId("port"));
    changed.weight = aWeight;
    return changed;
  }
};

const TakeOutFailureDomain kTakeOut{ FailureDomainId("a") };
const BringBackFailureDomain kBringBack{ FailureDomainId("a") };
const WithdrawKey kWithdrawKey{ KeyId("k1") };
const WithdrawServer kWithdrawServer{ BackendServerId("s1") };

}

BOOST_AUTO_TEST_SUITE(store)

BOOST_FIXTURE_TEST_CASE(appliesChangesInOrder, Filled)
{
  BOOST_TEST(store.current()->revision() == 6U);
  BOOST_TEST(store.current()->findKey(hashOf('1')) != nullptr);
  BOOST_TEST(server().revision == 6U);
  BOOST_TEST(store.findings().empty());
}

// Guards against one operator overwriting what another changed after the first one looked.
BOOST_FIXTURE_TEST_CASE(refusesChangeOfUnexpectedRevision, Filled)
{
  const Revision seen = organisation(1).revision;
  BOOST_CHECK(log.change(PutOrganisation{ organisation(2) }, seen).outcome ==
              ChangeOutcome::Accepted);
  const auto late = log.change(PutOrganisation{ organisation(3) }, seen);
  BOOST_CHECK(late.outcome == ChangeOutcome::Conflict);
  BOOST_TEST(late.revision == organisation(1).revision);
  BOOST_TEST(store.current()->organisations().at(OrganisationId("port")).weight == 2.0);
}

// Guards against two operators both creating an object that "must not exist" when the first is at
// log offset 0, whose revision must not look like "never set".
BOOST_AUTO_TEST_CASE(objectAtOffsetZeroExists)
{
  Store store;
  Log log(store);
  config::FailureDomain domain;
  domain.id = FailureDomainId("a");
  BOOST_CHECK(log.change(PutFailureDomain{ domain }, 0).outcome == ChangeOutcome::Accepted);
  BOOST_CHECK(log.change(PutFailureDomain{ domain }, 0).outcome == ChangeOutcome::Conflict);
  BOOST_CHECK(log.change(PutFailureDomain{ domain }, 1).outcome == ChangeOutcome::Accepted);
}

// Guards against an append that is repeated after a lost answer taking effect twice.
BOOST_FIXTURE_TEST_CASE(recognisesRepeatedOperation, Filled)
{
  const auto record = encodeChange({ OperationId("same"), "test", std::nullopt, kTakeOut });
  BOOST_CHECK(log.add(record).operation->outcome == ChangeOutcome::Accepted);
  log.change(kBringBack);
  const auto repeat = log.add(record).operation.value();
  BOOST_CHECK(repeat.outcome == ChangeOutcome::Duplicate);
  BOOST_CHECK(repeat.first == ChangeOutcome::Accepted);
  BOOST_TEST(!domain().out);
}

// Guards against a withdrawal waiting for the log, and against its return once the log has it.
BOOST_FIXTURE_TEST_CASE(tombstoneIsInForceAtOnceAndPendingUntilInLog, Filled)
{
  const auto record = tombstone("t1", kWithdrawKey);
  BOOST_TEST(store.addTombstone(record));
  BOOST_TEST(!store.addTombstone(record));
  BOOST_TEST(key().withdrawn);
  BOOST_TEST(store.pendingTombstones().size() == 1U);
  log.add(encodeTombstone(record));
  BOOST_TEST(key().withdrawn);
  BOOST_TEST(store.pendingTombstones().empty());
  BOOST_TEST(!store.addTombstone(record));
}

// Guards against a bring-back that the operator gave before the tombstone reached the log lifting
// it, and against a tombstone that outlives a later bring-back.
BOOST_FIXTURE_TEST_CASE(onlyLaterBringBackLiftsTombstone, Filled)
{
  const auto record = tombstone("t1", kTakeOut);
  store.addTombstone(record);
  log.change(kBringBack);
  BOOST_TEST(domain().out);
  log.add(encodeTombstone(record));
  BOOST_TEST(domain().out);
  log.change(kBringBack);
  BOOST_TEST(!domain().out);
  BOOST_TEST(!store.addTombstone(record));
  BOOST_TEST(!domain().out);
}

// Guards against a withdrawal that an instance behind in the log drops, as it does not know the
// object yet.
BOOST_AUTO_TEST_CASE(tombstoneHoldsForObjectReadLater)
{
  Store store;
  Log log(store);
  BOOST_TEST(store.addTombstone(tombstone("t1", kWithdrawKey)));
  fill(log);
  BOOST_TEST(store.current()->keys().at(KeyId("k1")).withdrawn);
}

// Guards against the withdrawal being refused for its expected revision, after it was in force as a
// tombstone.
BOOST_FIXTURE_TEST_CASE(withdrawalIgnoresExpectedRevision, Filled)
{
  nlohmann::json record = encodeChange({ OperationId("w"), "test", std::nullopt, kWithdrawKey });
  record["expected"] = 1;
  BOOST_CHECK(log.add(record).operation->outcome == ChangeOutcome::Accepted);
  BOOST_TEST(key().withdrawn);
}

// Guards against a withdrawn key that comes back with an edit.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyIsFinal, Filled)
{
  const auto before = key();
  log.change(kWithdrawKey);
  BOOST_CHECK(log.change(PutKey{ before }).outcome == ChangeOutcome::Invalid);
  BOOST_TEST(key().withdrawn);
}

// Guards against an edit given without an expected revision undoing a withdrawal it did not know.
BOOST_FIXTURE_TEST_CASE(withdrawnServerReturnsOnlyWithExpectedRevision, Filled)
{
  const auto before = server();
  log.change(kWithdrawServer);
  log.change(PutServer{ before });
  BOOST_TEST(server().withdrawn);
  log.change(PutServer{ before }, server().revision);
  BOOST_TEST(!server().withdrawn);
}

// Guards against an edit of a failure domain bringing it back.
BOOST_FIXTURE_TEST_CASE(editKeepsDomainOut, Filled)
{
  const auto before = domain();
  log.change(kTakeOut);
  log.change(PutFailureDomain{ before });
  BOOST_TEST(domain().out);
}

// Guards against states handed to other threads changing under them.
BOOST_FIXTURE_TEST_CASE(handedOutStateIsImmutable, Filled)
{
  const auto before = store.current();
  log.change(kWithdrawKey);
  BOOST_TEST(!before->keys().at(KeyId("k1")).withdrawn);
  BOOST_TEST(key().withdrawn);
}

// Guards against configuration that moves backwards or has holes.
BOOST_FIXTURE_TEST_CASE(takesEntriesOnlyInOrder, Filled)
{
  BOOST_CHECK(store.apply(log.entries[2]).take == Take::Old);
  auto ahead = log.entries[2];
  ahead.offset = 9;
  BOOST_CHECK(store.apply(ahead).take == Take::Gap);
  BOOST_TEST(store.next() == 6U);
}

// Guards against an instance from a snapshot differing from one that read the whole log.
BOOST_FIXTURE_TEST_CASE(snapshotEqualsPrefix, Filled)
{
  log.change(kWithdrawKey);
  const auto snapshot = store.snapshot();
  Store other;
  Findings findings;
  BOOST_TEST(other.adopt(snapshot, findings));
  BOOST_TEST(findings.text() == "");
  BOOST_TEST(other.snapshot().dump() == snapshot.dump());
  log.change(kTakeOut);
  other.apply(log.entries.back());
  BOOST_TEST(other.snapshot().dump() == store.snapshot().dump());
}

// Guards against a peer's older snapshot bringing a withdrawn key back.
BOOST_FIXTURE_TEST_CASE(neverAdoptsOlderSnapshot, Filled)
{
  const auto old = store.snapshot();
  log.change(kWithdrawKey);
  Findings findings;
  BOOST_TEST(!store.adopt(old, findings));
  BOOST_TEST(key().withdrawn);
}

// Guards against a repeat that an instance started from a snapshot takes for new.
BOOST_FIXTURE_TEST_CASE(snapshotKeepsOperations, Filled)
{
  const auto record = tombstone("t1", kTakeOut);
  log.add(encodeTombstone(record));
  log.change(kBringBack);
  Store other;
  Findings findings;
  other.adopt(store.snapshot(), findings);
  BOOST_TEST(!other.addTombstone(record));
  log.add(encodeTombstone(record));
  BOOST_CHECK(other.apply(log.entries.back()).operation->outcome == ChangeOutcome::Duplicate);
  BOOST_TEST(!other.current()->failureDomains().at(FailureDomainId("a")).out);
}

// Guards against an instance that cannot start once the log has forgotten its beginning.
BOOST_FIXTURE_TEST_CASE(startsFromSnapshotInLog, Filled)
{
  const auto snapshot = store.snapshot();
  log.change(kTakeOut);
  log.add(snapshot);
  Store late;
  BOOST_CHECK(late.apply(log.entries[6]).take == Take::Gap);
  BOOST_CHECK(late.apply(log.entries[7]).take == Take::Adopted);
  BOOST_TEST(late.next() == 6U);
  BOOST_CHECK(late.apply(log.entries[6]).take == Take::Taken);
  BOOST_CHECK(late.apply(log.entries[7]).take == Take::Taken);
  BOOST_TEST(late.snapshot().dump() == store.snapshot().dump());
}

// Guards against a record of a newer version, or one that is malformed, stopping the instance.
BOOST_FIXTURE_TEST_CASE(skipsAndCountsWhatItCannotRead, Filled)
{
  log.add({ { "v", 1 }, { "kind", "of.the.future" } });
  log.add({ { "v", 2 }, { "kind", "config.change" } });
  log.add({ { "v", 1 }, { "kind", "lease.claim" } });
  log.add("text");
  const auto broken = log.add({ { "v", 1 },
                                { "kind", "config.change" },
                                { "operation", "broken" },
                                { "change", "put_pool" },
                                { "value", { { "id", "p" }, { "max_servers", -1 } } } });
  BOOST_TEST(store.next() == 11U);
  BOOST_TEST(store.counters().unknownKinds == 1U);
  BOOST_TEST(store.counters().newerVersions == 1U);
  BOOST_TEST(store.counters().invalidRecords == 2U);
  BOOST_CHECK(broken.operation->outcome == ChangeOutcome::Invalid);
  BOOST_TEST(store.findings().back().place == "log offset 10 value.max_servers");
}

// Guards against memory that grows with the number of changes.
BOOST_AUTO_TEST_CASE(forgetsOldOperations)
{
  Store store({ true, true, 4 });
  Log log(store);
  fill(log);
  BOOST_TEST(!store.find(OperationId("op1")).has_value());
  BOOST_TEST(store.find(OperationId("op2")).has_value());
}

// Shows what the two mechanisms prevent: without them the same events overwrite and un-withdraw.
BOOST_AUTO_TEST_CASE(mechanismsCanBeSwitchedOff)
{
  Store store({ false, false });
  Log log(store);
  fill(log);
  auto changed = store.current()->organisations().at(OrganisationId("port"));
  changed.weight = 3;
  BOOST_CHECK(log.change(PutOrganisation{ changed }, 1).outcome == ChangeOutcome::Accepted);
  store.addTombstone(tombstone("t1", kWithdrawKey));
  BOOST_TEST(!store.current()->keys().at(KeyId("k1")).withdrawn);
}

BOOST_AUTO_TEST_SUITE_END()
