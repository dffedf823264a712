#include "installation.hpp"

#include "mustardplank/base/hash.hpp"
#include "support/free_port.hpp"
#include "support/wait.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>

#include <thread>

namespace mustardplank::load {

using nlohmann::json;
namespace fs = std::filesystem;

namespace {

const std::string kBuild = BUILD_DIR;

std::string
freeAddress()
{
  return "127.0.0.1:" + std::to_string(support::freePort());
}

fs::path
temporaryFolder()
{
  std::string folder = (fs::temp_directory_path() / "mustardplank-bench.XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot make " + folder);
  }
  return folder;
}

}

Installation::Installation(support::Plan aPlan)
  : mPlan(std::move(aPlan))
  , mFolder(temporaryFolder())
{
  mPlatform = std::make_unique<support::ChildProcess>(
    kBuild + "/test/standins/platform-standin", mPlan.platformArguments, mFolder / "platform");
  mPlatformAddress = mPlatform->readyAddresses().front();
  startBackends();
  writeConfiguration();
  startInstances();
}

Installation::~Installation()
{
  for (auto& [id, it] : mInstances) {
    it->kill();
  }
  std::error_code ec;
  fs::remove_all(mFolder, ec);
}

void
Installation::startBackends()
{
  json running = json::array();
  for (const auto& spec : mPlan.backends) {
    const std::string address = freeAddress();
    std::vector<std::string> arguments{ "--listen", address, "--id", spec.id };
    arguments.insert(arguments.end(), { "--slots", std::to_string(spec.slots) });
    arguments.insert(arguments.end(), { "--cold-slots", std::to_string(spec.coldSlots) });
    arguments.insert(arguments.end(), spec.arguments.begin(), spec.arguments.end());
    mBackends[spec.id] = std::make_unique<support::ChildProcess>(
      kBuild + "/test/standins/engine-standin", arguments, mFolder / spec.id);
    mBackends[spec.id]->readyAddresses();
    mBackendAddresses[spec.id] = address;
    running.push_back({ { "id", spec.id },
                        { "failure_domain", spec.failureDomain },
                        { "pool", spec.pool },
                        { "kind", config::kServerKindNames.name(spec.kind) },
                        { "address", address },
                        { "state", "running" } });
  }
  support::postJson(mPlatformAddress, "/control", { { "servers", running } });
}

void
Installation::append(const config::Change& aChange)
{
  config::ChangeRecord record;
  record.operation = OperationId("bench-" + std::to_string(++mOperations));
  record.actor = "bench";
  record.change = aChange;
  json body;
  body["records"] = json::array({ config::encodeChange(record) });
  // A large configuration exceeds the log's rate for a while.
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kOk = 200;
  const support::HttpCall call{ mPlatformAddress, "POST", "/log/append", {}, body.dump() };
  auto answer = support::callHttp(call);
  while (answer.status == kTooManyRequests) {
    std::this_thread::sleep_for(Millis(50));
    answer = support::callHttp(call);
  }
  if (answer.status != kOk) {
    throw std::runtime_error("the log refused the configuration: " + answer.body);
  }
}

void
Installation::writeConfiguration()
{
  for (unsigned d = 0; d < mPlan.failureDomains; ++d) {
    config::FailureDomain domain;
    domain.id = FailureDomainId("fd-" + std::string(1, static_cast<char>('a' + d)));
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
  for (const auto& spec : mPlan.backends) {
    config::BackendServer server;
    server.id = BackendServerId(spec.id);
    server.failureDomain = FailureDomainId(spec.failureDomain);
    server.pool = PoolId(spec.pool);
    server.kind = spec.kind;
    server.address = mBackendAddresses.at(spec.id);
    server.slots = spec.slots;
    server.coldSlots = spec.coldSlots;
    append(config::PutServer{ server });
  }
}

void
Installation::startInstances()
{
  json list = json::array();
  std::map<std::string, std::string> files;
  for (unsigned d = 0; d < mPlan.failureDomains; ++d) {
    const std::string letter(1, static_cast<char>('a' + d));
    for (unsigned n = 1; n <= mPlan.instancesPerDomain; ++n) {
      const std::string id = letter + std::to_string(n);
      json settings{ { "instance", id },
                     { "failure_domain", "fd-" + letter },
                     { "callers", freeAddress() },
                     { "peers", freeAddress() },
                     { "operators", freeAddress() },
                     { "admin", freeAddress() },
                     { "platform", mPlatformAddress },
                     { "peer_secret", "bench-secret-of-the-peers" },
                     { "log_level", "error" } };
      json token{ { "name", "bench" }, { "hash", sha256Hex("bench-token") } };
      settings["operator_tokens"] = json::array({ token });
      settings.merge_patch(mPlan.settings);
      mCallers[id] = settings["callers"];
      mAdmin[id] = settings["admin"];
      list.push_back({ { "id", id },
                       { "failure_domain", "fd-" + letter },
                       { "peer_address", settings["peers"] },
                       { "state", "live" } });
      files[id] = mFolder / (id + ".json");
      std::ofstream(files[id]) << settings.dump();
    }
  }
  support::postJson(mPlatformAddress, "/control", { { "instances", list } });
  for (const auto& [id, file] : files) {
    const std::vector<std::string> arguments{ "--settings", file };
    mInstances[id] = std::make_unique<support::ChildProcess>(
      kBuild + "/src/daemon/mustardplankd", arguments, mFolder / id);
  }
  for (const auto& [id, address] : mCallers) {
    const bool ready = support::waitUntil(Seconds(20), [&, &at = address] {
      return support::callHttp({ .address = at, .target = "/readyz", .timeout = Seconds(1) })
               .status == 200;
    });
    if (!ready) {
      throw std::runtime_error(id + " did not get ready: " + mInstances[id]->errors());
    }
  }
}

std::vector<std::string>
Installation::instances() const
{
  std::vector<std::string> ids;
  for (const auto& [id, address] : mCallers) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<std::string>
Installation::callers() const
{
  std::vector<std::string> addresses;
  for (const auto& [id, address] : mCallers) {
    addresses.push_back(address);
  }
  return addresses;
}

json
Installation::ledger(const std::string& aBackend) const
{
  return support::getJson(mBackendAddresses.at(aBackend), "/ledger?summary=1");
}

void
Installation::control(const std::string& aBackend, const json& aBody) const
{
  support::postJson(mBackendAddresses.at(aBackend), "/control", aBody);
}

Values
runLoad(const std::vector<std::string>& aArguments, Duration aBound)
{
  const auto folder = temporaryFolder();
  support::ChildProcess process(kBuild + "/bench/load/load-generator", aArguments, folder / "load");
  const auto status = process.wait(aBound);
  std::istringstream lines(process.output());
  const std::string errors = process.errors();
  std::error_code ec;
  fs::remove_all(folder, ec);
  if (status != 0) {
    throw std::runtime_error("the load generator failed: " + errors);
  }
  Values values;
  for (std::string line; std::getline(lines, line);) {
    const auto equals = line.find('=');
    values[line.substr(0, equals)] = std::stod(line.substr(equals + 1));
  }
  return values;
}

double
cpuSeconds(int aProcess)
{
  std::ifstream in("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  // Fields are counted from the end of the name, which may hold spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
residentMegabytes(int aProcess)
{
  std::ifstream in("/proc/" + std::to_string(aProcess) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stod(line.substr(6)) / 1024.0;
    }
  }
  return 0;
}

}
