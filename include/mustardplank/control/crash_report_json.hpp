#pragma once

#include "mustardplank/dispatch/crash_suspects.hpp"

#include <nlohmann/json_fwd.hpp>

namespace mustardplank::control {

/// An array: digest, server, and what older versions leave out: the server's start time, the times
/// of sending and loss, and whether equal digests are common.
nlohmann::json
toJson(const dispatch::CrashReport& aReport);

/// Throws nlohmann::json::exception for a malformed report.
dispatch::CrashReport
crashReportFromJson(const nlohmann::json& aRow);

}
