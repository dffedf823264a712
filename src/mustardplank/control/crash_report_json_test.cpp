#include "mustardplank/control/crash_report_json.hpp"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace mustardplank;
using namespace mustardplank::control;

BOOST_AUTO_TEST_SUITE(crash_report_json)

// Guards against losing the updates of an instance of an older version, which states fewer fields.
BOOST_AUTO_TEST_CASE(report_of_an_older_version_is_read)
{
  const auto report = crashReportFromJson(nlohmann::json::array({ 7, "s" }));
  BOOST_TEST((report == dispatch::CrashReport{ 7, BackendServerId("s") }));
}

BOOST_AUTO_TEST_CASE(malformed_report_throws)
{
  BOOST_CHECK_THROW(crashReportFromJson(nlohmann::json::array({ 7 })), nlohmann::json::exception);
  BOOST_CHECK_THROW(crashReportFromJson(nlohmann::json::array({ 7, "s", 1 })),
                    nlohmann::json::exception);
}

BOOST_AUTO_TEST_SUITE_END()
