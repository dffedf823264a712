#pragma once

#include "routes/deployment.hpp"
#include "routes/server_standin.hpp"
#include "routes/store_standin.hpp"
#include "support/child_process.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using mustardplank::routes::Call;
using mustardplank::routes::CallerConnection;
using mustardplank::routes::ServerStandin;
using mustardplank::routes::StoreStandin;
using mustardplank::support::ChildProcess;

/// Lines of the case's record, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aFile);
  void line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mOut;
  std::chrono::steady_clock::time_point mStart = std::chrono::steady_clock::now();
};

/// A store, servers and instances on the loopback interface. The instances' settings are those of
/// deploy/settings.template.json with the figures of the site ndmba-permits.
class SmallSite
{
public:
  SmallSite(std::size_t aServers, std::size_t aInstances, Record& aRecord);
  ~SmallSite();

  StoreStandin& store() { return *mStore; }
  ServerStandin& server(std::size_t aIndex) { return *mServers.at(aIndex); }
  std::size_t serverCount() const { return mServers.size(); }
  std::size_t instanceCount() const { return mInstances.size(); }
  ChildProcess& instance(std::size_t aIndex) { return *mInstances.at(aIndex); }
  const std::string& callers(std::size_t aIndex) const { return mCallers.at(aIndex); }
  std::string nameOf(std::size_t aIndex) const { return "edge-" + std::to_string(aIndex); }
  std::string status(std::size_t aIndex) const;
  void startInstance(std::size_t aIndex, bool aFirstStart = false);
  void writeServer(std::size_t aIndex,
                   const std::string& aAddress = "",
                   const std::string& aMore = "");
  void configure();
  /// Waits until every instance answers a request; false after 10 s.
  bool awaitServing();
  Record& record() { return mRecord; }
  boost::asio::io_context& io() { return mIo; }
  const std::string& folder() const { return mFolder; }

private:
  Record& mRecord;
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  std::unique_ptr<StoreStandin> mStore;
  std::vector<std::unique_ptr<ServerStandin>> mServers;
  std::vector<std::unique_ptr<ChildProcess>> mInstances;
  std::vector<std::string> mCallers;
  std::vector<std::string> mReadiness;
  std::vector<std::string> mAdmin;
  std::string mFolder;
  std::thread mThread;
  int mVersion = 0;
};

/// Status of the answer; 0 if the connection ended without a whole one.
int
statusOf(const std::string& aAddress, const Call& aCall, std::string* aBody = nullptr);

/// Whether the case runs with its disruption (TROUBLE is not 0).
bool
isWithTrouble();

}
