#include "mustardplank/config/apply.hpp"

#include "mustardplank/config/validate.hpp"

#include <utility>

namespace mustardplank::config {

namespace {

template<typename Map, typename Key>
auto*
findIn(Map& aMap, const Key& aId)
{
  const auto it = aMap.find(aId);
  return it == aMap.end() ? nullptr : &it->second;
}

auto*
findTarget(const PutOrganisation& aChange, auto& aObjects)
{
  return findIn(aObjects.organisations, aChange.organisation.id);
}
auto*
findTarget(const PutKey& aChange, auto& aObjects)
{
  return findIn(aObjects.keys, aChange.key.id);
}
auto*
findTarget(const PutClass& aChange, auto& aObjects)
{
  return findIn(aObjects.classes, aChange.requestClass.id);
}
auto*
findTarget(const PutFailureDomain& aChange, auto& aObjects)
{
  return findIn(aObjects.failureDomains, aChange.failureDomain.id);
}
auto*
findTarget(const PutPool& aChange, auto& aObjects)
{
  return findIn(aObjects.pools, aChange.pool.id);
}
auto*
findTarget(const PutServer& aChange, auto& aObjects)
{
  return findIn(aObjects.servers, aChange.server.id);
}
auto*
findTarget(const WithdrawKey& aChange, auto& aObjects)
{
  return findIn(aObjects.keys, aChange.key);
}
auto*
findTarget(const WithdrawServer& aChange, auto& aObjects)
{
  return findIn(aObjects.servers, aChange.server);
}
auto*
findTarget(const TakeOutFailureDomain& aChange, auto& aObjects)
{
  return findIn(aObjects.failureDomains, aChange.failureDomain);
}
auto*
findTarget(const BringBackFailureDomain& aChange, auto& aObjects)
{
  return findIn(aObjects.failureDomains, aChange.failureDomain);
}
auto*
findTarget(const SetServerDraining& aChange, auto& aObjects)
{
  return findIn(aObjects.servers, aChange.server);
}

Revision
revisionOf(const Change& aChange, const Objects& aObjects)
{
  return std::visit(
    [&](const auto& aOne) {
      const auto* target = findTarget(aOne, aObjects);
      return target == nullptr ? Revision(0) : target->revision;
    },
    aChange);
}

/// Applies a valid change. aExpected tells whether the change named the object's revision.
struct Edit
{
  Objects& objects;
  Revision revision;
  bool expected;

  void operator()(const PutOrganisation& aChange) const
  {
    put(objects.organisations, aChange.organisation);
  }
  void operator()(const PutKey& aChange) const
  {
    if (const auto* old = findTarget(aChange, objects); old != nullptr) {
      objects.keysByHash.erase(old->hash);
    }
    auto& key = put(objects.keys, aChange.key);
    key.withdrawn = false;
    objects.keysByHash[key.hash] = key.id;
  }
  void operator()(const PutClass& aChange) const { put(objects.classes, aChange.requestClass); }
  void operator()(const PutFailureDomain& aChange) const
  {
    const auto* old = findTarget(aChange, objects);
    const bool out = old != nullptr && old->out;
    put(objects.failureDomains, aChange.failureDomain).out = out;
  }
  void operator()(const PutPool& aChange) const { put(objects.pools, aChange.pool); }
  void operator()(const PutServer& aChange) const
  {
    // A change that expects no revision may be older than the withdrawal and must not undo it.
    const auto* old = findTarget(aChange, objects);
    const bool withdrawn = old != nullptr && old->withdrawn && !expected;
    put(objects.servers, aChange.server).withdrawn = withdrawn;
  }
  void operator()(const WithdrawKey& aChange) const
  {
    auto* target = findTarget(aChange, objects);
    target->withdrawn = true;
    target->revision = revision;
  }
  void operator()(const WithdrawServer& aChange) const
  {
    auto* target = findTarget(aChange, objects);
    target->withdrawn = true;
    target->revision = revision;
  }
  void operator()(const TakeOutFailureDomain& aChange) const
  {
    auto* target = findTarget(aChange, objects);
    target->out = true;
    target->revision = revision;
  }
  void operator()(const BringBackFailureDomain& aChange) const
  {
    auto* target = findTarget(aChange, objects);
    target->out = false;
    target->revision = revision;
  }
  void operator()(const SetServerDraining& aChange) const
  {
    auto* target = findTarget(aChange, objects);
    target->draining = aChange.draining;
    target->revision = revision;
  }

  template<typename Map, typename Value>
  Value& put(Map& aMap, const Value& aValue) const
  {
    Value& stored = aMap[aValue.id] = aValue;
    stored.revision = revision;
    return stored;
  }
};

bool
isConflict(const ChangeRecord& aRecord, Revision aCurrent)
{
  return aRecord.expected && !isWithdrawal(aRecord.change) && *aRecord.expected != aCurrent;
}

OperationResult
result(const ChangeRecord& aRecord,
       ChangeOutcome aOutcome,
       Revision aRevision,
       std::string aMessage = "")
{
  return { aRecord.operation, aOutcome, aOutcome, aRevision, std::move(aMessage) };
}

}

OperationResult
applyChange(const ChangeRecord& aRecord, Revision aRevision, bool aCheckExpected, Builder& aBuilder)
{
  const Revision current = revisionOf(aRecord.change, aBuilder.objects());
  if (aCheckExpected && isConflict(aRecord, current)) {
    return result(aRecord,
                  ChangeOutcome::Conflict,
                  current,
                  "the object's revision is " + std::to_string(current) + ", not " +
                    std::to_string(*aRecord.expected));
  }
  if (auto why = whyInvalid(aRecord.change, aBuilder.objects()); !why.empty()) {
    return result(aRecord, ChangeOutcome::Invalid, current, std::move(why));
  }
  std::visit(Edit{ aBuilder.edit(), aRevision, aRecord.expected.has_value() }, aRecord.change);
  return result(aRecord, ChangeOutcome::Accepted, aRevision);
}

void
overlayWithdrawal(const Change& aChange, Objects& aObjects)
{
  if (!changesAnything(aChange, aObjects)) {
    return;
  }
  const Revision kept = revisionOf(aChange, aObjects);
  std::visit(Edit{ aObjects, kept, true }, aChange);
}

bool
changesAnything(const Change& aWithdrawal, const Objects& aObjects)
{
  if (!isWithdrawal(aWithdrawal)) {
    return false;
  }
  return std::visit(
    [&](const auto& aOne) {
      const auto* target = findTarget(aOne, aObjects);
      if (target == nullptr) {
        return false;
      }
      if constexpr (requires { target->withdrawn; }) {
        return !target->withdrawn;
      } else if constexpr (requires { target->out; }) {
        return !target->out;
      } else {
        return false;
      }
    },
    aWithdrawal);
}

}
