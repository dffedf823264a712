#pragma once

#include "mustardplank/base/time.hpp"

#include <algorithm>
#include <cmath>

namespace mustardplank {

/// aMicros microseconds, at most kMaxDuration in either direction; zero if it is not a number. The
/// conversion of a number to an integer that cannot hold it has another result on each machine.
inline Duration
durationFromMicros(double aMicros)
{
  constexpr auto kMax = static_cast<double>(kMaxDuration.count());
  return std::isnan(aMicros)
           ? Duration{}
           : Duration(static_cast<Duration::rep>(std::clamp(aMicros, -kMax, kMax)));
}

}
