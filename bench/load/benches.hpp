#pragma once

#include <string>
#include <vector>

namespace mustardplank::load {

/// Latency, CPU and memory that the daemon adds to streams; prints "name=value" lines.
void
benchPath(const std::vector<unsigned>& aStreams);

/// Measures of the policies under all loads or one; prints
/// "<deployment>.<load>.<policy>.<measure>=<median over seeds>".
void
benchPolicy(unsigned aSeeds, const std::string& aOnlyLoad);

}
