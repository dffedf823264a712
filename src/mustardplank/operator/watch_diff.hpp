#pragma once

#include "mustardplank/config/state.hpp"
#include "mustardplank/operator/events.hpp"

#include <mustardplank.pb.h>

#include <vector>

namespace mustardplank::operators {

/// Objects added, changed or removed between two states, each as one event.
std::vector<v1::WatchEvent>
diffStates(const config::State& aBefore, const config::State& aAfter);

/// Problems that appeared or ended. A problem whose text alone changes, as the number of seconds in
/// it, is the same problem; it is told apart by place, severity and command.
std::vector<v1::WatchEvent>
diffProblems(const std::vector<Problem>& aBefore, const std::vector<Problem>& aAfter);

}
