#pragma once

#include "mustardplank/base/time.hpp"

#include <vector>

namespace mustardplank::pool {

/// Tracks the slot time that each request class is owed under its minimum share. In a pool with few
/// slots a share can be less than one slot; the class then gets a slot from time to time.
class MinShare
{
public:
  /// aShare: fraction of the slots, from 0 to 1.
  void setShare(int aClass, double aShare);
  void addRunning(int aClass) { ++entry(aClass).running; }
  void removeRunning(int aClass) { --entry(aClass).running; }
  /// Updates the credit of a class. aQueued: whether the class has queued requests. aSlots: usable
  /// slots of the pool.
  void advance(int aClass, bool aQueued, double aSlots, TimePoint aNow);
  /// Whether the class may take the next slot ahead of higher tiers, for a request that will hold
  /// it for aSlotTime.
  bool isEntitled(int aClass, double aSlots, Duration aSlotTime) const;
  double share(int aClass) const;
  int running(int aClass) const;
  std::size_t classCount() const { return mEntries.size(); }

private:
  struct Entry
  {
    double share = 0.0;
    int running = 0;
    /// Slot time owed.
    double creditSeconds = 0.0;
    TimePoint updatedAt;
    bool queued = false;
  };
  Entry& entry(int aClass);

  std::vector<Entry> mEntries;
};

}
