#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/settings/settings.hpp"

#include <optional>
#include <string_view>

namespace mustardplank::settings {

/// "ip:port" with an IPv4 number and a port from 1 to 65535; nothing when it is anything else.
///
///     parseAddress("127.0.0.1:8080")->port; // 8080
///     parseAddress("localhost:8080");       // nothing: names are not resolved
std::optional<Address>
parseAddress(std::string_view aText);

/// Reads settings from JSON, in which comments are allowed (docs/settings.example.json has all
/// keys). Adds everything that is wrong to aFindings, each with "file:line path" and what to do
/// about it. The result may be used only if no finding was added; a value with a finding keeps its
/// default. A syntax error is the only finding, since nothing after it can be read.
///
///     Findings findings;
///     const auto settings = parseSettings(text, "settings.json", findings);
///     if (!findings.empty()) { std::cerr << findings.text(); return 1; }
Settings
parseSettings(std::string_view aText, std::string_view aFileName, Findings& aFindings);

}
