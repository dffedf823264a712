#pragma once

#include "mustardplank/config/change.hpp"
#include "mustardplank/config/state.hpp"

#include <string>

namespace mustardplank::config {

/// What makes the change impossible in this configuration: values out of range and references to
/// what does not exist. Empty when there is nothing.
std::string
whyInvalid(const Change& aChange, const Objects& aObjects);

}
