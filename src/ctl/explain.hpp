#pragma once

#include "run.hpp"

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace mustardplank::ctl {

/// The lines of one request, in the order of their times, and what became of it.
struct Explanation
{
  std::vector<std::string> lines;
  /// One sentence; says so when the cause is not in the lines.
  std::string cause;
};

/// Adds the lines of a request from a saved log. Lines of several instances may be mixed.
void
addLines(std::istream& aLog, std::string_view aRequest, Explanation& aExplanation);

/// Sorts the lines and names the cause.
void
concludeFrom(Explanation& aExplanation);

/// "explain ID FILE...": prints the lines of a request and its cause.
ExitCode
runExplain(const std::vector<std::string>& aArguments, std::ostream& aOut, std::ostream& aErrors);

}
