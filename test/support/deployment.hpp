#pragma once

#include "mustardplank/config/change.hpp"
#include "support/caller.hpp"
#include "support/child_process.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::support {

/// An engine or plain service to start.
struct BackendSpec
{
  std::string id;
  std::string failureDomain = "fd-a";
  std::string pool = "chat";
  config::ServerKind kind = config::ServerKind::Regular;
  std::uint32_t slots = 8;
  std::uint32_t coldSlots = 2;
  /// Further options of the stand-in.
  std::vector<std::string> arguments;
  bool service = false;
  /// Whether the first configuration names it; else the platform may hand it out on an order.
  bool configured = true;
};

/// What to start. Failure domains are "fd-a", "fd-b"...; their instances "a1", "a2", "b1"...
struct Plan
{
  unsigned failureDomains = 1;
  unsigned instancesPerDomain = 2;
  std::vector<BackendSpec> backends;
  std::vector<config::Pool> pools;
  std::vector<config::RequestClass> classes;
  std::vector<config::Organisation> organisations;
  /// Caller keys in clear text, each with its organisation.
  std::map<std::string, std::string> keys;
  /// Merged into every settings file.
  nlohmann::json settings = nlohmann::json::object();
  std::vector<std::string> platformArguments;
};

/// Pools "chat" (model m1) and "permits" (service); classes "urgent" (tier 0), "normal" (tier 1),
/// "batch" (tier 2) and "permit" (not repeatable); organisations "authority" and "bramwell" with
/// the keys "key-authority" and "key-bramwell". No backend servers.
Plan
basicPlan();

/// Options of an engine that answers fast enough for tests.
BackendSpec
engine(std::string aId, std::string aFailureDomain, std::vector<std::string> aArguments = {});
BackendSpec
service(std::string aId, std::string aFailureDomain);

struct Instance
{
  std::string id;
  std::string failureDomain;
  std::string callers;
  std::string peers;
  std::string operators;
  std::string admin;
  std::string settingsFile;
  std::string state = "live";
  bool listed = true;
  std::unique_ptr<ChildProcess> process;
  unsigned starts = 0;
};

/// Every process of a small installation, with all links between them through the fault proxy.
/// Routes are named "a1>platform", "a1>b1" and ">engine".
class Deployment
{
public:
  /// Starts everything but the instances.
  explicit Deployment(Plan aPlan);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts every instance and waits until all are ready. Throws after 20 s.
  void startInstances();
  void startInstance(const std::string& aId);
  bool ready(const std::string& aId);
  Instance& instance(const std::string& aId);
  std::vector<std::string> instanceIds() const;
  /// What the platform's list says of an instance: "live", "leaving", or "" for not listed.
  void listInstance(const std::string& aId, const std::string& aState);

  ChildProcess& backend(const std::string& aId);
  /// Starts an ended backend server again at its address.
  void restartBackend(const std::string& aId);
  nlohmann::json ledger(const std::string& aBackend);
  void controlBackend(const std::string& aBackend, const nlohmann::json& aBody);
  /// Ledger entries of all chat requests at all engines whose prompt ends in aMark, also of engines
  /// that crashed.
  std::vector<nlohmann::json> runs(const std::string& aMark);
  /// Entries of all calls at all services whose body contains aMark.
  std::vector<nlohmann::json> calls(const std::string& aMark);

  /// Orders and reports carry "instance", who sent them.
  nlohmann::json platformLedger();
  void controlPlatform(const nlohmann::json& aBody);
  /// All records that the log holds, each with offset.
  nlohmann::json logRecords();
  /// Appends a configuration change as another operator's instance would.
  void append(const config::Change& aChange);

  /// Applies settings to all routes that match; throws when none does.
  void fault(const std::string& aMatch, nlohmann::json aBody);
  /// Cuts all links of a failure domain's instances to other failure domains and, unless
  /// aKeepPlatform, to the platform.
  void isolate(const std::string& aFailureDomain, bool aKeepPlatform = false);
  void healAll();

  struct CtlResult
  {
    std::optional<int> exitCode;
    std::string output;
  };
  CtlResult ctl(const std::string& aInstance, const std::vector<std::string>& aArguments);

  const std::filesystem::path& folder() const { return mFolder; }
  std::string backendAddress(const std::string& aId) const;

private:
  struct Backend
  {
    BackendSpec spec;
    std::string listen;
    std::string routed;
    std::unique_ptr<ChildProcess> process;
    unsigned starts = 0;
  };

  void startPlatform();
  void startBackend(Backend& aBackend);
  void startProxy();
  void planInstances();
  void routeInstances();
  void writeSettings(Instance& aInstance, const std::string& aPlatform);
  void writeConfiguration();
  void publishInstances();
  void publishServers();
  std::string addRoute(const std::string& aName, const std::string& aTarget);
  config::BackendServer serverOf(const Backend& aBackend) const;

  Plan mPlan;
  std::filesystem::path mFolder;
  std::unique_ptr<ChildProcess> mPlatform;
  std::unique_ptr<ChildProcess> mProxy;
  std::vector<std::string> mPlatformAddresses;
  std::string mProxyAddress;
  std::map<std::string, Backend> mBackends;
  std::map<std::string, Instance> mInstances;
  /// Address of each peer as each instance sees it, by (observer, peer).
  std::map<std::pair<std::string, std::string>, std::string> mPeerRoutes;
  unsigned mOperations = 0;
  /// Operators may race.
  std::atomic<unsigned> mCtlCalls{ 0 };
};

}
