#pragma once

#include <string>
#include <vector>

namespace mustardplank {

/// One thing wrong with an input, and where.
struct Finding
{
  /// For example "settings.json:12 listen.callers" or "field class".
  std::string place;
  std::string message;
};

/// Collects everything wrong with an input, so that it is reported at once.
///
///     Findings findings;
///     findings.add("line 3", "unknown field \"tires\"; did you mean \"tiers\"?");
///     if (!findings.empty()) { std::cerr << findings.text(); }
class Findings
{
public:
  void add(std::string aPlace, std::string aMessage);
  bool empty() const { return mItems.empty(); }
  std::size_t size() const { return mItems.size(); }
  const std::vector<Finding>& items() const { return mItems; }
  /// One "place: message" line for each finding.
  std::string text() const;

private:
  std::vector<Finding> mItems;
};

}
