#include "mustardplank/lease/order_journal.hpp"

#include "mustardplank/config/fields.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::lease {

using config::FieldReader;
using config::FieldWriter;
using config::RecordKind;
using nlohmann::json;

namespace {

void
describe(auto& aFields, auto& aOrder)
{
  aFields.field("operation", aOrder.operation);
  aFields.field("duty", aOrder.key.duty, kDutyNames);
  aFields.field("failure_domain", aOrder.key.failureDomain);
  aFields.field("payload", aOrder.payload);
}

std::string
encodeIntent(const Order& aOrder, Offset aFence)
{
  json record = config::startRecord(RecordKind::OrderIntent);
  FieldWriter fields(record);
  describe(fields, aOrder);
  fields.field("fence", aFence);
  return record.dump();
}

std::string
encodeOutcome(const Order& aOrder, Offset aFence, const std::string& aOutcome)
{
  json record = config::startRecord(RecordKind::OrderOutcome);
  FieldWriter fields(record);
  fields.field("operation", aOrder.operation);
  fields.field("fence", aFence);
  fields.field("outcome", aOutcome);
  return record.dump();
}

}

OrderJournal::OrderJournal(JournalOptions aOptions)
  : mOptions(aOptions)
{
}

void
OrderJournal::submit(Order aOrder)
{
  const auto operation = aOrder.operation;
  Entry entry;
  entry.order = std::move(aOrder);
  if (mEntries.emplace(operation, std::move(entry)).second) {
    mOpen.push_back(operation);
  }
}

std::vector<JournalEffect>
OrderJournal::apply(const LogEntry& aEntry, const LeaseTable& aTable)
{
  std::vector<JournalEffect> effects;
  if (mNext && aEntry.offset < *mNext) {
    return effects;
  }
  mNext = aEntry.offset + 1;
  const auto kind = config::readableKind(*aEntry.record);
  if (kind == RecordKind::OrderIntent) {
    applyIntent(aEntry, aTable);
  } else if (kind == RecordKind::OrderOutcome) {
    if (auto effect = applyOutcome(*aEntry.record)) {
      effects.push_back(std::move(*effect));
    }
  } else if (kind == RecordKind::LeaseRenew && mOptions.checkFence) {
    dropRefuted(aTable);
  }
  return effects;
}

bool
OrderJournal::isRefuted(const Entry& aEntry, const LeaseTable& aTable)
{
  const auto* lease = aTable.find(aEntry.order.key);
  return lease != nullptr && aEntry.fence && *aEntry.fence < lease->fence &&
         lease->fence < aEntry.intent;
}

/// An instance that cannot see the claims learns of one from a renewal, possibly after intents that
/// the claim had made invalid.
void
OrderJournal::dropRefuted(const LeaseTable& aTable)
{
  std::erase_if(mOpen, [&](const OperationId& aOperation) {
    const auto it = mEntries.find(aOperation);
    const bool refuted = isRefuted(it->second, aTable);
    if (refuted) {
      mEntries.erase(it);
    }
    return refuted;
  });
}

void
OrderJournal::applyIntent(const LogEntry& aEntry, const LeaseTable& aTable)
{
  Order order;
  Offset fence = 0;
  Findings findings;
  FieldReader fields(*aEntry.record, "", findings);
  describe(fields, order);
  fields.field("fence", fence);
  const bool valid = !mOptions.checkFence || aTable.isCurrent(order.key, fence);
  if (!findings.empty() || !valid) {
    return;
  }
  submit(order);
  auto& entry = mEntries.at(order.operation);
  if (entry.settled || entry.fence == fence) {
    return;
  }
  entry.order = std::move(order);
  entry.fence = fence;
  entry.intent = aEntry.offset;
  // What this instance did or learnt under an older token is for the new holder to repeat.
  entry.executing = false;
  entry.outcome.reset();
  entry.lastTry.reset();
}

std::optional<JournalEffect>
OrderJournal::applyOutcome(const json& aRecord)
{
  OperationId operation;
  std::string outcome;
  Findings findings;
  FieldReader fields(aRecord, "", findings);
  fields.field("operation", operation);
  fields.field("outcome", outcome);
  const auto it = mEntries.find(operation);
  // An outcome is true whoever wrote it and whenever, so its fencing token does not matter.
  if (!findings.empty() || it == mEntries.end() || it->second.settled || !it->second.fence) {
    return std::nullopt;
  }
  const Settled effect{ it->second.order, outcome };
  settle(it->second);
  return effect;
}

void
OrderJournal::settle(Entry& aEntry)
{
  aEntry.settled = true;
  aEntry.order.payload.clear();
  aEntry.outcome.reset();
  std::erase(mOpen, aEntry.order.operation);
  mSettled.push_back(aEntry.order.operation);
  if (mSettled.size() > mOptions.rememberedOperations) {
    mEntries.erase(mSettled.front());
    mSettled.pop_front();
  }
}

std::optional<JournalEffect>
OrderJournal::step(Entry& aEntry, Offset aFence, TimePoint aNow)
{
  if (aEntry.executing || (aEntry.lastTry && aNow - *aEntry.lastTry < mOptions.retry)) {
    return std::nullopt;
  }
  aEntry.lastTry = aNow;
  if (aEntry.fence != aFence) {
    return AppendRecord{ encodeIntent(aEntry.order, aFence) };
  }
  if (aEntry.outcome) {
    return AppendRecord{ encodeOutcome(aEntry.order, aFence, *aEntry.outcome) };
  }
  aEntry.executing = true;
  return Execute{ aEntry.order, aFence };
}

std::vector<JournalEffect>
OrderJournal::tick(TimePoint aNow, const LeaseHolder& aHolder)
{
  std::vector<JournalEffect> effects;
  const auto open = mOpen;
  for (const auto& it : open) {
    auto& entry = mEntries.at(it);
    const auto fence = aHolder.mayAct(entry.order.key, aNow);
    if (fence) {
      if (auto effect = step(entry, *fence, aNow)) {
        effects.push_back(std::move(*effect));
      }
    } else if (!entry.fence) {
      std::erase(mOpen, it);
      mEntries.erase(it);
    }
  }
  return effects;
}

bool
OrderJournal::mayExecute(const Execute& aExecute, TimePoint aNow, const LeaseHolder& aHolder) const
{
  const auto it = mEntries.find(aExecute.order.operation);
  return it != mEntries.end() && !it->second.settled && it->second.fence == aExecute.fence &&
         aHolder.mayAct(aExecute.order.key, aNow) == aExecute.fence;
}

void
OrderJournal::executed(const Execute& aExecute, Execution aExecution, std::string aOutcome)
{
  const auto it = mEntries.find(aExecute.order.operation);
  if (it == mEntries.end() || it->second.settled || it->second.fence != aExecute.fence) {
    return;
  }
  it->second.executing = false;
  if (aExecution == Execution::Answered) {
    it->second.outcome = std::move(aOutcome);
    it->second.lastTry.reset();
  }
}

std::vector<Order>
OrderJournal::unresolved() const
{
  std::vector<Order> orders;
  for (const auto& it : mOpen) {
    orders.push_back(mEntries.at(it).order);
  }
  return orders;
}

}
