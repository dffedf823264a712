#pragma once

#include <vector>

namespace mustardplank::load {

/// Latency, CPU and memory that the daemon adds to streams; prints "name=value" lines.
void
benchPath(const std::vector<unsigned>& aStreams);

/// Measures of the policies under load; prints
/// "<deployment>.<load>.<policy>.<measure>=<median over seeds>".
void
benchPolicy(unsigned aSeeds);

}
