#pragma once

#include <string>
#include <vector>

namespace mustardplank::load {

/// Latency, CPU and memory that the daemon adds to streams; prints "name=value" lines.
void
benchPath(const std::vector<unsigned>& aStreams);

/// What an idle instance spends on control with so many instances and backend servers in one
/// failure domain; prints "<measure>.<instances>.<servers>=<value>".
void
benchControl(const std::vector<unsigned>& aInstances);

/// Measures of the policies under all loads or one; prints
/// "<deployment>.<load>.<policy>.<measure>=<median over seeds>".
void
benchPolicy(unsigned aSeeds, const std::string& aOnlyLoad);

}
