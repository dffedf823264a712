#pragma once

#include "mustardplank/operator/events.hpp"

#include <vector>

namespace mustardplank::operators {

/// Revision of the newest change in a configuration. An instance whose revision is at least this
/// has all changes in force; its own revision also counts log records that are no changes.
config::Revision
newestChange(const config::State& aState);

/// What is wrong according to a status report and the configuration, each with the command that
/// helps, after the problems that the report already has. The most severe come first.
std::vector<Problem>
findProblems(const StatusReport& aReport, const config::State& aState);

}
