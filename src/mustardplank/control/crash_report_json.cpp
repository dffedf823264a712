#include "mustardplank/control/crash_report_json.hpp"

#include "mustardplank/base/json_numbers.hpp"

#include <nlohmann/json.hpp>

namespace mustardplank::control {

namespace {

/// Elements of a report from a version that states only digest and server.
constexpr std::size_t kShortReportSize = 2;

}

nlohmann::json
toJson(const dispatch::CrashReport& aReport)
{
  return nlohmann::json::array({ aReport.digest,
                                 aReport.server.str(),
                                 aReport.serverStartTimeMs,
                                 aReport.sentAtMs,
                                 aReport.lostAtMs,
                                 aReport.sharing == dispatch::DigestSharing::Common });
}

dispatch::CrashReport
crashReportFromJson(const nlohmann::json& aRow)
{
  dispatch::CrashReport report;
  report.digest = unsignedOf(aRow.at(0));
  report.server = BackendServerId(aRow.at(1).get<std::string>());
  if (aRow.size() > kShortReportSize) {
    report.serverStartTimeMs = unixMillisOf(aRow.at(2));
    report.sentAtMs = unixMillisOf(aRow.at(3));
    report.lostAtMs = unixMillisOf(aRow.at(4));
    report.sharing =
      aRow.at(5).get<bool>() ? dispatch::DigestSharing::Common : dispatch::DigestSharing::Rare;
  }
  return report;
}

}
