#include "mustardplank/dispatch/prompt_part_suspects.hpp"

#include <boost/test/unit_test.hpp>

#include <ctime>
#include <optional>
#include <random>
#include <set>
#include <string>

using namespace mustardplank;
using namespace mustardplank::dispatch;

namespace {

constexpr std::int64_t kStart = 1'000'000;

ServerLoss
lossOf(const std::string& aServer, std::int64_t aAtMs, std::vector<PromptPartId> aParts)
{
  return { BackendServerId(aServer), 1, aAtMs, std::move(aParts) };
}

std::vector<PromptPart>
promptOf(const std::vector<PromptPartId>& aParts)
{
  static PromptPartId last = 1'000'000'000;
  std::vector<PromptPart> prompt;
  for (const auto part : aParts) {
    prompt.push_back({ part, 100 });
  }
  prompt.push_back({ ++last, 50 });
  return prompt;
}

bool
isBlocked(const PromptPartSuspects& aSuspects, std::vector<PromptPartId> aParts, std::int64_t aNow)
{
  return aSuspects.findBlocked(promptOf(aParts), aNow).has_value();
}

std::vector<CrashNote>
answer(PromptPartSuspects& aSuspects, const std::vector<PromptPartId>& aParts, std::int64_t aNow)
{
  const auto prompt = promptOf(aParts);
  return aSuspects.recordAnswer({ 0, &prompt, BackendServerId("other"), 1, aNow - 100 }, aNow);
}

}

BOOST_AUTO_TEST_SUITE(prompt_part_suspects)

// Guards against requests that share one part with others that crashed servers and are sent on,
// and against refusing those that share the other parts.
BOOST_AUTO_TEST_CASE(part_under_which_four_servers_were_lost_is_blocked)
{
  PromptPartSuspects suspects;
  suspects.add(lossOf("s1", kStart, { 1, 7 }), kStart);
  suspects.add(lossOf("s2", kStart + 1000, { 1, 2, 7 }), kStart + 1000);
  BOOST_TEST(!isBlocked(suspects, { 1, 7 }, kStart + 1000));
  suspects.add(lossOf("s3", kStart + 2000, { 1, 3, 7 }), kStart + 2000);
  BOOST_TEST(!isBlocked(suspects, { 1, 7 }, kStart + 2000));
  suspects.add(lossOf("s4", kStart + 3000, { 1, 7 }), kStart + 3000);
  BOOST_TEST(isBlocked(suspects, { 4, 7 }, kStart + 3000));
  BOOST_TEST(!isBlocked(suspects, { 1, 2, 3 }, kStart + 3000));
  // The last part belongs to the request alone.
  BOOST_TEST(!suspects.findBlocked({ { 1, 100 }, { 7, 100 } }, kStart + 3000).has_value());
  // Further losses under the blocked part count against no other one.
  for (int i = 5; i < 10; ++i) {
    suspects.add(lossOf("s" + std::to_string(i), kStart + i * 1000, { 1, 2, 7 }),
                 kStart + i * 1000);
  }
  BOOST_TEST(!isBlocked(suspects, { 1, 2, 3 }, kStart + 10000));
}

// Guards against a loss that counts as new each time it is reported, as it is older than all that
// are kept.
BOOST_AUTO_TEST_CASE(loss_that_is_not_kept_changes_nothing)
{
  PromptPartSuspects suspects;
  const auto oldest = lossOf("oldest", kStart, { 1 });
  BOOST_TEST(suspects.add(oldest, kStart));
  for (std::size_t i = 0; i < PromptPartSuspects::kMaxLosses; ++i) {
    BOOST_TEST(suspects.add(lossOf("s" + std::to_string(i), kStart + 1, { 2 + i }), kStart + 1));
  }
  BOOST_TEST(!suspects.add(oldest, kStart + 2));
}

// Guards against a shared part that comes later in the prompt than the one that crashes servers.
BOOST_AUTO_TEST_CASE(answered_part_is_cleared)
{
  PromptPartSuspects suspects;
  for (int i = 0; i < 4; ++i) {
    const auto now = kStart + i * 1000;
    suspects.add(lossOf("s" + std::to_string(i), now, { 7, 1 }), now);
    answer(suspects, { 1 }, now + 100);
  }
  BOOST_TEST(isBlocked(suspects, { 7, 2 }, kStart + 4000));
  BOOST_TEST(!isBlocked(suspects, { 1 }, kStart + 4000));
}

