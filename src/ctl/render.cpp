#include "render.hpp"

#include "table.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <sstream>
#include <vector>

namespace mustardplank::ctl {

namespace {

std::string
number(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
number(std::uint64_t aValue)
{
  return std::to_string(aValue);
}

/// For limits, where 0 means none.
template<typename T>
std::string
limit(T aValue)
{
  return aValue == 0 ? "none" : number(aValue);
}

std::string
yesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string
seconds(std::uint64_t aMillis)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << static_cast<double>(aMillis) / 1000.0 << " s";
  return text.str();
}

template<typename List>
std::string
joined(const List& aList)
{
  std::string text;
  for (const auto& it : aList) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text.empty() ? "-" : text;
}

std::string
orDash(const std::string& aText)
{
  return aText.empty() ? "-" : aText;
}

std::string
orNone(const Table& aTable, const std::string& aThings)
{
  return aTable.empty() ? "There are no " + aThings + ".\n" : aTable.text();
}

std::string
serverState(const v1::BackendServer& aServer)
{
  if (aServer.withdrawn()) {
    return "withdrawn";
  }
  return aServer.draining() ? "draining" : "in service";
}

std::string
severityName(v1::Severity aSeverity)
{
  switch (aSeverity) {
    case v1::SEVERITY_CRITICAL:
      return "CRITICAL";
    case v1::SEVERITY_WARNING:
      return "WARNING";
    default:
      return "INFO";
  }
}

std::string
kindName(v1::ObjectKind aKind)
{
  switch (aKind) {
    case v1::OBJECT_KIND_ORGANISATION:
      return "organisation";
    case v1::OBJECT_KIND_KEY:
      return "key";
    case v1::OBJECT_KIND_CLASS:
      return "class";
    case v1::OBJECT_KIND_FAILURE_DOMAIN:
      return "failure-domain";
    case v1::OBJECT_KIND_POOL:
      return "pool";
    case v1::OBJECT_KIND_SERVER:
      return "server";
    case v1::OBJECT_KIND_PROBLEM:
      return "problem";
    default:
      return "watch";
  }
}

std::string
changeName(const v1::WatchEvent& aEvent)
{
  const bool isProblem = aEvent.kind() == v1::OBJECT_KIND_PROBLEM;
  switch (aEvent.change()) {
    case v1::WATCH_CHANGE_ADDED:
      return isProblem ? "began" : "added";
    case v1::WATCH_CHANGE_CHANGED:
      return "changed";
    case v1::WATCH_CHANGE_REMOVED:
      return isProblem ? "ended" : "removed";
    default:
      return "started";
  }
}

std::string
renderProblems(const v1::StatusReport& aReport)
{
  if (aReport.problems().empty()) {
    return "No problems seen.\n";
  }
  std::string text;
  for (const auto& it : aReport.problems()) {
    text += severityName(it.severity()) + "  " + printable(it.where()) + "\n    " +
            printable(it.what()) + "\n    try: " + printable(it.command()) + "\n";
  }
  return text;
}

std::string
renderPools(const v1::StatusReport& aReport)
{
  Table table({ "POOL", "OWNER", "WAITING HERE", "RUNNING HERE", "QUEUED", "RUNNING", "BACKLOG" });
  for (const auto& it : aReport.pools()) {
    std::vector<std::string> cells{
      it.pool(), orDash(it.owner()), number(it.waiting_here()), number(it.running_here())
    };
    if (it.has_owned()) {
      const auto& owned = it.owned();
      cells.push_back(number(owned.queued()));
      cells.push_back(number(owned.running()));
      cells.push_back(owned.rebuilding() ? "rebuilding" : seconds(owned.backlog_ms()));
    } else {
      cells.insert(cells.end(), { "-", "-", "ask owner" });
    }
    table.add(std::move(cells));
  }
  return orNone(table, "pools");
}

/// The instances that a report knows, the answering one first.
std::vector<v1::InstanceStatus>
allInstances(const v1::StatusReport& aReport)
{
  v1::InstanceStatus self;
  self.set_id(aReport.instance());
  self.set_failure_domain(aReport.failure_domain());
  self.set_state("live");
  self.set_config_revision(aReport.config_revision());
  std::vector<v1::InstanceStatus> instances{ self };
  for (const auto& it : aReport.instances()) {
    if (it.id() == aReport.instance()) {
      instances.front().set_state(it.state());
    } else {
      instances.push_back(it);
    }
  }
  return instances;
}

}

std::string
render(const v1::OrganisationList& aList)
{
  Table table({ "ORGANISATION",
                "WEIGHT",
                "CONCURRENT",
                "RATE",
                "ALLOWED CLASSES",
                "DEFAULT",
                "ISOLATION",
                "REVISION" });
  for (const auto& it : aList.organisations()) {
    table.add({ it.id(),
                number(it.weight()),
                limit(std::uint64_t(it.max_concurrent())),
                limit(it.request_rate()),
                joined(it.allowed_classes()),
                orDash(it.default_class()),
                it.isolation() == v1::ISOLATION_REFUSE ? "refuse" : "serve",
                number(it.revision()) });
  }
  return orNone(table, "organisations");
}

std::string
render(const v1::KeyList& aList)
{
  Table table({ "KEY", "ORGANISATION", "STATE", "REVISION" });
  for (const auto& it : aList.keys()) {
    table.add({ it.id(),
                it.organisation(),
                it.withdrawn() ? "withdrawn" : "in force",
                number(it.revision()) });
  }
  return orNone(table, "keys");
}

std::string
render(const v1::ClassList& aList)
{
  Table table({ "CLASS",
                "TIER",
                "FIRST TOKEN",
                "PER TOKEN",
                "MIN SHARE",
                "OPEN",
                "REPEATABLE",
                "POOLS",
                "FAILURE DOMAINS",
                "REVISION" });
  for (const auto& it : aList.classes()) {
    table.add({ it.id(),
                number(std::uint64_t(it.tier())),
                std::to_string(it.first_token_target_ms()) + " ms",
                std::to_string(it.per_token_target_ms()) + " ms",
                number(it.min_share()),
                yesNo(it.open()),
                yesNo(it.repeatable()),
                joined(it.pools()),
                it.failure_domains().empty() ? "all" : joined(it.failure_domains()),
                number(it.revision()) });
  }
  return orNone(table, "request classes");
}

std::string
render(const v1::FailureDomainList& aList)
{
  Table table({ "FAILURE DOMAIN", "REGION", "STATE", "REVISION" });
  for (const auto& it : aList.failure_domains()) {
    table.add(
      { it.id(), orDash(it.region()), it.out() ? "out" : "in service", number(it.revision()) });
  }
  return orNone(table, "failure domains");
}

std::string
render(const v1::PoolList& aList)
{
  Table table({ "POOL",
                "KIND",
                "MODELS OR SERVICE",
                "SERVERS",
                "REGULAR FLOOR",
                "REGULAR COST",
                "CHEAP COST",
                "REVISION" });
  for (const auto& it : aList.pools()) {
    const bool isService = it.kind() == v1::POOL_KIND_SERVICE;
    table.add({ it.id(),
                isService ? "service" : "model",
                isService ? it.service() : joined(it.models()),
                std::to_string(it.min_servers()) + " to " + std::to_string(it.max_servers()),
                number(std::uint64_t(it.regular_floor())),
                number(it.regular_cost_per_hour()),
                number(it.cheap_cost_per_hour()),
                number(it.revision()) });
  }
  return orNone(table, "pools");
}

std::string
render(const v1::ServerList& aList)
{
  Table table({ "SERVER",
                "POOL",
                "FAILURE DOMAIN",
                "KIND",
                "ADDRESS",
                "SLOTS",
                "COLD SLOTS",
                "STATE",
                "REVISION" });
  for (const auto& it : aList.servers()) {
    table.add({ it.id(),
                it.pool(),
                it.failure_domain(),
                it.kind() == v1::SERVER_KIND_CHEAP ? "cheap" : "regular",
                it.address(),
                number(std::uint64_t(it.slots())),
                number(std::uint64_t(it.cold_slots())),
                serverState(it),
                number(it.revision()) });
  }
  return orNone(table, "backend servers");
}

std::string
render(const v1::StatusReport& aReport)
{
  Table leases({ "DUTY", "FAILURE DOMAIN", "HOLDER", "FENCING TOKEN" });
  for (const auto& it : aReport.leases()) {
    leases.add({ it.duty(), orDash(it.failure_domain()), orDash(it.holder()), number(it.fence()) });
  }
  std::string text =
    "As seen by instance " + aReport.instance() + " in failure domain " + aReport.failure_domain() +
    ", revision " + number(aReport.config_revision()) + ", log " +
    (aReport.log_reachable() ? "reachable" : "NOT reachable") + ", last read " +
    (aReport.has_since_log_read_ms() ? seconds(aReport.since_log_read_ms()) + " ago"
                                     : std::string("never")) +
    ":\n\n" + renderProblems(aReport) + "\n" + renderPools(aReport) + "\n" +
    renderInstances(aReport);
  if (!leases.empty()) {
    text += "\n" + leases.text();
  }
  return text;
}

std::string
renderInstances(const v1::StatusReport& aReport)
{
  const auto instances = allInstances(aReport);
  const std::uint64_t newest = aReport.newest_change();
  Table table({ "INSTANCE", "FAILURE DOMAIN", "STATE", "REVISION", "NEWEST CHANGE", "LAST HEARD" });
  std::size_t behind = 0;
  for (const auto& it : instances) {
    const bool isBehind = it.config_revision() < newest;
    behind += isBehind ? 1 : 0;
    const auto heard =
      it.has_last_heard_ms() ? seconds(it.last_heard_ms()) + " ago" : std::string("never");
    table.add({ it.id(),
                it.failure_domain(),
                it.state(),
                number(it.config_revision()),
                isBehind ? "not yet" : "in force",
                it.id() == aReport.instance() ? "answers" : heard });
  }
  const auto total = std::to_string(instances.size());
  const auto change = "The newest change, revision " + number(newest) + ", is ";
  return table.text() + change +
         (behind == 0
            ? "in force on all " + total + " instances.\n"
            : "not yet in force on " + std::to_string(behind) + " of " + total + " instances.\n");
}

std::string
renderTop(const v1::StatusReport& aReport)
{
  Table servers({ "SERVER", "POOL", "STATE", "OPEN SLOTS", "GRANTED" });
  for (const auto& pool : aReport.pools()) {
    for (const auto& it : pool.owned().servers()) {
      servers.add({ it.id(),
                    pool.pool(),
                    it.state(),
                    number(std::uint64_t(it.open_slots())),
                    number(std::uint64_t(it.granted())) });
    }
  }
  std::string text =
    "Instance " + aReport.instance() + " in " + aReport.failure_domain() + ", revision " +
    number(aReport.config_revision()) + ", problems: " + std::to_string(aReport.problems_size()) +
    (aReport.problems().empty() ? "" : " (mustardplankctl status)") + "\n\n" + renderPools(aReport);
  if (!servers.empty()) {
    text += "\n" + servers.text();
  }
  return text;
}

std::string
render(const v1::WatchEvent& aEvent)
{
  std::string text =
    number(aEvent.state_revision()) + "  " + kindName(aEvent.kind()) + "  " + changeName(aEvent);
  for (const auto* it : { &aEvent.id(), &aEvent.text() }) {
    if (!it->empty()) {
      text += "  " + printable(*it);
    }
  }
  return text + "\n";
}

std::string
toJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return status.ok() ? text + "\n" : "{}\n";
}

}
