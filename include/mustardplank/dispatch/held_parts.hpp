#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/instance_load.hpp"
#include "mustardplank/dispatch/job.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace mustardplank::dispatch {

/// Identifies a prompt part in messages and tables: the low half of a hash of its id, which is
/// equal on all instances.
using PartKey = std::uint32_t;

PartKey
partKeyOf(std::uint64_t aPartId);

/// The prompt parts that one server holds in its prefix cache, as it has reported them.
class HeldParts
{
public:
  /// Age above which the knowledge does not count. Longer than three of the messages that repeat
  /// it, as two in succession may be lost.
  static constexpr Duration kMaxAge = Millis(3500);

  void add(PartKey aPart) { mParts.insert(aPart); }
  void remove(PartKey aPart) { mParts.erase(aPart); }
  /// Nothing is held. aComplete: false if the server may hold parts that it has not reported, as
  /// reports were lost.
  void clear(bool aComplete);
  /// The knowledge was current at aAt.
  void confirm(TimePoint aAt);

  bool holds(PartKey aPart) const { return mParts.contains(aPart); }
  bool isComplete() const { return mComplete; }
  /// Time since the knowledge was last current; nothing if it never was.
  std::optional<Duration> age(TimePoint aNow) const;
  bool isFresh(TimePoint aNow) const;
  const std::unordered_set<PartKey>& parts() const { return mParts; }

private:
  std::unordered_set<PartKey> mParts;
  bool mComplete = true;
  std::optional<TimePoint> mConfirmedAt;
};

/// What is known of the servers that report what they hold. Changes of a server's parts show
/// without a further call.
using HeldPartsTable = std::map<ServerKey, std::shared_ptr<const HeldParts>>;

/// The prompt parts that this instance has sent to one server within the last second.
///
/// Load pattern: a burst of long prompts that share a part. Reports about the first of them arrive
/// only after the others were placed.
class RecentParts
{
public:
  static constexpr Duration kMemory = Seconds(1);

  void record(const std::vector<PromptPart>& aPrompt, TimePoint aNow);
  bool contains(PartKey aPart, TimePoint aNow) const;

private:
  static constexpr std::size_t kMaxParts = 256;

  /// Latest last.
  std::deque<std::pair<PartKey, TimePoint>> mParts;
};

/// Tokens of the leading parts that the server has reported or that were sent to it recently, up to
/// the first missing part.
std::uint32_t
countHeldTokens(const std::vector<PromptPart>& aPrompt,
                const HeldParts& aHeld,
                const RecentParts& aRecent,
                TimePoint aNow);

}
