#pragma once

#include <unordered_map>
#include <vector>

namespace mustardplank::pool {

/// Maps ids to consecutive numbers from 0, so that the queue compares and indexes numbers instead
/// of strings.
template<typename Key>
class Interner
{
public:
  /// Returns the number of aKey, and assigns the next one if the key is new.
  int intern(const Key& aKey)
  {
    const auto [it, added] = mIndex.try_emplace(aKey, static_cast<int>(mKeys.size()));
    if (added) {
      mKeys.push_back(aKey);
    }
    return it->second;
  }
  const Key& key(int aIndex) const { return mKeys[static_cast<std::size_t>(aIndex)]; }
  std::size_t size() const { return mKeys.size(); }

private:
  std::unordered_map<Key, int> mIndex;
  std::vector<Key> mKeys;
};

}
