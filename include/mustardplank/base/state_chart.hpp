#pragma once

#include "mustardplank/base/findings.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank {

/// A state machine read from a chart file:
///
///     { "initial": "cold", "states": { "cold": { "warm": "serving" }, "serving": { "fail": "cold"
///     } } }
///
/// Each state maps event names to target states. An event that a state does not name leaves it
/// unchanged.
class StateChart
{
public:
  /// Reads a chart; unknown targets, states out of reach and wrong types are added to aFindings.
  static StateChart parse(std::string_view aText, Findings& aFindings);

  const std::string& initial() const { return mInitial; }
  std::vector<std::string> states() const;
  /// All events that any state reacts to, each once, sorted.
  std::vector<std::string> events() const;
  /// The target state, or nothing if aState does not react to aEvent.
  std::optional<std::string> next(std::string_view aState, std::string_view aEvent) const;

private:
  using Transitions = std::map<std::string, std::string, std::less<>>;
  void check(Findings& aFindings) const;

  std::string mInitial;
  std::map<std::string, Transitions, std::less<>> mStates;
};

}
