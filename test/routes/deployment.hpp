#pragma once

#include "server_standin.hpp"
#include "store_standin.hpp"

#include "support/child_process.hpp"
#include "support/wait.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mustardplank::routes {

using Response = boost::beast::http::response<boost::beast::http::string_body>;

/// A request of a caller; path is "/ROUTE/MODE".
struct Call
{
  std::string path;
  std::string method = "POST";
  std::string attempt;
  std::string key = "key-one";
  std::string body = "body";
  int deadlineMs = 2000;
  std::vector<std::pair<std::string, std::string>> fields{};
};

/// One connection of a caller.
class CallerConnection
{
public:
  explicit CallerConnection(const std::string& aAddress);

  /// The request as it is sent.
  static std::string textOf(const Call& aCall);
  void send(const Call& aCall);
  void sendText(const std::string& aText);
  /// Throws when the connection ends before the answer is complete. What came of the body is in
  /// partialBody() then.
  Response read();
  Response call(const Call& aCall);
  const std::string& partialBody() const { return mPartial; }
  /// Bytes that were received and could not be read as part of the answer.
  std::string unreadBytes() const;
  void close();

private:
  boost::asio::io_context mIo;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  std::string mPartial;
};

/// Whether the instances' times of day can be set by RouteDeployment::shiftClock().
enum class Clocks
{
  OfTheMachine,
  Adjustable,
};

/// The machine of each instance.
struct MachineLimits
{
  std::uint32_t memoryMb = 100;
  /// Open descriptors of the process; 0: as those of the test.
  std::size_t descriptors = 0;
};

/// Whether the instances' settings state bounds on rollouts.
enum class Rollouts
{
  NotStated,
  Stated,
};

/// Whether the instances can be cut off from the servers by RouteDeployment::cutFromServers().
enum class ServerLinks
{
  Sound,
  Cuttable,
};

/// How an instance is cut off from servers.
enum class CutKind
{
  /// Connections hang, old and new ones.
  Hang,
  /// Connections are reset, old and new ones.
  Reset,
  /// New connections are refused, old ones live on.
  RefuseNew,
};

/// A store, servers and instances of the daemon in mode "routes" on the loopback interface.
///
/// Routes: /plain/ (non-idempotent), /twice/ (idempotent, two attempts), /events/ (stream),
/// /resume/ (stream that can be resumed, two attempts), /thrice/ (the same, three attempts), /open/
/// (idempotent, no key). Keys: key-one, key-two.
class RouteDeployment
{
public:
  static constexpr Millis kStopGrace{ 5000 };

  RouteDeployment(std::size_t aServers,
                  std::size_t aInstances,
                  Clocks aClocks = Clocks::OfTheMachine,
                  std::size_t aDomains = 1,
                  Millis aStopGrace = kStopGrace,
                  MachineLimits aMachine = {},
                  Rollouts aRollouts = Rollouts::NotStated,
                  ServerLinks aServerLinks = ServerLinks::Sound);
  ~RouteDeployment();

  StoreStandin& store() { return *mStore; }
  ServerStandin& server(std::size_t aIndex) { return *mServers.at(aIndex); }
  support::ChildProcess& instance(std::size_t aIndex) { return *mInstances.at(aIndex); }
  const std::string& callers(std::size_t aIndex = 0) const { return mCallers.at(aIndex); }
  /// Failure domain of the instance; the domains take turns.
  std::string domainOf(std::size_t aIndex) const;
  const std::string& readiness(std::size_t aIndex = 0) const { return mReadiness.at(aIndex); }
  std::string settingsFile(std::size_t aIndex) const;

  void startInstance(std::size_t aIndex);
  /// From now on the instance's time of day is off by aBy.
  void shiftClock(std::size_t aIndex, Millis aBy);
  /// Cuts the instance off from all servers.
  void cutFromServers(std::size_t aIndex, CutKind aKind);
  void restoreServerLinks(std::size_t aIndex);
  /// The bounds on changes and on leaving servers of instances that are started from now on.
  void setChangeBound(Millis aBound) { mChangeBound = aBound; }
  /// Ends an instance and starts it with the store's second address.
  void restartOnOtherAddress(std::size_t aIndex);
  /// Writes a configuration; version rises with each call.
  void configure(const std::string& aKeyOfOne = "key-one", bool aWithPlain = true);
  /// Routes that configure() adds under other host names.
  void setMoreRoutes(std::size_t aCount) { mMoreRoutes = aCount; }
  /// The limits on idle connections that configure() sets.
  void setIdleTimeout(Millis aTimeout) { mIdleTimeout = aTimeout; }
  /// The time limit of all routes that configure() sets.
  void setRouteTimeout(Millis aTimeout) { mRouteTimeout = aTimeout; }
  /// Weights of the services "svc" and "other" in all routes that configure() sets.
  void setWeights(int aOfSvc, int aOfOther) { mWeights = { aOfSvc, aOfOther }; }
  /// The limit on bodies that configure() sets.
  void setMaxBodyBytes(std::size_t aBytes) { mMaxBodyBytes = aBytes; }
  /// Calls of /kv-events that configure() lets wait at a server, which makes it an engine; 0: none.
  void setReportCalls(int aCalls) { mReportCalls = aCalls; }
  void writeServer(std::size_t aIndex,
                   const std::string& aState = "ready",
                   const std::string& aMore = "");
  void removeServer(std::size_t aIndex);
  /// Waits until every instance serves requests.
  void awaitServing();
  int readinessStatus(std::size_t aIndex = 0);
  /// Requests of the instance that arrived whole and got no complete answer, by reason.
  std::map<std::string, int> unanswered(std::size_t aIndex = 0) const;
  /// Answer of the instance's admin address; empty if there is none.
  std::string adminPage(std::size_t aIndex, const std::string& aPath) const;

  /// Arrivals of an attempt at all servers.
  std::size_t arrivals(const std::string& aAttempt) const;

private:
  std::string clockFile(std::size_t aIndex) const;
  std::string cutFile(std::size_t aIndex) const;
  void writeCut(std::size_t aIndex, const std::string& aText);

  Clocks mClocks;
  std::size_t mDomains;
  Millis mStopGrace;
  MachineLimits mMachine;
  Rollouts mRollouts;
  ServerLinks mServerLinks;
  std::set<std::size_t> mOnOtherAddress;
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  /// Its queue of connections is full, so that further ones are not answered.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> mSilentAcceptor;
  std::vector<boost::asio::ip::tcp::socket> mSilentConnections;
  std::unique_ptr<StoreStandin> mStore;
  std::vector<std::unique_ptr<ServerStandin>> mServers;
  std::vector<std::unique_ptr<support::ChildProcess>> mInstances;
  std::vector<std::string> mCallers;
  std::vector<std::string> mReadiness;
  std::vector<std::string> mAdmin;
  std::string mFolder;
  int mVersion = 0;
  std::optional<Millis> mChangeBound;
  std::size_t mMoreRoutes = 0;
  Millis mIdleTimeout{ 3000 };
  Millis mRouteTimeout{ 3000 };
  std::pair<int, int> mWeights{ 1, 0 };
  std::size_t mMaxBodyBytes = 100000;
  int mReportCalls = 0;
  std::thread mThread;
};

/// An id for an attempt that no other has.
std::string
newAttempt();

/// A call with an attempt id of its own.
Call
callOf(const std::string& aPath);

}