// Guards against a sound part that stays blocked although a request with it was answered.
BOOST_AUTO_TEST_CASE(answer_lifts_a_block_here_and_elsewhere)
{
  PromptPartSuspects suspects;
  PromptPartSuspects elsewhere;
  for (int i = 0; i < 4; ++i) {
    const auto now = kStart + i * 1000;
    const auto loss = lossOf("s" + std::to_string(i), now, { 7 });
    BOOST_TEST(suspects.add(loss, now));
    BOOST_TEST(!suspects.add(loss, now));
    elsewhere.add(loss, now);
  }
  BOOST_TEST(isBlocked(elsewhere, { 7 }, kStart + 3000));
  const auto notes = answer(suspects, { 7 }, kStart + 3500);
  BOOST_TEST(!isBlocked(suspects, { 7 }, kStart + 3500));
  BOOST_TEST_REQUIRE(notes.size() == 1U);
  BOOST_TEST(elsewhere.add(notes[0], kStart + 3500));
  BOOST_TEST(!isBlocked(elsewhere, { 7 }, kStart + 3500));
  // A block that is older than the answer does not come back.
  BOOST_TEST(!elsewhere.add(PartBlocked{ 7, kStart + 3000 }, kStart + 3600));
  BOOST_TEST(!isBlocked(elsewhere, { 7 }, kStart + 3600));
}

// Guards against a rarely used part that is blocked as its answers came at other instances.
BOOST_AUTO_TEST_CASE(answers_at_other_instances_clear_a_part)
{
  PromptPartSuspects suspects;
  PromptPartSuspects elsewhere;
  std::size_t sent = 0;
  for (int i = 0; i < 12; ++i) {
    const auto now = kStart + i * 5000;
    const auto loss = lossOf("s" + std::to_string(i), now, { 7 });
    suspects.add(loss, now);
    elsewhere.add(loss, now);
    if (i % 2 == 0) {
      continue;
    }
    for (const auto& it : answer(elsewhere, { 7 }, now + 2000)) {
      BOOST_TEST(suspects.add(it, now + 2100));
      BOOST_TEST(!suspects.add(it, now + 2200));
      ++sent;
    }
  }
  BOOST_TEST(sent == 6U);
  BOOST_TEST(!isBlocked(suspects, { 7 }, kStart + 60000));
  BOOST_TEST(!isBlocked(elsewhere, { 7 }, kStart + 60000));
}

// Guards against an instance whose clock is ahead and whose losses no answer can clear.
BOOST_AUTO_TEST_CASE(times_in_the_future_count_as_now)
{
  PromptPartSuspects suspects;
  suspects.add(lossOf("s1", kStart + 60000, { 7 }), kStart);
  suspects.add(PartBlocked{ 8, kStart + 60000 }, kStart);
  answer(suspects, { 7, 8 }, kStart + 10);
  BOOST_TEST(!isBlocked(suspects, { 8 }, kStart + 10));
  suspects.add(lossOf("s2", kStart + 1000, { 7 }), kStart + 1000);
  suspects.add(lossOf("s3", kStart + 2000, { 7 }), kStart + 2000);
  suspects.add(lossOf("s4", kStart + 3000, { 7 }), kStart + 3000);
  BOOST_TEST(!isBlocked(suspects, { 7 }, kStart + 3000));
}

// Guards against parts that are blocked as a failure domain loses power.
BOOST_AUTO_TEST_CASE(servers_that_are_lost_together_count_once)
{
  PromptPartSuspects suspects;
  for (int i = 0; i < 30; ++i) {
    suspects.add(lossOf("s" + std::to_string(i), kStart + i * 10, { 1, 2 }), kStart + 300);
  }
  BOOST_TEST(!isBlocked(suspects, { 1, 2 }, kStart + 300));
}

// Guards against taking a server that breaks off single answers for one that was lost.
BOOST_AUTO_TEST_CASE(server_that_goes_on_was_not_lost)
{
  PromptPartSuspects suspects;
  const auto prompt = promptOf({ 9 });
  for (int i = 0; i < 6; ++i) {
    const auto now = kStart + i * 1000;
    const auto server = "s" + std::to_string(i);
    suspects.add(lossOf(server, now, { 7 }), now);
    suspects.recordAnswer({ 0, &prompt, BackendServerId(server), 1, now + 10 }, now + 200);
  }
  BOOST_TEST(!isBlocked(suspects, { 7 }, kStart + 6000));
}

BOOST_AUTO_TEST_CASE(block_ends_after_the_retention)
{
  PromptPartSuspects suspects;
  suspects.add(PartBlocked{ 7, kStart }, kStart);
  BOOST_TEST(isBlocked(suspects, { 7 }, kStart + PromptPartSuspects::kRetentionMs - 1));
  suspects.expire(kStart + PromptPartSuspects::kRetentionMs);
  BOOST_TEST(!isBlocked(suspects, { 7 }, kStart + PromptPartSuspects::kRetentionMs));
  BOOST_TEST(suspects.blocked(kStart + PromptPartSuspects::kRetentionMs).empty());
}

