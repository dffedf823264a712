#pragma once

#include <set>
#include <string>

namespace explore {

/// Mechanisms that are switched off, to show that the exploration finds what they prevent.
class Switches
{
public:
  static const std::set<std::string>& names()
  {
    static const std::set<std::string> names{ "lease",     "expiry",      "claim-position",
                                              "fence",     "intent",      "expected-revision",
                                              "tombstone", "close-order", "copy" };
    return names;
  }
  void disable(const std::string& aName) { mOff.insert(aName); }
  bool isOn(const std::string& aName) const { return !mOff.contains(aName); }

private:
  std::set<std::string> mOff;
};

}
