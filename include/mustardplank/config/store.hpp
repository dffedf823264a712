#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/config/change.hpp"
#include "mustardplank/config/snapshot.hpp"
#include "mustardplank/config/state.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace mustardplank::config {

struct StoreOptions
{
  /// Switched off only by tests, to show what the mechanism prevents.
  bool expectedRevisions = true;
  bool tombstones = true;
  /// Operations by which repeats are recognised. 8192 are two and a half days at the 3,200 changes
  /// a day of the full size. Equal on all instances, as the outcome of a repeat depends on it.
  std::size_t rememberedOperations = 8192;
};

enum class Take
{
  /// The entry was the next one and is taken in.
  Taken,
  /// It was taken in before.
  Old,
  /// Entries before it are missing; read from next().
  Gap,
  /// It is a snapshot that covers the missing entries; read on from next(), which may be below the
  /// entry's offset.
  Adopted,
};

struct ApplyResult
{
  Take take = Take::Taken;
  /// Present when the entry is a change of the configuration.
  std::optional<OperationResult> operation;
};

struct StoreCounters
{
  /// Kinds that no module of this version knows.
  std::uint64_t unknownKinds = 0;
  /// Known kinds with a higher "v".
  std::uint64_t newerVersions = 0;
  /// Not to be read, or without kind.
  std::uint64_t invalidRecords = 0;
};

/// Builds the configuration from the log and lays withdrawals over it that are not in the log yet.
///
///     Store store;
///     for (const auto& entry : chunk.entries) {
///       if (store.apply(entry).take == Take::Adopted) { readAgainFrom(store.next()); break; }
///     }
///     publish(store.current());
class Store
{
public:
  explicit Store(StoreOptions aOptions = {});
  ~Store();
  Store(Store&&) noexcept;
  Store& operator=(Store&&) noexcept;

  /// Takes in one log entry, in order of offsets.
  ApplyResult apply(const platform::LogEntry& aEntry);
  /// Offset of the entry to read next.
  platform::Offset next() const;

  /// The configuration with pending withdrawals in force. Costs nothing until something changes.
  std::shared_ptr<const State> current() const;
  /// Rises whenever the objects of current() change; entries of other modules don't count.
  std::uint64_t changes() const;

  /// Puts a withdrawal in force at once. Returns whether it is new here, and so has to be passed on
  /// to peers and appended to the log. Anything but a withdrawal is ignored.
  bool addTombstone(const ChangeRecord& aRecord);
  /// Withdrawals in force that have not been seen in the log, oldest first. Whoever reaches the log
  /// appends them (encodeTombstone); the same one in the log twice takes effect once.
  std::vector<ChangeRecord> pendingTombstones() const;

  /// What the operation led to, if the log holds it and it is among those remembered; resolves an
  /// append whose answer was lost.
  std::optional<OperationResult> find(const OperationId& aOperation) const;

  /// A "config.snapshot" record of the log up to next(), without pending withdrawals.
  nlohmann::json snapshot() const;
  /// Continues from a peer's snapshot (the record as JSON) if that is ahead; otherwise changes
  /// nothing. Returns whether it did.
  bool adopt(const nlohmann::json& aSnapshot, Findings& aFindings);

  const StoreCounters& counters() const;
  /// What was wrong with the latest invalid records (at most 64 findings), each with its offset and
  /// field.
  const std::vector<Finding>& findings() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