// Guards against memory that callers can make grow.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
  PromptPartSuspects suspects;
  for (int i = 0; i < 20000; ++i) {
    const auto part = static_cast<PromptPartId>(i);
    suspects.add(PartBlocked{ part, kStart }, kStart);
    suspects.add(lossOf("s" + std::to_string(i), kStart + i, { part, part + 1 }), kStart + i);
    answer(suspects, { part + 100000 }, kStart + i);
  }
  BOOST_TEST(suspects.blocked(kStart).size() <= PromptPartSuspects::kMaxBlocked);
}

// Load pattern: one part in 60 crashes the server that begins with it, another server each time;
// several other requests are on the server, and other servers crash for other reasons. Only that
// part is blocked, after few losses.
BOOST_AUTO_TEST_CASE(one_part_is_found_among_many_under_load)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](unsigned aMost) { return random() % aMost; };
    const auto soundParts = [&] {
      return std::vector<PromptPartId>{ 1 + draw(4), 10 + draw(10), 100 + draw(40) };
    };
    constexpr PromptPartId kPart = 7;
    PromptPartSuspects suspects;
    int losses = 0;
    std::optional<std::int64_t> fifthLoss;
    int lateLosses = 0;
    int blockedSound = 0;
    for (int i = 0; i < 400; ++i) {
      const auto now = kStart + i * 50;
      const auto sound = soundParts();
      blockedSound += isBlocked(suspects, sound, now) ? 1 : 0;
      answer(suspects, sound, now);
      auto crashing = soundParts();
      crashing.insert(crashing.begin() + draw(4), kPart);
      const bool crashes = draw(20) == 0 && !suspects.findBlocked(promptOf(crashing), now);
      const bool otherCause = draw(30) == 0;
      if (!crashes && !otherCause) {
        continue;
      }
      const auto server = "s" + std::to_string(i);
      for (unsigned others = draw(3); others > 0; --others) {
        suspects.add(lossOf(server, now, soundParts()), now);
      }
      if (crashes) {
        suspects.add(lossOf(server, now, crashing), now);
        lateLosses += fifthLoss && now > *fifthLoss + 3000 ? 1 : 0;
        if (++losses == 5) {
          fifthLoss = now;
        }
      }
    }
    BOOST_TEST(isBlocked(suspects, { kPart }, kStart + 20000), "seed " << seed);
    BOOST_TEST(lateLosses <= 3, "seed " << seed);
    BOOST_TEST(blockedSound <= 4, "seed " << seed << ": " << blockedSound);
  }
}

// Guards against a part that one instance blocks wrongly for the whole retention: it refuses the
// requests whose answers would clear the part, and the others, which see answers, keep quiet.
BOOST_AUTO_TEST_CASE(block_is_refuted_by_an_instance_that_sees_answers)
{
  PromptPartSuspects blocking;
  PromptPartSuspects serving;
  const auto lastLoss = kStart + 3000;
  for (int i = 0; i < 4; ++i) {
    blocking.add(lossOf("s" + std::to_string(i), kStart + i * 1000, { 7 }), kStart + i * 1000);
  }
  BOOST_TEST(isBlocked(blocking, { 7 }, lastLoss));
  const auto notes = blocking.blocked(lastLoss);
  BOOST_TEST_REQUIRE(notes.size() == 1U);
  const CrashNote note(notes.front());
  answer(serving, { 7 }, lastLoss - 10);
  BOOST_TEST(!serving.refute(note, lastLoss + 100).has_value());
  answer(serving, { 7 }, lastLoss + 200);
  const auto answered = serving.refute(note, lastLoss + 300);
  BOOST_TEST_REQUIRE(answered.has_value());
  BOOST_TEST(!serving.refute(note, lastLoss + 400).has_value());
  BOOST_TEST(serving.refute(note, lastLoss + 1400).has_value());
  BOOST_TEST(blocking.add(*answered, lastLoss + 500));
  BOOST_TEST(!isBlocked(blocking, { 7 }, lastLoss + 500));
  BOOST_TEST(!blocking.add(note, lastLoss + 600));
}

// Load pattern: half of the servers are lost in a burst, hundreds of losses a second under requests
// with few shared and many other parts. All instances hear of all of them. Guards against notes
// that take the processor from the requests.
BOOST_AUTO_TEST_CASE(notes_of_a_burst_of_losses_are_cheap)
{
  constexpr int kNotes = 3000;
  constexpr double kMaxMillisPerNote = 0.1;
  PromptPartSuspects suspects;
  std::mt19937_64 random(1);
  const auto begin = std::clock();
  for (int i = 0; i < kNotes; ++i) {
    const auto now = kStart + i * 5;
    const auto server = "s" + std::to_string(random() % 70);
    suspects.add(
      lossOf(
        server, now, { random() % 8, 100 + random() % 1000, 10000 + random(), 10000 + random() }),
      now);
    answer(suspects, { random() % 8, 100 + random() % 1000 }, now);
  }
  const double millis = 1000.0 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  BOOST_TEST(millis / kNotes <= kMaxMillisPerNote);
}

BOOST_AUTO_TEST_SUITE_END()
