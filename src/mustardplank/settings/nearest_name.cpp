#include "mustardplank/settings/nearest_name.hpp"

#include <algorithm>
#include <cstddef>

namespace mustardplank::settings {

namespace {

/// Optimal string alignment distance, with three rows of the table.
std::size_t
editDistance(std::string_view aLeft, std::string_view aRight)
{
  const std::size_t width = aRight.size() + 1;
  std::vector<std::size_t> beforeLast(width);
  std::vector<std::size_t> last(width);
  std::vector<std::size_t> row(width);
  for (std::size_t j = 0; j < width; ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    beforeLast.swap(last);
    last.swap(row);
    row[0] = i;
    for (std::size_t j = 1; j < width; ++j) {
      const bool same = aLeft[i - 1] == aRight[j - 1];
      row[j] = std::min({ last[j] + 1, row[j - 1] + 1, last[j - 1] + (same ? 0 : 1) });
      const bool swapped =
        i > 1 && j > 1 && aLeft[i - 1] == aRight[j - 2] && aLeft[i - 2] == aRight[j - 1];
      if (swapped) {
        row[j] = std::min(row[j], beforeLast[j - 2] + 1);
      }
    }
  }
  return row.back();
}

}

std::string_view
nearestName(std::string_view aName, const std::vector<std::string_view>& aKnown)
{
  // Longer names are not misspelt names, and would make the comparison slow.
  constexpr std::size_t kMaxLength = 100;
  if (aName.size() > kMaxLength) {
    return {};
  }
  std::string_view nearest;
  // A third of the name may differ; beyond that a suggestion misleads more than it helps.
  std::size_t best = aName.size() / 3 + 2;
  for (const auto known : aKnown) {
    const std::size_t distance = editDistance(aName, known);
    if (distance < best) {
      best = distance;
      nearest = known;
    }
  }
  return nearest;
}

}
