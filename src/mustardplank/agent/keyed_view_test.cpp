#include "mustardplank/agent/keyed_view.hpp"

#include "mustardplank/base/hash.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace mustardplank;
using namespace mustardplank::agent;
using control::Offset;
using control::Record;

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

/// Values are "STATE SEQUENCE"; the sequence is left out.
std::uint64_t
digest(const Record& aRecord)
{
  const auto& value = aRecord.value.value_or(std::string());
  return stableHash(value.substr(0, value.find(' ')));
}

std::map<std::string, std::string>
contents(const KeyedView& aView)
{
  std::map<std::string, std::string> values;
  for (const auto& it : aView.changesSince(std::nullopt).records) {
    values[it.key] = it.value.value_or("removed");
  }
  return values;
}

}

BOOST_AUTO_TEST_SUITE(keyed_view)

BOOST_AUTO_TEST_CASE(changes_are_handed_on_once)
{
  KeyedView view;
  view.replace({ { 3, "a", "one" }, { 5, "b", "two" } }, 6);
  const auto all = view.changesSince(std::nullopt);
  BOOST_TEST(all.full);
  BOOST_TEST(all.records.size() == 2U);
  view.apply({ { 6, "a", "three" }, { 7, "b", std::nullopt } }, 8);
  const auto changes = view.changesSince(all.next);
  BOOST_TEST(!changes.full);
  BOOST_TEST_REQUIRE(changes.records.size() == 2U);
  BOOST_TEST(changes.records[0].value.value() == "three");
  BOOST_TEST(!changes.records[1].value.has_value());
  BOOST_TEST(view.changesSince(changes.next).records.empty());
}

// Guards against the renewals of hundreds of servers that wake all instances each second.
BOOST_AUTO_TEST_CASE(renewals_are_no_changes)
{
  KeyedView view(digest);
  view.replace({ { 1, "a", "ready 1" } }, 2);
  const auto before = view.lastChange();
  BOOST_TEST(view.apply({ { 2, "a", "ready 2" } }, 3).empty());
  BOOST_TEST(view.lastChange() == before);
  BOOST_TEST(view.next() == 3U);
  BOOST_TEST(view.apply({ { 3, "a", "draining 3" } }, 4).size() == 1U);
  BOOST_TEST(view.lastChange() == 4U);
}

// Guards against a removal that an instance never learns of, as the agent has read the whole list
// anew and knows no record of it.
BOOST_AUTO_TEST_CASE(removals_in_a_new_list_reach_those_that_had_the_key)
{
  KeyedView agent;
  KeyedView member;
  agent.replace({ { 1, "a", "x" }, { 2, "b", "y" } }, 3);
  member.apply(agent.changesSince(std::nullopt));
  const auto changes = agent.replace({ { 1, "a", "x" }, { 9, "c", "z" } }, 10);
  BOOST_TEST(changes.size() == 2U);
  const auto handedOn = member.apply(agent.changesSince(member.next()));
  BOOST_TEST(handedOn.size() == 2U);
  BOOST_TEST((contents(member) == contents(agent)));
}

// Guards against a change that is missed between two lists and never reaches an instance that had
// learnt of its first half from another agent.
BOOST_AUTO_TEST_CASE(list_with_a_renewal_is_handed_on)
{
  KeyedView agent(digest);
  KeyedView other(digest);
  KeyedView member(digest);
  agent.replace({ { 5, "a", "ready 1" } }, 6);
  other.replace({ { 5, "a", "ready 1" } }, 6);
  other.apply({ { 6, "a", "draining 2" } }, 7);
  member.apply(other.changesSince(std::nullopt));
  agent.replace({ { 9, "a", "ready 3" } }, 10);
  member.apply(agent.changesSince(member.next()));
  BOOST_TEST(contents(member)["a"] == "ready 3");
}

BOOST_AUTO_TEST_CASE(older_part_of_another_agent_changes_nothing)
{
  KeyedView member;
  member.replace({ { 5, "a", "new" } }, 6);
  LogPart old;
  old.full = true;
  old.records = { { 2, "a", "old" }, { 3, "b", "gone since" } };
  old.next = 4;
  BOOST_TEST(member.apply(old).empty());
  BOOST_TEST(member.next() == 6U);
  old.full = false;
  BOOST_TEST(member.apply(old).empty());
  BOOST_TEST(contents(member).size() == 1U);
  BOOST_TEST(contents(member)["a"] == "new");
}

// Guards against knowledge that counts as fresh again when a late message arrives.
BOOST_AUTO_TEST_CASE(age_counts_from_the_latest_confirmation)
{
  KeyedView view;
  BOOST_TEST(!view.age(at(0)).has_value());
  view.confirm(at(1000));
  view.confirm(at(400));
  BOOST_TEST((view.age(at(1500)) == Millis(500)));
}

BOOST_AUTO_TEST_CASE(forgotten_removals_lead_to_a_full_part)
{
  KeyedView view;
  view.replace({ { 0, "start", "x" } }, 1);
  Offset offset = 1;
  for (std::size_t i = 0; i < KeyedView::kMaxRemovals + 10; ++i) {
    const auto key = std::to_string(i);
    view.apply({ { offset, key, "x" }, { offset + 1, key, std::nullopt } }, offset + 2);
    offset += 2;
  }
  BOOST_TEST(view.changesSince(Offset(1)).full);
  BOOST_TEST(!view.changesSince(offset - 4).full);
}

