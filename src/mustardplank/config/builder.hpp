#pragma once

#include "mustardplank/config/state.hpp"

#include <memory>
#include <utility>

namespace mustardplank::config {

/// Changes the objects of a State. States handed out before keep theirs.
class Builder
{
public:
  Builder() = default;
  explicit Builder(const State& aState)
    : mRevision(aState.mRevision)
    , mObjects(std::make_shared<Objects>(*aState.mObjects))
  {
  }

  platform::Offset revision() const { return mRevision; }
  void setRevision(platform::Offset aRevision) { mRevision = aRevision; }

  const Objects& objects() const { return *mObjects; }

  Objects& edit()
  {
    // A flag rather than the use count, which other threads lower without synchronisation.
    if (mShared) {
      mObjects = std::make_shared<Objects>(*mObjects);
      mShared = false;
    }
    return *mObjects;
  }

  State state() const
  {
    mShared = true;
    State state;
    state.mRevision = mRevision;
    state.mObjects = mObjects;
    return state;
  }

  /// The same objects as of a later revision that changed none of them.
  static State withRevision(const State& aState, platform::Offset aRevision)
  {
    State state = aState;
    state.mRevision = aRevision;
    return state;
  }

private:
  platform::Offset mRevision = 0;
  std::shared_ptr<Objects> mObjects = std::make_shared<Objects>();
  mutable bool mShared = false;
};

}
