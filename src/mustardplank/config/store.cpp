#include "mustardplank/config/store.hpp"

#include "mustardplank/config/apply.hpp"
#include "mustardplank/config/fields.hpp"
#include "mustardplank/config/operation_memory.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::config {

namespace {

constexpr std::size_t kMaxFindings = 64;

/// Whether the record is a known kind of a version above ours.
bool
isNewer(const nlohmann::json& aRecord)
{
  const auto version = aRecord.find("v");
  return kRecordKindNames.value(aRecord.at("kind").get_ref<const std::string&>()) &&
         version != aRecord.end() && wholeNumber(*version) > kRecordVersion;
}

bool
hasKind(const nlohmann::json& aRecord)
{
  return aRecord.is_object() && aRecord.contains("kind") && aRecord.at("kind").is_string();
}

bool
hasVersion(const nlohmann::json& aRecord)
{
  return aRecord.contains("v") && wholeNumber(aRecord.at("v"));
}

}

struct Store::Impl
{
  explicit Impl(StoreOptions aOptions)
    : options(aOptions)
    , operations(aOptions.rememberedOperations)
  {
  }

  StoreOptions options;
  Builder log;
  OperationMemory operations;
  std::vector<ChangeRecord> pending;
  StoreCounters counters;
  std::vector<Finding> findings;
  std::uint64_t changes = 0;
  mutable std::shared_ptr<const State> current;

  void changed()
  {
    ++changes;
    current = nullptr;
  }

  void report(platform::Offset aOffset, const Findings& aFindings)
  {
    ++counters.invalidRecords;
    for (const auto& it : aFindings.items()) {
      findings.push_back({ "log offset " + std::to_string(aOffset) + " " + it.place, it.message });
    }
    if (findings.size() > kMaxFindings) {
      findings.erase(findings.begin(), findings.end() - static_cast<std::ptrdiff_t>(kMaxFindings));
    }
  }

  /// Counts records that are skipped: unknown, newer or malformed.
  void countSkipped(const platform::LogEntry& aEntry)
  {
    const auto& record = *aEntry.record;
    if (!hasKind(record)) {
      Findings found;
      found.add("kind", "is missing");
      report(aEntry.offset, found);
    } else if (isNewer(record)) {
      ++counters.newerVersions;
    } else if (!kRecordKindNames.value(record.at("kind").get_ref<const std::string&>())) {
      ++counters.unknownKinds;
    } else if (!hasVersion(record)) {
      Findings found;
      found.add("v", "is missing");
      report(aEntry.offset, found);
    }
  }

  /// A malformed change still gets an outcome if its operation id can be read, so that the operator
  /// who waits for it is answered.
  std::optional<OperationResult> refuse(const platform::LogEntry& aEntry, const Findings& aFindings)
  {
    report(aEntry.offset, aFindings);
    const auto operation = aEntry.record->find("operation");
    if (operation == aEntry.record->end() || !operation->is_string()) {
      return std::nullopt;
    }
    const auto invalid = ChangeOutcome::Invalid;
    return remember(
      { OperationId(operation->get<std::string>()), invalid, invalid, 0, aFindings.text() });
  }

  OperationResult remember(OperationResult aResult)
  {
    if (const auto* known = operations.find(aResult.operation); known != nullptr) {
      OperationResult repeat = *known;
      repeat.outcome = ChangeOutcome::Duplicate;
      return repeat;
    }
    operations.add(aResult);
    dropPending(aResult.operation);
    return aResult;
  }

  void dropPending(const OperationId& aOperation)
  {
    const auto n = std::erase_if(
      pending, [&](const ChangeRecord& aRecord) { return aRecord.operation == aOperation; });
    if (n > 0) {
      changed();
    }
  }

  std::optional<OperationResult> applyRecord(const platform::LogEntry& aEntry)
  {
    Findings found;
    const auto record = decodeChange(*aEntry.record, found);
    if (!record) {
      return refuse(aEntry, found);
    }
    if (const auto* known = operations.find(record->operation); known != nullptr) {
      return remember(*known);
    }
    const auto outcome = applyChange(*record, aEntry.offset + 1, options.expectedRevisions, log);
    if (outcome.outcome == ChangeOutcome::Accepted) {
      changed();
    }
    return remember(outcome);
  }

