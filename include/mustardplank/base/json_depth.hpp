#pragma once

#include <string_view>

namespace mustardplank {

/// Levels that a JSON document of others may have.
inline constexpr int kMaxJsonDepth = 64;

/// Whether a JSON text has more than aMaxDepth levels of arrays and objects. Copies, comparisons
/// and dumps of a parsed document are recursive, so that texts of others are checked before.
bool
isDeeperThan(std::string_view aJson, int aMaxDepth);

}
