#include "mustardplank/gateway/caller_memory.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::gateway;

namespace {

constexpr std::size_t kStep = 16UL * 1024;

TimePoint
at(int aMs)
{
  return TimePoint{} + Seconds(100) + Millis(aMs);
}

void
receive(CallerMemory& aMemory, CallerMemory::HolderId aId, std::size_t aBytes, TimePoint aNow)
{
  aMemory.setStage(aId, CallerStage::Receiving, aNow);
  aMemory.setBytes(aId, aBytes);
}

}

// Guards against ordinary callers that are rejected while nothing is exceeded.
BOOST_AUTO_TEST_CASE(caller_memory_names_nobody_within_the_limit)
{
  CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 100 });
  memory.add(1, "a", at(0));
  receive(memory, 1, 1000, at(0));
  BOOST_TEST(!memory.findExcess(at(100'000)));
  receive(memory, 1, 700, at(0));
  BOOST_TEST(!memory.findStalled(at(100'000)));
}

// Guards against a crowd on one address that starves the callers on others.
BOOST_AUTO_TEST_CASE(caller_memory_keeps_the_minimum_of_an_address)
{
  CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 100 });
  memory.add(1, "quiet", at(0));
  receive(memory, 1, 100, at(0));
  for (CallerMemory::HolderId id = 2; id < 12; ++id) {
    memory.add(id, "crowd", at(500));
    receive(memory, id, 95, at(500));
  }
  BOOST_TEST(memory.totalBytes() == 1050U);
  BOOST_TEST(memory.findExcess(at(1000)).value() != 1U);
}

// Guards against a crowd behind the same address, as a balancer's, that starves other
// organisations.
BOOST_AUTO_TEST_CASE(caller_memory_keeps_the_minimum_of_an_organisation)
{
  CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 100 });
  for (CallerMemory::HolderId id = 1; id < 12; ++id) {
    memory.add(id, "balancer", at(0));
    memory.setOrganisation(id, id == 1 ? "quiet" : "crowd");
    receive(memory, id, 95, at(id == 1 ? 0 : 500));
  }
  BOOST_TEST(memory.findExcess(at(1000)).value() != 1U);
}

// Guards against active callers that are rejected in place of one that has stopped.
BOOST_AUTO_TEST_CASE(caller_memory_names_the_one_without_progress)
{
  CallerMemory memory({ .limitBytes = 3 * kStep, .minimumBytes = 10 });
  memory.add(1, "a", at(0));
  memory.add(2, "a", at(0));
  receive(memory, 1, 2 * kStep, at(0));
  receive(memory, 2, 2 * kStep, at(0));
  memory.noteProgress(1, kStep, at(900));
  // A byte now and then is no progress.
  memory.noteProgress(2, 1, at(950));
  BOOST_TEST(memory.findExcess(at(1000)).value() == 2U);
}

// Guards against requests that may run and are ended in place of those that can be refused.
BOOST_AUTO_TEST_CASE(caller_memory_names_running_requests_last)
{
  CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 10 });
  memory.add(1, "a", at(0));
  memory.add(2, "a", at(0));
  memory.setBytes(1, 900);
  memory.setStage(1, CallerStage::Executing, at(0));
  receive(memory, 2, 200, at(900));
  BOOST_TEST(memory.findExcess(at(1000)).value() == 2U);
  memory.remove(2);
  memory.setBytes(1, 1100);
  BOOST_TEST(memory.findExcess(at(1000)).value() == 1U);
}

// Guards against a body that is sent so slowly that it holds scarce memory for long.
BOOST_AUTO_TEST_CASE(caller_memory_names_callers_below_the_least_rate_while_scarce)
{
  CallerMemory memory(
    { .limitBytes = 10 * kStep, .minimumBytes = kStep, .minBytesPerSecond = kStep });
  memory.add(1, "a", at(0));
  memory.add(2, "a", at(0));
  receive(memory, 1, 4 * kStep, at(0));
  receive(memory, 2, 4 * kStep, at(0));
  memory.noteProgress(2, kStep, at(1000));
  BOOST_TEST(!memory.findStalled(at(1000)));
  BOOST_TEST(memory.findStalled(at(1500)).value() == 1U);
  memory.remove(1);
  BOOST_TEST(!memory.findStalled(at(100'000)));
}

// Guards against bytes that stay counted after their connection has ended.
BOOST_AUTO_TEST_CASE(caller_memory_counts_each_holder_once)
{
  CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 10 });
  memory.add(1, "a", at(0));
  memory.setBytes(1, 300);
  memory.setOrganisation(1, "one");
  memory.setOrganisation(1, "two");
  memory.setBytes(1, 200);
  BOOST_TEST(memory.totalBytes() == 200U);
  memory.remove(1);
  memory.remove(1);
  memory.setBytes(1, 500);
  BOOST_TEST(memory.totalBytes() == 0U);
}

// Guards against connections without a byte that keep all others out.
BOOST_AUTO_TEST_CASE(caller_memory_replaces_idle_connections_of_the_largest_address)
{
  CallerMemory memory({});
  for (CallerMemory::HolderId id = 1; id < 10; ++id) {
    memory.add(id, "crowd", at(static_cast<int>(id)));
  }
  memory.add(10, "quiet", at(0));
  memory.setStage(1, CallerStage::Executing, at(5));
  memory.setStage(2, CallerStage::Receiving, at(5));
  BOOST_TEST(memory.findReplaceable("quiet", at(100)).value() == 3U);
  // Of the same address only after a while.
  BOOST_TEST(!memory.findReplaceable("crowd", at(100)));
  BOOST_TEST(memory.findReplaceable("crowd", at(2000)).value() == 3U);
}

// Guards against addresses that take connections from each other in turn.
BOOST_AUTO_TEST_CASE(caller_memory_replaces_no_connection_among_equals)
{
  CallerMemory memory({});
  memory.add(1, "a", at(0));
  memory.add(2, "b", at(0));
  BOOST_TEST(!memory.findReplaceable("c", at(100'000)));
}