// Guards against instances that diverge: a log of puts, renewals and removals is followed by an
// agent, with lost history now and then; members take its parts, some of them late, twice or in
// another order. A member that takes one last part has what the log has.
BOOST_AUTO_TEST_CASE(random_histories_leave_all_views_equal)
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::vector<Record> log;
    std::map<std::string, Record> newest;
    const auto put = [&](const std::string& aKey, std::optional<std::string> aValue) {
      log.push_back({ log.size(), aKey, aValue });
      newest[aKey] = log.back();
    };
    const auto list = [&] {
      std::vector<Record> records;
      for (const auto& [key, record] : newest) {
        if (record.value) {
          records.push_back(record);
        }
      }
      return records;
    };
    KeyedView agent(digest);
    std::vector<KeyedView> members(4, KeyedView(digest));
    std::vector<std::pair<std::size_t, LogPart>> late;
    put("k0", "ready 0");
    agent.replace(list(), log.size());
    for (int step = 0; step < 200; ++step) {
      const auto key = "k" + std::to_string(random() % 6);
      switch (random() % 8) {
        case 0:
          put(key, std::nullopt);
          break;
        case 1:
          put(key, "draining " + std::to_string(step));
          break;
        case 2:
          agent.replace(list(), log.size());
          break;
        case 3:
        case 4: {
          const std::vector<Record> rest(log.begin() + static_cast<std::ptrdiff_t>(agent.next()),
                                         log.end());
          agent.apply(rest, log.size());
          break;
        }
        case 5: {
          const auto n = random() % members.size();
          auto part = agent.changesSince(members[n].isKnown() ? std::optional(members[n].next())
                                                              : std::nullopt);
          if (random() % 3 == 0) {
            late.emplace_back(n, std::move(part));
          } else {
            members[n].apply(std::move(part));
          }
          break;
        }
        case 6:
          if (!late.empty()) {
            auto [n, part] = late[random() % late.size()];
            members[n].apply(std::move(part));
          }
          break;
        default:
          put(key, "ready " + std::to_string(step));
      }
    }
    agent.apply({ log.begin() + static_cast<std::ptrdiff_t>(agent.next()), log.end() }, log.size());
    for (auto& it : members) {
      it.apply(agent.changesSince(it.isKnown() ? std::optional(it.next()) : std::nullopt));
      std::map<std::string, std::uint64_t> expected;
      for (const auto& record : list()) {
        expected[record.key] = digest(record);
      }
      std::map<std::string, std::uint64_t> known;
      for (const auto& record : it.changesSince(std::nullopt).records) {
        known[record.key] = digest(record);
      }
      BOOST_REQUIRE_MESSAGE(known == expected, "a view differs from the log, seed " << seed);
    }
  }
}

// Guards against changes that are never seen, or undone, after the store was restored from an older
// copy: its offsets go back and are given out again.
BOOST_AUTO_TEST_CASE(restored_log_replaces_what_is_known)
{
  const auto before = [](Offset aOffset) { return control::makePosition(1, aOffset); };
  const auto after = [](Offset aOffset) { return control::makePosition(2, aOffset); };
  KeyedView view;
  view.replace({ { before(3), "a", "one" }, { before(5), "b", "two" } }, before(6));
  view.apply({ { before(6), "a", "newer" }, { before(7), "c", "new" } }, before(8));
  const auto follower = view.changesSince(std::nullopt);
  const auto changes =
    view.replace({ { after(3), "a", "one" }, { after(5), "b", "two" } }, after(6));
  BOOST_TEST(changes.size() == 3U);
  BOOST_TEST(
    (contents(view) == std::map<std::string, std::string>{ { "a", "one" }, { "b", "two" } }));
  view.apply({ { after(6), "a", "newest" } }, after(7));
  // A response of the time before, on its way, changes nothing.
  view.apply({ { before(8), "a", "old" } }, before(9));
  BOOST_TEST(contents(view).at("a") == "newest");
  // What is handed on to a follower of the time before is the whole list.
  const auto part = view.changesSince(follower.next);
  BOOST_TEST(part.full);
  KeyedView other;
  other.apply(follower);
  other.apply(part);
  BOOST_TEST((contents(other) == contents(view)));
  BOOST_TEST(other.next() == after(7));
}

// Guards against entries that an instance keeps for ever: those that a restored log lacks are no
// removals, so a follower of the time before needs the whole list, whatever is forgotten later.
BOOST_AUTO_TEST_CASE(forgotten_removals_leave_a_restored_log_incomplete_before_its_list)
{
  const auto before = [](Offset aOffset) { return control::makePosition(1, aOffset); };
  const auto after = [](Offset aOffset) { return control::makePosition(2, aOffset); };
  KeyedView view;
  view.replace({ { before(0), "a", "one" } }, before(1));
  Offset end = 1;
  for (std::size_t i = 0; i < KeyedView::kMaxRemovals; ++i) {
    const auto key = "removed" + std::to_string(i);
    view.apply({ { before(end), key, "one" } }, before(end + 1));
    view.apply({ { before(end + 1), key, {} } }, before(end + 2));
    end += 2;
  }
  KeyedView follower;
  follower.apply(view.changesSince(std::nullopt));
  BOOST_TEST(contents(follower).contains("a"));
  view.replace({ { after(0), "b", "one" } }, after(1));
  view.apply({ { after(1), "b", {} } }, after(2));
  follower.apply(view.changesSince(follower.next()));
  BOOST_TEST((contents(follower) == contents(view)));
}

BOOST_AUTO_TEST_SUITE_END()
