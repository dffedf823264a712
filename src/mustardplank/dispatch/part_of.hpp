#pragma once

#include "mustardplank/base/time.hpp"

#include <cstdint>

namespace mustardplank::dispatch {

inline Duration
partOf(Duration aDuration, double aPart)
{
  return Duration(static_cast<std::int64_t>(static_cast<double>(aDuration.count()) * aPart));
}

}
