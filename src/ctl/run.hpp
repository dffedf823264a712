#pragma once

#include "error.hpp"
#include "session.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace mustardplank::ctl {

/// Runs one command line without the program's name. Results go to aOut, errors and notes to
/// aErrors.
ExitCode
run(const std::vector<std::string>& aArguments,
    const Environment& aEnvironment,
    std::ostream& aOut,
    std::ostream& aErrors);

}
