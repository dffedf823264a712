#pragma once

#include "mustardplank/pool/messages.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace mustardplank::daemon {

/// Whether a log record is a map whose "kind" is aKind.
bool
isKind(const nlohmann::json& aRecord, const char* aKind);

/// The log record of kind "crash.report", as JSON.
std::string
encodeCrashRecord(const pool::CrashReport& aReport);

/// Nothing when the record is of another kind or a field is wrong.
std::optional<pool::CrashReport>
decodeCrashRecord(const nlohmann::json& aRecord);

}
