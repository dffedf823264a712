#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::agent {

/// What an instance hands to another one of a keyed log.
struct LogPart
{
  /// The records replace everything known before; else they are changes to it.
  bool full = false;
  /// In the order of their offsets; those without a value remove their key.
  std::vector<control::Record> records;
  /// The records contain all changes below this offset.
  control::Offset next = 0;
};

/// The newest record of each key of a log, and the changes that other instances may still lack. It
/// is filled from the store or from another instance's LogPart, and knows up to which moment it is
/// complete. Does no I/O.
///
/// A renewal, which is a record that differs from the one before only in what the digest leaves
/// out, counts as no change.
class KeyedView
{
public:
  using Digest = std::uint64_t (*)(const control::Record&);

  /// Removed keys that are remembered.
  static constexpr std::size_t kMaxRemovals = 2048;

  /// aDigest: StoreDialect::serverDigest() or the like; nullptr if every record is a change.
  explicit KeyedView(Digest aDigest = nullptr);

  /// Replaces everything by the newest record of each key, unless more is known already. Returns
  /// the differences as records.
  std::vector<control::Record> replace(std::vector<control::Record> aRecords, control::Offset aEnd);
  /// Applies the records that follow, up to aEnd. Returns those that are changes.
  std::vector<control::Record> apply(std::vector<control::Record> aRecords, control::Offset aEnd);
  /// Applies what another instance has handed on. Returns the changes.
  std::vector<control::Record> apply(LogPart aPart);

  /// When a request to the store was sent, and its response received.
  struct ReadTimes
  {
    TimePoint sentAt{};
    TimePoint receivedAt{};
    /// How long the store was to wait for the first record.
    Duration wait{};
  };
  /// Applies a response to a read from next() on, and confirms what it shows to be complete.
  /// Returns the changes.
  std::vector<control::Record> applyRead(control::RecordBatch aBatch, const ReadTimes& aTimes);

  /// All changes of the log made before aAt are contained.
  void confirm(TimePoint aAt);
  /// Time since the moment up to which all changes are contained; nothing before the first one.
  std::optional<Duration> age(TimePoint aNow) const;

  /// Nothing has been read before the first replace().
  bool isKnown() const { return mKnown; }
  /// All changes below this offset are contained.
  control::Offset next() const { return mNext; }
  /// Offset after the newest change; renewals do not move it.
  control::Offset lastChange() const { return mLastChange; }

  /// The changes from aFrom on; everything if aFrom is nothing or its changes are forgotten.
  LogPart changesSince(std::optional<control::Offset> aFrom) const;

private:
  struct Entry
  {
    control::Offset offset = 0;
    /// Nothing for a removed key.
    std::optional<std::string> value;
  };

  enum class Renewals
  {
    /// The entry keeps its offset, so that the renewal is not handed on.
    Skip,
    /// The entry takes the renewal's offset: changes between the two may have been missed.
    Store,
  };

  /// Stores the record; returns whether it is a change.
  bool store(const control::Record& aRecord, Renewals aRenewals);
  void forgetRemovals();

  Digest mDigest;
  bool mKnown = false;
  control::Offset mNext = 0;
  control::Offset mLastChange = 0;
  /// Changes below this offset may be missing from mEntries, as removals were forgotten.
  control::Offset mCompleteFrom = 0;
  std::map<std::string, Entry> mEntries;
  /// Keys by the offset of their entry.
  std::map<control::Offset, std::string> mByOffset;
  std::size_t mRemovals = 0;
  std::optional<TimePoint> mConfirmedAt;
};

}
