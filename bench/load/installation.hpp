#pragma once

#include "support/child_process.hpp"
#include "support/deployment.hpp"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardplank::load {

/// Platform, backend servers and instances as processes, connected directly; a fault proxy would be
/// part of what is measured.
class Installation
{
public:
  explicit Installation(support::Plan aPlan);
  ~Installation();

  std::vector<std::string> callers() const;
  std::string engineAddress(const std::string& aId) const { return mBackendAddresses.at(aId); }
  support::ChildProcess& engine(const std::string& aId) { return *mBackends.at(aId); }
  support::ChildProcess& instance(const std::string& aId) { return *mInstances.at(aId); }
  std::string instanceCallers(const std::string& aId) const { return mCallers.at(aId); }
  std::string instanceAdmin(const std::string& aId) const { return mAdmin.at(aId); }
  std::vector<std::string> instances() const;
  nlohmann::json ledger(const std::string& aBackend) const;
  void control(const std::string& aBackend, const nlohmann::json& aBody) const;

private:
  void startBackends();
  void startInstances();
  void append(const config::Change& aChange);
  void writeConfiguration();

  support::Plan mPlan;
  std::filesystem::path mFolder;
  std::unique_ptr<support::ChildProcess> mPlatform;
  std::string mPlatformAddress;
  std::map<std::string, std::unique_ptr<support::ChildProcess>> mBackends;
  std::map<std::string, std::string> mBackendAddresses;
  std::map<std::string, std::unique_ptr<support::ChildProcess>> mInstances;
  std::map<std::string, std::string> mCallers;
  std::map<std::string, std::string> mAdmin;
  unsigned mOperations = 0;
};

using Values = std::map<std::string, double>;

/// Runs the load generator and returns its "name=value" lines.
Values
runLoad(const std::vector<std::string>& aArguments, Duration aBound);

/// User and system time of a process so far.
double
cpuSeconds(int aProcess);
double
residentMegabytes(int aProcess);

}
