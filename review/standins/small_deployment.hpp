#pragma once

#include "routes/store_standin.hpp"
#include "standins/common/http_server.hpp"
#include "support/child_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::review {

/// The file record.txt: a line for each event, with the milliseconds since the start.
class Record
{
public:
  explicit Record(const std::string& aFile);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& aText);
  std::int64_t nowMs() const;

private:
  std::FILE* mFile;
  std::int64_t mStartMs;
};

/// The processes of mustardplank on some machines of one zone, with settings as
/// deploy/settings.template.json renders them, and the store. Starts the program that the deploy
/// file builds and names.
class SmallDeployment
{
public:
  SmallDeployment(boost::asio::io_context& aIo,
                  std::size_t aMachines,
                  std::string aFolder,
                  std::string aOrders = {});

  routes::StoreStandin& store() { return mStore; }
  std::size_t machines() const { return mMachines.size(); }
  const std::string& callers(std::size_t aMachine) const { return mMachines.at(aMachine).callers; }
  const std::string& readiness(std::size_t aMachine) const
  {
    return mMachines.at(aMachine).readiness;
  }
  support::ChildProcess& process(std::size_t aMachine) { return *mMachines.at(aMachine).process; }
  /// Starts the process of a machine, at the first start of the system or again.
  void start(std::size_t aMachine, bool aFirst);
  /// Ends all processes.
  void stop();
  /// The memory of a process in MB, as the platform counts it; nothing if it has ended.
  std::optional<double> memoryMb(std::size_t aMachine);

private:
  struct Machine
  {
    std::string callers;
    std::string readiness;
    std::string admin;
    std::string orders;
    std::unique_ptr<support::ChildProcess> process;
    int starts = 0;
  };

  std::string mFolder;
  routes::StoreStandin mStore;
  std::vector<Machine> mMachines;
};

/// How a request of a client ended.
struct Answer
{
  /// 0 if there is none.
  unsigned status = 0;
  /// The whole answer came.
  bool complete = false;
  /// The request was sent on a connection that had been used before.
  bool onKeptConnection = false;
  std::string body;
  std::string signature;
};

/// Clients of one machine: connections that are kept and used again.
class Clients
{
public:
  Clients(boost::asio::io_context& aIo, std::string aAddress);

  /// Sends aText, which is a whole request, and reads the answer.
  standins::Awaitable<Answer> send(std::string aText, std::int64_t aPatienceMs);

private:
  struct Connection;

  boost::asio::io_context& mIo;
  std::string mAddress;
  std::deque<std::shared_ptr<Connection>> mIdle;
};

/// A folder for settings and logs that is new.
std::string
temporaryFolder();

/// False if the environment has TROUBLE=0.
bool
hasTrouble();

}
