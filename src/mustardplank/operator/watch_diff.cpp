#include "watch_diff.hpp"

#include <algorithm>
#include <map>

namespace mustardplank::operators {

namespace {

std::string
describe(const config::Organisation&)
{
  return "";
}

std::string
describe(const config::CallerKey& aKey)
{
  return "of organisation " + aKey.organisation.str() + (aKey.withdrawn ? ", withdrawn" : "");
}

std::string
describe(const config::RequestClass& aClass)
{
  return "tier " + std::to_string(aClass.tier);
}

std::string
describe(const config::FailureDomain& aDomain)
{
  return aDomain.out ? "out" : "in service";
}

std::string
describe(const config::Pool& aPool)
{
  return std::string(config::kPoolKindNames.name(aPool.kind)) + " pool, " +
         std::to_string(aPool.minServers) + " to " + std::to_string(aPool.maxServers) + " servers";
}

std::string
describe(const config::BackendServer& aServer)
{
  std::string text = "of pool " + aServer.pool.str() + " in " + aServer.failureDomain.str();
  if (aServer.withdrawn) {
    return text + ", withdrawn";
  }
  return aServer.draining ? text + ", draining" : text;
}

v1::WatchEvent
makeEvent(v1::ObjectKind aKind, v1::WatchChange aChange, std::string aId, std::string aText)
{
  v1::WatchEvent event;
  event.set_kind(aKind);
  event.set_change(aChange);
  event.set_id(std::move(aId));
  event.set_text(std::move(aText));
  return event;
}

template<typename Id, typename Object>
void
diff(v1::ObjectKind aKind,
     const std::map<Id, Object>& aBefore,
     const std::map<Id, Object>& aAfter,
     std::vector<v1::WatchEvent>& aEvents)
{
  for (const auto& [id, object] : aAfter) {
    const auto it = aBefore.find(id);
    if (it == aBefore.end()) {
      aEvents.push_back(makeEvent(aKind, v1::WATCH_CHANGE_ADDED, id.str(), describe(object)));
    } else if (it->second.revision != object.revision || describe(it->second) != describe(object)) {
      // A tombstone changes an object before it has a revision from the log.
      aEvents.push_back(makeEvent(aKind, v1::WATCH_CHANGE_CHANGED, id.str(), describe(object)));
    }
  }
  for (const auto& [id, object] : aBefore) {
    if (aAfter.find(id) == aAfter.end()) {
      aEvents.push_back(makeEvent(aKind, v1::WATCH_CHANGE_REMOVED, id.str(), describe(object)));
    }
  }
}

bool
isSame(const Problem& aLeft, const Problem& aRight)
{
  return aLeft.where == aRight.where && aLeft.severity == aRight.severity &&
         aLeft.command == aRight.command;
}

/// Those of aLeft that have no counterpart in aRight.
void
addMissing(const std::vector<Problem>& aLeft,
           const std::vector<Problem>& aRight,
           v1::WatchChange aChange,
           std::vector<v1::WatchEvent>& aEvents)
{
  for (const auto& problem : aLeft) {
    const auto same = [&](const Problem& aOther) { return isSame(problem, aOther); };
    if (std::none_of(aRight.begin(), aRight.end(), same)) {
      const std::string text =
        std::string(kSeverityNames.name(problem.severity)) + ": " + problem.what;
      aEvents.push_back(makeEvent(v1::OBJECT_KIND_PROBLEM, aChange, problem.where, text));
    }
  }
}

}

std::vector<v1::WatchEvent>
diffStates(const config::State& aBefore, const config::State& aAfter)
{
  std::vector<v1::WatchEvent> events;
  diff(v1::OBJECT_KIND_ORGANISATION, aBefore.organisations(), aAfter.organisations(), events);
  diff(v1::OBJECT_KIND_KEY, aBefore.keys(), aAfter.keys(), events);
  diff(v1::OBJECT_KIND_CLASS, aBefore.classes(), aAfter.classes(), events);
  diff(v1::OBJECT_KIND_FAILURE_DOMAIN, aBefore.failureDomains(), aAfter.failureDomains(), events);
  diff(v1::OBJECT_KIND_POOL, aBefore.pools(), aAfter.pools(), events);
  diff(v1::OBJECT_KIND_SERVER, aBefore.servers(), aAfter.servers(), events);
  for (auto& it : events) {
    it.set_state_revision(aAfter.revision());
  }
  return events;
}

std::vector<v1::WatchEvent>
diffProblems(const std::vector<Problem>& aBefore, const std::vector<Problem>& aAfter)
{
  std::vector<v1::WatchEvent> events;
  addMissing(aAfter, aBefore, v1::WATCH_CHANGE_ADDED, events);
  addMissing(aBefore, aAfter, v1::WATCH_CHANGE_REMOVED, events);
  return events;
}

}
