#include "support/deployment.hpp"

#include "mustardplank/base/hash.hpp"
#include "support/free_port.hpp"
#include "support/wait.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <utility>

namespace mustardplank::support {

using nlohmann::json;
namespace fs = std::filesystem;

namespace {

const std::string kBuild = BUILD_DIR;
constexpr const char* kOperatorToken = "test-operator-token";

std::string
loopback(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

template<typename T>
config::RequestClass
requestClass(const char* aId, std::uint32_t aTier, T aFirstTokenTarget)
{
  config::RequestClass result;
  result.id = ClassId(aId);
  result.tier = aTier;
  result.firstTokenTarget = aFirstTokenTarget;
  result.pools = { PoolId("chat") };
  return result;
}

}

Plan
basicPlan()
{
  Plan plan;
  config::Pool chat;
  chat.id = PoolId("chat");
  chat.models = { ModelId("m1") };
  chat.maxServers = 8;
  config::Pool permits;
  permits.id = PoolId("permits");
  permits.kind = config::PoolKind::Service;
  permits.service = "permits";
  permits.maxServers = 8;
  plan.pools = { chat, permits };
  auto permit = requestClass("permit", 0, Seconds(10));
  permit.pools = { PoolId("permits") };
  permit.repeatable = false;
  plan.classes = { requestClass("urgent", 0, Seconds(10)),
                   requestClass("normal", 1, Seconds(20)),
                   requestClass("batch", 2, Seconds(30)),
                   permit };
  for (const char* id : { "authority", "bramwell" }) {
    config::Organisation organisation;
    organisation.id = OrganisationId(id);
    for (const auto& it : plan.classes) {
      organisation.allowedClasses.push_back(it.id);
    }
    organisation.defaultClass = ClassId("normal");
    plan.organisations.push_back(organisation);
    plan.keys["key-" + std::string(id)] = id;
  }
  return plan;
}

BackendSpec
engine(std::string aId, std::string aFailureDomain, std::vector<std::string> aArguments)
{
  BackendSpec spec;
  spec.id = std::move(aId);
  spec.failureDomain = std::move(aFailureDomain);
  spec.arguments = std::move(aArguments);
  return spec;
}

BackendSpec
service(std::string aId, std::string aFailureDomain)
{
  BackendSpec spec;
  spec.id = std::move(aId);
  spec.failureDomain = std::move(aFailureDomain);
  spec.pool = "permits";
  spec.service = true;
  return spec;
}

Deployment::Deployment(Plan aPlan)
  : mPlan(std::move(aPlan))
{
  std::string folder = (fs::temp_directory_path() / "mustardplank-test.XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot make " + folder);
  }
  mFolder = folder;
  std::ofstream(mFolder / "operator-token") << kOperatorToken << '\n';
  planInstances();
  startPlatform();
  startProxy();
  for (const auto& spec : mPlan.backends) {
    auto& backend = mBackends[spec.id];
    backend.spec = spec;
    backend.listen = loopback(freePort());
    startBackend(backend);
    backend.routed = addRoute(">" + spec.id, backend.listen);
  }
  routeInstances();
  writeConfiguration();
  publishInstances();
  publishServers();
}

Deployment::~Deployment()
{
  for (auto& [id, it] : mInstances) {
    if (it.process) {
      it.process->kill();
    }
  }
  if (std::getenv("MUSTARDPLANK_KEEP") != nullptr) {
    std::cout << "files kept in " << mFolder << '\n';
    return;
  }
  std::error_code ec;
  fs::remove_all(mFolder, ec);
}

// Starting.

void
Deployment::planInstances()
{
  for (unsigned d = 0; d < mPlan.failureDomains; ++d) {
    const std::string letter(1, static_cast<char>('a' + d));
    for (unsigned n = 1; n <= mPlan.instancesPerDomain; ++n) {
      Instance instance;
      instance.id = letter + std::to_string(n);
      instance.failureDomain = "fd-" + letter;
      instance.callers = loopback(freePort());
      instance.peers = loopback(freePort());
      instance.operators = loopback(freePort());
      instance.admin = loopback(freePort());
      mInstances[instance.id] = std::move(instance);
    }
  }
}

void
Deployment::startPlatform()
{
  std::vector<std::string> arguments = mPlan.platformArguments;
  arguments.insert(arguments.end(), { "--views", std::to_string(mInstances.size()) });
  mPlatform = std::make_unique<ChildProcess>(
    kBuild + "/test/standins/platform-standin", arguments, (mFolder / "platform").string());
  mPlatformAddresses = mPlatform->readyAddresses();
}

void
Deployment::startBackend(Backend& aBackend)
{
  const auto& spec = aBackend.spec;
  const auto log = mFolder / (spec.id + "." + std::to_string(++aBackend.starts));
  std::vector<std::string> arguments{ "--listen", aBackend.listen, "--id", spec.id };
  arguments.insert(arguments.end(), { "--slots", std::to_string(spec.slots) });
  if (!spec.service) {
    arguments.insert(arguments.end(), { "--cold-slots", std::to_string(spec.coldSlots) });
    arguments.insert(arguments.end(),
                     { "--ledger-file", (mFolder / (spec.id + ".ledger")).string() });
  }
  arguments.insert(arguments.end(), spec.arguments.begin(), spec.arguments.end());
  const std::string program = spec.service ? "service-standin" : "engine-standin";
  aBackend.process =
    std::make_unique<ChildProcess>(kBuild + "/test/standins/" + program, arguments, log.string());
  aBackend.process->readyAddresses();
}

void
Deployment::startProxy()
{
  mProxy = std::make_unique<ChildProcess>(kBuild + "/test/standins/fault-proxy",
                                          std::vector<std::string>{},
                                          (mFolder / "proxy").string());
  mProxyAddress = mProxy->readyAddresses().front();
}

std::string
Deployment::addRoute(const std::string& aName, const std::string& aTarget)
{
  const json body{ { "name", aName }, { "target", aTarget }, { "listen", loopback(freePort()) } };
  return postJson(mProxyAddress, "/routes", body).at("address");
}

void
Deployment::routeInstances()
{
  std::size_t view = 0;
  for (auto& [id, instance] : mInstances) {
    writeSettings(instance, addRoute(id + ">platform", mPlatformAddresses.at(++view)));
    for (const auto& [peer, other] : mInstances) {
      if (peer != id) {
        mPeerRoutes[{ id, peer }] = addRoute(id + ">" + peer, other.peers);
      }
    }
  }
}

void
Deployment::writeSettings(Instance& aInstance, const std::string& aPlatform)
{
  json settings{ { "instance", aInstance.id },
                 { "failure_domain", aInstance.failureDomain },
                 { "callers", aInstance.callers },
                 { "peers", aInstance.peers },
                 { "operators", aInstance.operators },
                 { "admin", aInstance.admin },
                 { "platform", aPlatform },
                 { "peer_secret", "secret-of-the-integration-tests" },
                 { "operator_tokens", json::array() },
                 { "log_level", "debug" } };
  settings["operator_tokens"].push_back(
    { { "name", "test" }, { "hash", sha256Hex(kOperatorToken) } });
  settings.merge_patch(mPlan.settings);
  aInstance.settingsFile = (mFolder / (aInstance.id + ".json")).string();
  std::ofstream(aInstance.settingsFile) << settings.dump(2) << '\n';
}

config::BackendServer
Deployment::serverOf(const Backend& aBackend) const
{
  config::BackendServer server;
  server.id = BackendServerId(aBackend.spec.id);
  server.failureDomain = FailureDomainId(aBackend.spec.failureDomain);
  server.pool = PoolId(aBackend.spec.pool);
  server.kind = aBackend.spec.kind;
  server.address = aBackend.routed;
  server.slots = aBackend.spec.slots;
  server.coldSlots = aBackend.spec.coldSlots;
  return server;
}

void
Deployment::writeConfiguration()
{
  for (unsigned d = 0; d < mPlan.failureDomains; ++d) {
    config::FailureDomain domain;
    domain.id = FailureDomainId("fd-" + std::string(1, static_cast<char>('a' + d)));
    domain.region = "r1";
    append(config::PutFailureDomain{ domain });
  }
  for (const auto& it : mPlan.pools) {
    append(config::PutPool{ it });
  }
  for (const auto& it : mPlan.classes) {
    append(config::PutClass{ it });
  }
  for (const auto& it : mPlan.organisations) {
    append(config::PutOrganisation{ it });
  }
  for (const auto& [key, organisation] : mPlan.keys) {
    config::CallerKey callerKey;
    callerKey.id = KeyId(key + "-id");
    callerKey.organisation = OrganisationId(organisation);
    callerKey.hash = sha256Hex(key);
    append(config::PutKey{ callerKey });
  }
  for (const auto& [id, backend] : mBackends) {
    if (backend.spec.configured) {
      append(config::PutServer{ serverOf(backend) });
    }
  }
}

void
Deployment::append(const config::Change& aChange)
{
  config::ChangeRecord record;
  record.operation = OperationId("test-" + std::to_string(++mOperations) + "-" + randomHex(4));
  record.actor = "test";
  record.change = aChange;
  json body;
  body["records"] = json::array({ config::encodeChange(record) });
  const bool appended = waitUntil(Seconds(5), [&] {
    return callHttp({ .address = mPlatformAddresses.front(),
                      .method = "POST",
                      .target = "/log/append",
                      .body = body.dump() })
             .status == 200;
  });
  if (!appended) {
    throw std::runtime_error("the log takes no record");
  }
}

void
Deployment::publishInstances()
{
  json list = json::array();
  for (const auto& [id, it] : mInstances) {
    if (!it.listed) {
      continue;
    }
    json entry{ { "id", id },
                { "failure_domain", it.failureDomain },
                { "peer_address", it.peers },
                { "state", it.state } };
    for (const auto& [observer, other] : mInstances) {
      const auto route = mPeerRoutes.find({ observer, id });
      entry["peer_addresses"].push_back(route == mPeerRoutes.end() ? it.peers : route->second);
    }
    list.push_back(std::move(entry));
  }
  controlPlatform({ { "instances", std::move(list) } });
}

void
Deployment::publishServers()
{
  json running = json::array();
  json spare = json::array();
  for (const auto& [id, it] : mBackends) {
    const json entry{ { "id", id },
                      { "failure_domain", it.spec.failureDomain },
                      { "pool", it.spec.pool },
                      { "kind", config::kServerKindNames.name(it.spec.kind) },
                      { "address", it.routed },
                      { "state", "running" } };
    (it.spec.configured ? running : spare).push_back(entry);
  }
  controlPlatform({ { "servers", running }, { "spare_servers", spare } });
}

// Instances.

void
Deployment::startInstance(const std::string& aId)
{
  auto& it = instance(aId);
  const auto log = mFolder / (aId + "." + std::to_string(++it.starts));
  // A wrapper may run the daemon in a debugger, for example.
  const char* program = std::getenv("MUSTARDPLANK_DAEMON");
  it.process = std::make_unique<ChildProcess>(
    program != nullptr ? program : kBuild + "/src/daemon/mustardplankd",
    std::vector<std::string>{ "--settings", it.settingsFile },
    log.string());
}

void
Deployment::startInstances()
{
  for (const auto& id : instanceIds()) {
    startInstance(id);
  }
  for (const auto& id : instanceIds()) {
    if (!waitUntil(Seconds(20), [&] { return ready(id); })) {
      throw std::runtime_error(id + " did not get ready: " + instance(id).process->errors());
    }
  }
}

bool
Deployment::ready(const std::string& aId)
{
  return callHttp({ .address = instance(aId).callers, .target = "/readyz", .timeout = Seconds(1) })
           .status == 200;
}

Instance&
Deployment::instance(const std::string& aId)
{
  return mInstances.at(aId);
}

std::vector<std::string>
Deployment::instanceIds() const
{
  std::vector<std::string> ids;
  for (const auto& [id, it] : mInstances) {
    ids.push_back(id);
  }
  return ids;
}

void
Deployment::listInstance(const std::string& aId, const std::string& aState)
{
  auto& it = instance(aId);
  it.listed = !aState.empty();
  it.state = aState;
  publishInstances();
}

// Backend servers.

ChildProcess&
Deployment::backend(const std::string& aId)
{
  return *mBackends.at(aId).process;
}

std::string
Deployment::backendAddress(const std::string& aId) const
{
  return mBackends.at(aId).listen;
}

void
Deployment::restartBackend(const std::string& aId)
{
  startBackend(mBackends.at(aId));
}

json
Deployment::ledger(const std::string& aBackend)
{
  return getJson(backendAddress(aBackend), "/ledger");
}

void
Deployment::controlBackend(const std::string& aBackend, const json& aBody)
{
  postJson(backendAddress(aBackend), "/control", aBody);
}

std::vector<json>
Deployment::runs(const std::string& aMark)
{
  std::vector<json> found;
  const auto take = [&](const json& aLedger) {
    for (const auto& request : aLedger.value("requests", json::array())) {
      if (request.value("prompt_tail", "").find(aMark) != std::string::npos) {
        found.push_back(request);
        found.back()["server"] = aLedger.value("server_id", "");
      }
    }
  };
  for (auto& [id, backend] : mBackends) {
    if (backend.spec.service) {
      continue;
    }
    std::ifstream crashed(mFolder / (id + ".ledger"));
    for (std::string line; std::getline(crashed, line);) {
      take(json::parse(line));
    }
    if (backend.process->running()) {
      take(ledger(id));
    }
  }
  return found;
}

std::vector<json>
Deployment::calls(const std::string& aMark)
{
  std::vector<json> found;
  for (auto& [id, backend] : mBackends) {
    if (!backend.spec.service) {
      continue;
    }
    const json serviceLedger = ledger(id);
    for (const auto& call : serviceLedger.at("calls")) {
      if (call.value("body", "").find(aMark) != std::string::npos) {
        found.push_back(call);
      }
    }
  }
  return found;
}

// Platform and faults.

json
Deployment::platformLedger()
{
  json ledger = getJson(mPlatformAddresses.front(), "/ledger");
  const auto ids = instanceIds();
  for (const char* list : { "orders", "reports" }) {
    for (auto& it : ledger[list]) {
      it["instance"] = ids.at(it.at("view").get<std::size_t>());
    }
  }
  return ledger;
}

void
Deployment::controlPlatform(const json& aBody)
{
  postJson(mPlatformAddresses.front(), "/control", aBody);
}

json
Deployment::logRecords()
{
  const auto first = platformLedger().at("log_first").get<std::uint64_t>();
  return getJson(mPlatformAddresses.front(), "/log?limit=1000000&from=" + std::to_string(first))
    .at("records");
}

void
Deployment::fault(const std::string& aMatch, json aBody)
{
  aBody["match"] = aMatch;
  if (postJson(mProxyAddress, "/control", aBody).at("matched") == 0) {
    throw std::runtime_error("no route matches " + aMatch);
  }
}

void
Deployment::isolate(const std::string& aFailureDomain, bool aKeepPlatform)
{
  const std::string here = aFailureDomain.substr(3);
  fault(here + ".>[^" + here + "p].*|[^" + here + "].>" + here + ".", { { "cut", "both" } });
  if (!aKeepPlatform) {
    fault(here + ".>platform", { { "cut", "both" } });
  }
}

void
Deployment::healAll()
{
  fault(".*", { { "cut", "none" }, { "delay_ms", 0 } });
}

Deployment::CtlResult
Deployment::ctl(const std::string& aInstance, const std::vector<std::string>& aArguments)
{
  const auto tokenFile = mFolder / "operator-token";
  std::vector<std::string> arguments{
    "--server", instance(aInstance).operators, "--token-file", tokenFile.string()
  };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  const auto log = mFolder / ("ctl." + std::to_string(++mCtlCalls));
  ChildProcess process(kBuild + "/src/ctl/mustardplankctl", arguments, log.string());
  CtlResult result;
  result.exitCode = process.wait(Seconds(20));
  result.output = process.output() + process.errors();
  return result;
}

}
