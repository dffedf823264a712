#pragma once

#include "mustardplank/once/records.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace mustardplank::once {

/// The state of each key, as a function of the log: free, held by the attempt whose intent came
/// first, or done.
class KeyTable
{
public:
  struct Key
  {
    Hash digest;
    Offset intent = 0;
    /// Offset of the outcome; none while held.
    std::optional<Offset> outcome;
    bool known = false;
  };

  struct Holder
  {
    std::string attempt;
    TimePoint readAt{};
  };

  /// Returns whether the intent holds the key; otherwise it counts for nothing.
  bool applyIntent(const IntentRecord& aRecord, Offset aOffset, TimePoint aNow);
  /// Returns whether the outcome ends the attempt that holds the key.
  bool applyOutcome(const OutcomeRecord& aRecord, Offset aOffset);
  /// Entries from here on are complete; before are unknown ones.
  void startAt(Offset aOffset) { mStart = aOffset; }

  const Key* find(const Hash& aKey) const;
  /// The attempt that holds the key, or nullptr.
  const Holder* holder(const Hash& aKey) const;
  std::size_t size() const { return mKeys.size(); }

  /// Forgets keys, oldest first, until at most aLimit are left; only those that the log has
  /// forgotten too, as a forgotten key looks new.
  void shrink(std::size_t aLimit, Offset aFirstRetained);

private:
  void finish(const OutcomeRecord& aRecord, Offset aOffset);

  Offset mStart = 0;
  std::unordered_map<Hash, Key, HashOfHash> mKeys;
  std::unordered_map<Hash, Holder, HashOfHash> mHolders;
  /// Keys with the offset of the latest record, in log order.
  std::deque<std::pair<Offset, Hash>> mOrder;
};

/// Stored responses by offset of their outcome, the newest ones up to a number of bytes.
class ResponseCache
{
public:
  explicit ResponseCache(std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
  }

  void add(Offset aOffset, const Response& aResponse);
  const Response* find(Offset aOffset) const;

private:
  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::map<Offset, Response> mResponses;
};

}
