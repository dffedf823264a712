#pragma once

#include "asio_types.hpp"
#include "backend_client.hpp"
#include "load_poller.hpp"
#include "request.hpp"

#include "mustardplank/base/ring.hpp"
#include "mustardplank/config/state.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/settings/settings.hpp"
#include "mustardplank/traffic/caller_server.hpp"
#include "mustardplank/traffic/events.hpp"

#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace mustardplank::traffic {

class CallerConnection;

/// What the connections share: configuration, registry of requests, events to and commands from the
/// decisions thread. All but post() runs on the traffic thread.
class Server
{
public:
  Server(const settings::Settings& aSettings,
         metrics::Metrics* aMetrics,
         TrafficServer::Sink aSink);
  ~Server();

  void start();
  void stop();
  bool post(Command&& aCommand);
  std::uint16_t callersPort() const { return mCallers.local_endpoint().port(); }
  std::uint16_t adminPort() const { return mAdmin.local_endpoint().port(); }

  boost::asio::io_context& io() { return *mIo; }
  const settings::Settings& settings() const { return mSettings; }
  metrics::Metrics& metrics() { return *mMetrics; }
  BackendClient& backends() { return mBackends; }
  /// nullptr until the first configuration came.
  const std::shared_ptr<const config::State>& state() const { return mState; }
  bool isolated() const { return mIsolated; }
  bool draining() const { return mDraining; }
  bool stopping() const { return mStopping; }

  /// Unique over instances and restarts.
  RequestId nextRequestId();
  /// Offers an event that may be refused; false when the decisions thread has no room.
  bool offer(Event aEvent);
  /// Hands over an event that must not be lost; kept and offered again while there is no room.
  void emit(Event aEvent);
  /// Tells the pool owner that the present attempt ended. Does nothing without one.
  void release(Request& aRequest, pool::SlotOutcome aOutcome);

  /// Answers a permit that is not wanted any more.
  void refuseGrant(const pool::StartStream& aGrant, const PoolId& aPool);

  /// Registers a request for commands; the destructor of Registration ends that.
  class Registration
  {
  public:
    Registration(Server& aServer, Request& aRequest);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

  private:
    Server& mServer;
    Request& mRequest;
  };

  /// Memory for the body of one request, given back by the destructor.
  class BodyMemory
  {
  public:
    BodyMemory(Server& aServer, std::size_t aBytes);
    ~BodyMemory();
    BodyMemory(const BodyMemory&) = delete;
    BodyMemory& operator=(const BodyMemory&) = delete;

  private:
    Server& mServer;
    std::size_t mBytes;
  };
  /// nullptr when the bodies of all requests together would take too much.
  std::unique_ptr<BodyMemory> reserveBody(std::size_t aBytes);

  void add(CallerConnection& aConnection);
  void remove(CallerConnection& aConnection);

private:
  Task<void> accept(Acceptor& aAcceptor, bool aAdmin);
  Task<void> sweepRepeatedly();
  void sweep();
  void offerKept();
  void listen(Acceptor& aAcceptor, const settings::Address& aAddress);
  void closeAll();

  void take(pool::StartStream&& aCommand);
  void take(pool::StopStream&& aCommand);
  void take(pool::RefuseRequest&& aCommand);
  void take(NewConfig&& aCommand);
  void take(OnceDecision&& aCommand);
  void take(OnceStored&& aCommand);
  void take(WatchServers&& aCommand);
  void take(SetIsolated&& aCommand);
  void take(Drain&& aCommand);

  Request* find(const RequestId& aId);
  bool isPlainService(const PoolId& aPool) const;
  PoolId poolOf(const BackendServerId& aServer) const;
  void reportDrained();

  settings::Settings mSettings;
  std::unique_ptr<metrics::Metrics> mOwnMetrics;
  metrics::Metrics* mMetrics;
  TrafficServer::Sink mSink;
  std::unique_ptr<boost::asio::io_context> mIo;
  Acceptor mCallers;
  Acceptor mAdmin;
  BackendClient mBackends;
  LoadPoller mPoller;
  Ring<Command> mCommands;
  std::thread mThread;

  std::shared_ptr<const config::State> mState;
  std::unordered_map<BackendServerId, PoolId> mWatched;
  bool mIsolated = false;
  bool mDraining = false;
  bool mDrained = false;
  bool mStopping = false;
  std::string mIdPrefix;
  std::uint64_t mLastId = 0;
  std::unordered_map<RequestId, Request*> mRequests;
  std::unordered_set<CallerConnection*> mConnections;
  std::size_t mReservedBytes = 0;
  std::deque<Event> mKept;
  Timer mKeptTimer;
  Timer mSweepTimer;
};

}
