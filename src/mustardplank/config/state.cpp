#include "mustardplank/config/state.hpp"

namespace mustardplank::config {

const CallerKey*
State::findKey(std::string_view aHash) const
{
  const auto it = mObjects->keysByHash.find(aHash);
  if (it == mObjects->keysByHash.end()) {
    return nullptr;
  }
  return &mObjects->keys.at(it->second);
}

}
