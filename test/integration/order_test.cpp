// G1 and G2: who goes first.

#include "proof.hpp"

#include <csignal>

namespace mustardplank::proof {

using nlohmann::json;

// Guards against urgent requests waiting behind, or being shed or preempted for, lower tiers in a
// burst above capacity, while load reports lag and the instance that may own the pool is killed
// (G1).
MECHANISM(tiers)
BOOST_AUTO_TEST_CASE(urgent_goes_before_batch)
{
  Plan plan = proof::plan(1, 3);
  // Below the 15 s for which a batch request holds its slot, above the 1 s that a new owner needs.
  classOf(plan, "urgent").firstTokenTarget = Seconds(4);
  classOf(plan, "batch").firstTokenTarget = Seconds(25);
  auto slow = engine("e1", "fd-a", { "--tokens-per-second", "50", "--load-lag-ms", "1000" });
  slow.slots = 4;
  plan.backends = { slow };
  Deployment deployment(plan);
  deployment.startInstances();
  Load batch(20, [&](unsigned) {
    auto chat = chatAt(deployment, "a1", "batch", "batch", 2000);
    chat.timeout = Seconds(15);
    return chat;
  });
  pause(Seconds(1));
  Load urgent(2, [&](unsigned) { return chatAt(deployment, "a1", "urgent", "urgent", 25); });
  pause(Seconds(4));
  deployment.instance("a2").process->kill();
  pause(Seconds(3));
  deployment.instance("a3").process->kill();
  pause(Seconds(3));
  const auto answers = urgent.stop();
  // Two callers on four slots: the tier's demand fits, so nothing of it may be shed.
  const auto lost = notWhole(answers);
  BOOST_TEST(lost.empty(), joined(lost) << " of " << answers.size());
  BOOST_TEST(answers.size() >= 4u);
  for (const auto& run : takenRuns(deployment, "<urgent")) {
    BOOST_TEST(run.at("outcome") == "finished", "an urgent run was ended: " << run.dump());
  }
  for (const auto& it : answers) {
    BOOST_TEST(it.firstMillis() <= 4000, "late: " << it.describe());
  }
}

// Guards against a class that gets nothing while a higher tier fills every slot of a slow engine
// (G2).
MECHANISM(min_share)
BOOST_AUTO_TEST_CASE(no_class_starves)
{
  Plan plan = proof::plan(1, 2);
  classOf(plan, "urgent").firstTokenTarget = Seconds(25);
  classOf(plan, "batch").firstTokenTarget = Seconds(25);
  classOf(plan, "batch").minShare = 0.25;
  auto slow = engine("e1", "fd-a", { "--tokens-per-second", "50", "--load-lag-ms", "500" });
  slow.slots = 4;
  plan.backends = { slow };
  Deployment deployment(plan);
  deployment.startInstances();
  Load urgent(16, [&](unsigned aNumber) {
    return chatAt(deployment, aNumber % 2 == 0 ? "a1" : "a2", "urgent", "urgent", 40);
  });
  pause(Seconds(1));
  deployment.controlBackend("e1", { { "slow", 2.0 } });
  Load batch(2, [&](unsigned) { return chatAt(deployment, "a1", "batch", "batch", 20); });
  // One of four slots at 25 tokens/s gives a batch answer of 20 tokens every 0.8 s.
  const bool served = waitUntil(Seconds(15), [&] { return batch.answered() >= 4; });
  BOOST_TEST(served, "batch got " << batch.answered() << " answers in 15 s");
  const auto urgentAnswers = urgent.stop();
  const auto batchAnswers = batch.stop();
  const auto lost = notWhole(batchAnswers);
  BOOST_TEST(lost.empty(), joined(lost));
  BOOST_TEST(urgentAnswers.size() > batchAnswers.size());
}

}
