#pragma once

#include <string_view>
#include <vector>

namespace mustardplank::settings {

/// The known name that a misspelt one most likely stands for: the one with the fewest insertions,
/// removals, replacements and swaps of neighbours. Empty when none is close.
///
///     nearestName("drain_timeuot_ms", { "drain_timeout_ms", "policy" }); // "drain_timeout_ms"
std::string_view
nearestName(std::string_view aName, const std::vector<std::string_view>& aKnown);

}
