#include "mustardplank/base/state_chart.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace mustardplank {

StateChart
StateChart::parse(std::string_view aText, Findings& aFindings)
{
  StateChart chart;
  const auto root = nlohmann::json::parse(aText, nullptr, false, true);
  if (!root.is_object() || !root.contains("states") || !root["states"].is_object()) {
    aFindings.add("chart", "expected an object with \"initial\" and \"states\"");
    return chart;
  }
  chart.mInitial = root.value("initial", "");
  for (const auto& [state, transitions] : root["states"].items()) {
    auto& targets = chart.mStates[state];
    for (const auto& [event, target] : transitions.items()) {
      if (!target.is_string()) {
        aFindings.add("state " + state + ", event " + event, "the target is not a string");
        continue;
      }
      targets.emplace(event, target.get<std::string>());
    }
  }
  chart.check(aFindings);
  return chart;
}

void
StateChart::check(Findings& aFindings) const
{
  std::set<std::string, std::less<>> reached{ mInitial };
  if (mStates.find(mInitial) == mStates.end()) {
    aFindings.add("initial", "no state \"" + mInitial + "\"");
  }
  for (const auto& [state, transitions] : mStates) {
    for (const auto& [event, target] : transitions) {
      if (mStates.find(target) == mStates.end()) {
        aFindings.add("state " + state + ", event " + event, "no state \"" + target + "\"");
      }
      if (target != state) {
        reached.insert(target);
      }
    }
  }
  for (const auto& [state, transitions] : mStates) {
    if (reached.find(state) == reached.end()) {
      aFindings.add("state " + state, "no transition leads to it");
    }
  }
}

std::vector<std::string>
StateChart::states() const
{
  std::vector<std::string> names;
  for (const auto& [state, transitions] : mStates) {
    names.push_back(state);
  }
  return names;
}

std::vector<std::string>
StateChart::events() const
{
  std::set<std::string> names;
  for (const auto& [state, transitions] : mStates) {
    for (const auto& [event, target] : transitions) {
      names.insert(event);
    }
  }
  return { names.begin(), names.end() };
}

std::optional<std::string>
StateChart::next(std::string_view aState, std::string_view aEvent) const
{
  const auto state = mStates.find(aState);
  if (state == mStates.end()) {
    return std::nullopt;
  }
  const auto target = state->second.find(aEvent);
  if (target == state->second.end()) {
    return std::nullopt;
  }
  return target->second;
}

}
