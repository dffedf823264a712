#include "mustardplank/dispatch/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::dispatch;

BOOST_AUTO_TEST_SUITE(retry_budget)

namespace {

TimePoint
at(int aMillis)
{
  return TimePoint(Seconds(100)) + Millis(aMillis);
}

RetryBudgetOptions
optionsWithSlack(double aSlack)
{
  RetryBudgetOptions options;
  options.slack = aSlack;
  return options;
}

}

// Guards against requests that use up the budget of others without sending anything: a silent
// server makes a request look for another one again and again.
BOOST_AUTO_TEST_CASE(retry_that_was_not_sent_is_given_back)
{
  RetryBudget budget(optionsWithSlack(4.0));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(budget.tryTake(at(100 * i), 1));
    budget.giveBack(at(100 * i + 50));
  }
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(budget.tryTake(at(2100), 1));
  }
  BOOST_TEST(!budget.tryTake(at(2200), 1));
}

// Guards against retries that are counted less often than they were sent.
BOOST_AUTO_TEST_CASE(retry_of_an_earlier_window_is_not_given_back)
{
  RetryBudget budget(optionsWithSlack(4.0));
  BOOST_TEST(budget.tryTake(at(0), 1));
  budget.giveBack(at(60000));
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(budget.tryTake(at(60000), 1));
  }
  BOOST_TEST(!budget.tryTake(at(60000), 1));
}

BOOST_AUTO_TEST_SUITE_END()
