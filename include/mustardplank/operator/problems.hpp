#pragma once

#include "mustardplank/operator/events.hpp"

#include <vector>

namespace mustardplank::operators {

/// What is wrong according to a status report and the configuration, each with the command that
/// helps, after the problems that the report already has. The most severe come first.
std::vector<Problem>
findProblems(const StatusReport& aReport, const config::State& aState);

}
