#include "explain.hpp"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace mustardplank::ctl;

namespace {

Explanation
explain(const std::string& aLog, const char* aRequest)
{
  Explanation explanation;
  std::istringstream in(aLog);
  addLines(in, aRequest, explanation);
  concludeFrom(explanation);
  return explanation;
}

const std::string kLog =
  "  7.9 edge-b time=2026-03-20T08:13:08.907Z level=INFO instance=b event=request.broken_off "
  "request=r1 "
  "status=200 reason=connection_lost route=x organisation=\"\" server=none sends=1 events=31 "
  "total_ms=10.0 first_ms=2.0 config=2\n"
  "time=2026-03-20T08:13:08.256Z level=INFO instance=b event=request.granted request=r1 server=s1\n"
  "time=2026-03-20T08:13:08.300Z level=INFO instance=b event=request.granted request=r11 "
  "server=s1\n"
  "not a line of the system\n"
  "time=2026-03-20T08:13:09.000Z level=INFO instance=a event=request.refused request=r2 status=503 "
  "reason=no_server\n";

}

BOOST_AUTO_TEST_SUITE(explain_command)

// Guards against an explanation from another request's lines, or in another order.
BOOST_AUTO_TEST_CASE(lines_of_one_request_come_in_order_with_a_cause)
{
  const auto broken = explain(kLog, "r1");
  BOOST_TEST_REQUIRE(broken.lines.size() == 2U);
  BOOST_TEST(broken.lines[0].find("request.granted") != std::string::npos);
  BOOST_TEST(broken.lines[1].starts_with("time="));
  BOOST_TEST(broken.cause.starts_with("Broken off after 31 events: the server's connection broke"));
  BOOST_TEST(explain(kLog, "r2").cause ==
             "Refused without having run: no server of its service could be used.");
}

// Guards against a caller that does not take its answer and is said to have left.
BOOST_AUTO_TEST_CASE(callers_that_leave_are_told_from_those_that_do_not_read)
{
  const std::string line = "time=1 event=request.cancelled request=r4 total_ms=7.5 reason=";
  BOOST_TEST(explain(line + "caller_left", "r4").cause == "The caller left after 7.5 ms.");
  BOOST_TEST(explain(line + "write_failed", "r4").cause ==
             "The caller did not take its answer, or could not be reached, after 7.5 ms.");
  BOOST_TEST(explain(line + "output_dropped", "r4").cause ==
             "The caller left too much of its answer unread, after 7.5 ms.");
}

BOOST_AUTO_TEST_CASE(missing_lines_are_said_to_be_missing)
{
  BOOST_TEST(explain(kLog, "r3").cause.starts_with("No line names this request"));
  BOOST_TEST(explain(kLog, "r11").cause.starts_with("The lines end before the request did"));
}

BOOST_AUTO_TEST_CASE(wrong_arguments_say_what_to_give)
{
  std::ostringstream out;
  std::ostringstream errors;
  BOOST_TEST((runExplain({ "explain", "r1" }, out, errors) == ExitCode::Usage));
  BOOST_TEST((runExplain({ "explain", "r1", "/no/such/file" }, out, errors) == ExitCode::Usage));
  BOOST_TEST(errors.str().find("give the request's id") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
