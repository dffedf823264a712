#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>

namespace mustardplank::dispatch {

inline Duration
scaleDuration(Duration aDuration, double aFactor)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

}
