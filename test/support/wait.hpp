#pragma once

#include "mustardplank/base/time.hpp"

#include <chrono>
#include <thread>

namespace mustardplank::support {

/// Polls aCondition every 20 ms. Returns whether it became true within aBound.
template<typename Condition>
bool
waitUntil(Duration aBound, Condition&& aCondition)
{
  constexpr Millis kPeriod{ 20 };
  const auto until = std::chrono::steady_clock::now() + aBound;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPeriod);
  }
  return true;
}

}