  ApplyResult applyNext(const platform::LogEntry& aEntry)
  {
    ApplyResult result;
    const auto kind = readableKind(*aEntry.record);
    if (kind == RecordKind::ConfigChange || kind == RecordKind::Tombstone) {
      result.operation = applyRecord(aEntry);
    } else if (!kind) {
      countSkipped(aEntry);
    }
    log.setRevision(aEntry.offset + 1);
    return result;
  }

  bool adopt(const nlohmann::json& aRecord, Findings& aFindings)
  {
    const auto snapshot = decodeSnapshot(aRecord, aFindings);
    if (!snapshot || snapshot->state.revision() <= log.revision()) {
      return false;
    }
    log = Builder(snapshot->state);
    operations.clear();
    for (const auto& it : snapshot->operations) {
      operations.add(it);
      dropPending(it.operation);
    }
    changed();
    return true;
  }

  ApplyResult applyAfterGap(const platform::LogEntry& aEntry)
  {
    Findings found;
    if (readableKind(*aEntry.record) == RecordKind::ConfigSnapshot &&
        adopt(*aEntry.record, found)) {
      return { Take::Adopted, std::nullopt };
    }
    if (!found.empty()) {
      report(aEntry.offset, found);
    }
    return { Take::Gap, std::nullopt };
  }

  bool isOverlaid() const
  {
    return options.tombstones &&
           std::any_of(pending.begin(), pending.end(), [&](const ChangeRecord& aRecord) {
             return changesAnything(aRecord.change, log.objects());
           });
  }

  State build() const
  {
    const State state = log.state();
    if (!isOverlaid()) {
      return state;
    }
    Builder overlaid(state);
    for (const auto& it : pending) {
      overlayWithdrawal(it.change, overlaid.edit());
    }
    return overlaid.state();
  }
};

Store::Store(StoreOptions aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

Store::~Store() = default;
Store::Store(Store&&) noexcept = default;
Store&
Store::operator=(Store&&) noexcept = default;

ApplyResult
Store::apply(const platform::LogEntry& aEntry)
{
  if (aEntry.offset < mImpl->log.revision()) {
    return { Take::Old, std::nullopt };
  }
  if (aEntry.offset > mImpl->log.revision()) {
    return mImpl->applyAfterGap(aEntry);
  }
  return mImpl->applyNext(aEntry);
}

platform::Offset
Store::next() const
{
  return mImpl->log.revision();
}

std::shared_ptr<const State>
Store::current() const
{
  auto& current = mImpl->current;
  if (!current) {
    current = std::make_shared<const State>(mImpl->build());
  } else if (current->revision() != next()) {
    // Only the revision moved: the objects are shared with the earlier state.
    current = std::make_shared<const State>(Builder::withRevision(*current, next()));
  }
  return current;
}

std::uint64_t
Store::changes() const
{
  return mImpl->changes;
}

bool
Store::addTombstone(const ChangeRecord& aRecord)
{
  auto& pending = mImpl->pending;
  const bool known = mImpl->operations.find(aRecord.operation) != nullptr ||
                     std::any_of(pending.begin(), pending.end(), [&](const ChangeRecord& aPending) {
                       return aPending.operation == aRecord.operation;
                     });
  if (known || !isWithdrawal(aRecord.change)) {
    return false;
  }
  pending.push_back(aRecord);
  mImpl->changed();
  return true;
}

std::vector<ChangeRecord>
Store::pendingTombstones() const
{
  return mImpl->pending;
}

std::optional<OperationResult>
Store::find(const OperationId& aOperation) const
{
  const auto* known = mImpl->operations.find(aOperation);
  return known == nullptr ? std::nullopt : std::optional(*known);
}

nlohmann::json
Store::snapshot() const
{
  return encodeSnapshot({ mImpl->log.state(), mImpl->operations.list() });
}

bool
Store::adopt(const nlohmann::json& aSnapshot, Findings& aFindings)
{
  return mImpl->adopt(aSnapshot, aFindings);
}

const StoreCounters&
Store::counters() const
{
  return mImpl->counters;
}

const std::vector<Finding>&
Store::findings() const
{
  return mImpl->findings;
}

}
