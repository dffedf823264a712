#pragma once

#include "command_line.hpp"

#include "mustardplank/base/findings.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardplank::ctl {

/// Reads the values of options that were given; calls the setter of each. Ranges are left to the
/// instance, which knows them better.
///
///     OptionReader reader(line, findings);
///     reader.number("weight", [&](double aValue) { organisation.set_weight(aValue); });
class OptionReader
{
public:
  OptionReader(const CommandLine& aLine, Findings& aFindings);

  void text(std::string_view aName, const std::function<void(const std::string&)>& aSet);
  void number(std::string_view aName, const std::function<void(double)>& aSet);
  void integer(std::string_view aName, const std::function<void(std::uint32_t)>& aSet);
  void revision(std::string_view aName, const std::function<void(std::uint64_t)>& aSet);
  void yesNo(std::string_view aName, const std::function<void(bool)>& aSet);
  /// aSet gets the index of the value in aNames.
  void choice(std::string_view aName,
              const std::vector<std::string_view>& aNames,
              const std::function<void(std::size_t)>& aSet);
  /// An option that repeats, where only one value has a meaning.
  void single(std::string_view aName, const std::function<void(const std::string&)>& aSet);
  /// An empty value ("--pool=") means an empty list.
  void list(std::string_view aName,
            const std::function<void(const std::vector<std::string>&)>& aSet);

private:
  void report(std::string_view aName, const std::string& aMessage);

  const CommandLine& mLine;
  Findings& mFindings;
};

}
