#include "server.hpp"

#include "caller_connection.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <stdexcept>

namespace mustardplank::traffic {

namespace {

namespace asio = boost::asio;

/// Permits for all streams of an instance at once fit.
constexpr std::size_t kCommandRing = 8192;
/// Timeouts are seconds long, so they may be found this much too late.
constexpr Duration kSweepInterval = Millis(100);
/// Bodies that are read or kept for another attempt. Connections times the largest body would be
/// gigabytes; half the memory that a node has for this daemon at full size.
constexpr std::size_t kMaxBodyMemory = 128 * 1024 * 1024;
/// How soon an event is offered again after the decisions thread had no room.
constexpr Duration kOfferAgain = Millis(2);
/// How long closed connections may take to end their coroutines at a stop.
constexpr Duration kStopTimeout = Seconds(2);

std::string
tooManyConnections()
{
  const std::string body = refusalBody(
    notRun(ErrorCode::Overloaded, "this instance has no room for another connection"), "");
  return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

Server::Server(const settings::Settings& aSettings,
               metrics::Metrics* aMetrics,
               TrafficServer::Sink aSink)
  : mSettings(aSettings)
  , mOwnMetrics(aMetrics == nullptr ? std::make_unique<metrics::Metrics>() : nullptr)
  , mMetrics(aMetrics == nullptr ? mOwnMetrics.get() : aMetrics)
  , mSink(std::move(aSink))
  , mIo(std::make_unique<asio::io_context>(1))
  , mCallers(mIo->get_executor())
  , mAdmin(mIo->get_executor())
  , mBackends(*mIo)
  , mPoller(*mIo, [this](Event aEvent) { return offer(std::move(aEvent)); })
  , mCommands(kCommandRing,
              [this] {
                asio::post(*mIo, [this] {
                  mCommands.drain([this](Command&& aCommand) {
                    std::visit([this](auto&& aIt) { take(std::move(aIt)); }, std::move(aCommand));
                  });
                });
              })
  , mIdPrefix(aSettings.instance.str() + "-" + randomHex(6) + "-")
  , mKeptTimer(mIo->get_executor())
  , mSweepTimer(mIo->get_executor())
{
}

Server::~Server()
{
  stop();
}

void
Server::listen(Acceptor& aAcceptor, const settings::Address& aAddress)
{
  try {
    const Tcp::endpoint endpoint(asio::ip::make_address(aAddress.ip), aAddress.port);
    aAcceptor.open(endpoint.protocol());
    aAcceptor.set_option(Acceptor::reuse_address(true));
    aAcceptor.bind(endpoint);
    aAcceptor.listen(asio::socket_base::max_listen_connections);
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + aAddress.text() + ": " + error.code().message());
  }
}

void
Server::start()
{
  listen(mCallers, mSettings.callers);
  listen(mAdmin, mSettings.admin);
  asio::co_spawn(*mIo, accept(mCallers, false), asio::detached);
  asio::co_spawn(*mIo, accept(mAdmin, true), asio::detached);
  asio::co_spawn(*mIo, sweepRepeatedly(), asio::detached);
  mThread = std::thread([this] { mIo->run(); });
}

void
Server::stop()
{
  if (!mThread.joinable()) {
    return;
  }
  asio::post(*mIo, [this] { closeAll(); });
  mThread.join();
}

void
Server::closeAll()
{
  mStopping = true;
  boost::system::error_code ec;
  mCallers.close(ec);
  mAdmin.close(ec);
  mSweepTimer.cancel();
  mKeptTimer.cancel();
  mPoller.stop();
  for (const auto& [id, request] : mRequests) {
    request->interruptWith(Interrupt::Stopping);
  }
  for (auto* connection : mConnections) {
    connection->close();
  }
  mBackends.close();
  // With everything closed the context runs out of work; this bounds it if something does not end.
  mSweepTimer.expires_after(kStopTimeout);
  mSweepTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      mIo->stop();
    }
  });
  if (mConnections.empty()) {
    mSweepTimer.cancel();
  }
}

bool
Server::post(Command&& aCommand)
{
  return mCommands.push(std::move(aCommand));
}

RequestId
Server::nextRequestId()
{
  return RequestId(mIdPrefix + std::to_string(++mLastId));
}

bool
Server::offer(Event aEvent)
{
  // Kept events go first, so that a request's events arrive in order.
  return mKept.empty() && mSink(std::move(aEvent));
}

void
Server::emit(Event aEvent)
{
  if (mKept.empty() && mSink(aEvent)) {
    return;
  }
  mKept.push_back(std::move(aEvent));
  if (mKept.size() > 1) {
    return;
  }
  mKeptTimer.expires_after(kOfferAgain);
  mKeptTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      offerKept();
    }
  });
}

void
Server::offerKept()
{
  while (!mKept.empty() && mSink(mKept.front())) {
    mKept.pop_front();
  }
  if (mKept.empty() || mStopping) {
    return;
  }
  mKeptTimer.expires_after(kOfferAgain);
  mKeptTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      offerKept();
    }
  });
}

void
Server::release(Request& aRequest, pool::SlotOutcome aOutcome)
{
  if (!aRequest.running) {
    return;
  }
  const auto& grant = *aRequest.running;
  pool::SlotRelease release;
  release.pool = aRequest.info.pool;
  release.id = aRequest.info.id;
  release.attempt = grant.attempt;
  release.epoch = grant.epoch;
  release.server = grant.server;
  release.outcome = aOutcome;
  release.outputTokens = aRequest.attemptTokens;
  release.timeToFirstToken = aRequest.timeToFirstToken;
  release.duration = bootNow() - aRequest.attemptStarted;
  release.digest = aRequest.info.digest;
  aRequest.running.reset();
  emit(StreamEnded{ std::move(release) });
}

Server::Registration::Registration(Server& aServer, Request& aRequest)
  : mServer(aServer)
  , mRequest(aRequest)
{
  mServer.mRequests.emplace(mRequest.info.id, &mRequest);
}

Server::Registration::~Registration()
{
  mServer.release(mRequest, pool::SlotOutcome::CallerLeft);
  if (mRequest.grant) {
    mServer.refuseGrant(*mRequest.grant, mRequest.info.pool);
  }
  mServer.mRequests.erase(mRequest.info.id);
  mServer.reportDrained();
}

Server::BodyMemory::BodyMemory(Server& aServer, std::size_t aBytes)
  : mServer(aServer)
  , mBytes(aBytes)
{
  mServer.mReservedBytes += mBytes;
}

Server::BodyMemory::~BodyMemory()
{
  mServer.mReservedBytes -= mBytes;
}

std::unique_ptr<Server::BodyMemory>
Server::reserveBody(std::size_t aBytes)
{
  if (mReservedBytes + aBytes > kMaxBodyMemory) {
    return nullptr;
  }
  return std::make_unique<BodyMemory>(*this, aBytes);
}

void
Server::add(CallerConnection& aConnection)
{
  mConnections.insert(&aConnection);
  mMetrics->set(metrics::Gauge::CallerConnections, static_cast<double>(mConnections.size()));
}

void
Server::remove(CallerConnection& aConnection)
{
  mConnections.erase(&aConnection);
  mMetrics->set(metrics::Gauge::CallerConnections, static_cast<double>(mConnections.size()));
  if (mStopping && mConnections.empty()) {
    mSweepTimer.cancel();
  }
}

Task<void>
Server::accept(Acceptor& aAcceptor, bool aAdmin)
{
  while (!mStopping) {
    Socket socket(mIo->get_executor());
    auto [ec] = co_await aAcceptor.async_accept(socket, kAwait);
    if (ec) {
      if (!aAcceptor.is_open()) {
        co_return;
      }
      // Out of file descriptors, for example: without a pause the loop would take the whole core.
      LogEvent(LogLevel::Warning, "traffic.accept_failed").field("error", ec.message()).write();
      Timer pause(mIo->get_executor(), Millis(10));
      co_await pause.async_wait(kAwait);
      continue;
    }
    if (mConnections.size() >= mSettings.callerLimits.maxConnections && !aAdmin) {
      mMetrics->count(metrics::Event::RefusedConnection);
      socket.non_blocking(true, ec);
      socket.write_some(asio::buffer(tooManyConnections()), ec);
      continue;
    }
    socket.set_option(Tcp::no_delay(true), ec);
    auto connection = std::make_shared<CallerConnection>(*this, std::move(socket), aAdmin);
    asio::co_spawn(
      *mIo, [connection]() -> Task<void> { co_await connection->run(); }, asio::detached);
  }
}

Task<void>
Server::sweepRepeatedly()
{
  while (!mStopping) {
    mSweepTimer.expires_after(kSweepInterval);
    auto [ec] = co_await mSweepTimer.async_wait(kAwait);
    if (ec || mStopping) {
      co_return;
    }
    sweep();
  }
}

void
Server::sweep()
{
  const TimePoint now = bootNow();
  mBackends.sweep(now);
  for (auto* connection : mConnections) {
    connection->sweep(now);
  }
  std::size_t running = 0;
  for (const auto& [id, request] : mRequests) {
    running += request->running ? 1 : 0;
  }
  mMetrics->set(metrics::Gauge::RunningRequests, static_cast<double>(running));
  mMetrics->set(metrics::Gauge::WaitingRequests, static_cast<double>(mRequests.size() - running));
}

Request*
Server::find(const RequestId& aId)
{
  const auto it = mRequests.find(aId);
  return it == mRequests.end() ? nullptr : it->second;
}

PoolId
Server::poolOf(const BackendServerId& aServer) const
{
  const auto watched = mWatched.find(aServer);
  if (watched != mWatched.end()) {
    return watched->second;
  }
  if (!mState) {
    return {};
  }
  const auto configured = mState->servers().find(aServer);
  return configured == mState->servers().end() ? PoolId() : configured->second.pool;
}

bool
Server::isPlainService(const PoolId& aPool) const
{
  if (!mState) {
    return false;
  }
  const auto it = mState->pools().find(aPool);
  return it != mState->pools().end() && it->second.kind == config::PoolKind::Service;
}

void
Server::refuseGrant(const pool::StartStream& aGrant, const PoolId& aPool)
{
  pool::SlotRelease release;
  release.pool = aPool;
  release.id = aGrant.id;
  release.attempt = aGrant.attempt;
  release.epoch = aGrant.epoch;
  release.server = aGrant.server;
  release.outcome = pool::SlotOutcome::Unused;
  emit(StreamEnded{ std::move(release) });
}

void
Server::take(pool::StartStream&& aCommand)
{
  Request* request = find(aCommand.id);
  if (request == nullptr) {
    refuseGrant(aCommand, poolOf(aCommand.server));
    return;
  }
  const bool wanted = aCommand.attempt == request->info.attempt && !request->running &&
                      !request->grant && request->waitingForPermit;
  if (!wanted) {
    refuseGrant(aCommand, request->info.pool);
    return;
  }
  request->grant = std::move(aCommand);
  request->notify();
}

void
Server::take(pool::StopStream&& aCommand)
{
  Request* request = find(aCommand.id);
  if (request == nullptr) {
    return;
  }
  if (request->grant && request->grant->attempt == aCommand.attempt) {
    // Not opened yet: give it back and ask again.
    refuseGrant(*request->grant, request->info.pool);
    request->grant.reset();
    ++request->info.attempt;
    emit(Submit{ request->info });
    return;
  }
  const bool isRunning = request->running && request->running->attempt == aCommand.attempt;
  // Stopping a request that must not run twice would lose it.
  if (!isRunning || !request->info.repeatable) {
    return;
  }
  request->interruptWith(Interrupt::Preempted);
  release(*request, pool::SlotOutcome::Preempted);
}

void
Server::take(pool::RefuseRequest&& aCommand)
{
  Request* request = find(aCommand.id);
  // A running request goes on: the refusal belongs to a permit that is not needed any more.
  if (request == nullptr || !request->waitingForPermit) {
    return;
  }
  request->refusal = std::move(aCommand);
  request->notify();
}

void
Server::take(NewConfig&& aCommand)
{
  mState = std::move(aCommand.state);
  if (!mState) {
    return;
  }
  for (const auto& [id, request] : mRequests) {
    if (request->key.empty()) {
      continue;
    }
    const auto key = mState->keys().find(request->key);
    if (key == mState->keys().end() || key->second.withdrawn) {
      request->interruptWith(Interrupt::KeyWithdrawn);
    }
  }
}

void
Server::take(OnceDecision&& aCommand)
{
  if (Request* request = find(aCommand.id)) {
    request->onceDecision = std::move(aCommand);
    request->notify();
  }
}

void
Server::take(OnceStored&& aCommand)
{
  if (Request* request = find(aCommand.id)) {
    request->onceStored = true;
    request->notify();
  }
}

void
Server::take(WatchServers&& aCommand)
{
  mWatched.clear();
  std::vector<LoadPoller::Watched> watched;
  for (const auto& server : aCommand.servers) {
    mWatched[server.id] = server.pool;
    watched.push_back({ server, isPlainService(server.pool) });
  }
  mPoller.watch(watched);
}

void
Server::take(SetIsolated&& aCommand)
{
  mIsolated = aCommand.isolated;
  if (!mIsolated || !mState) {
    return;
  }
  for (const auto& [id, request] : mRequests) {
    const auto organisation = mState->organisations().find(request->info.organisation);
    const bool refuse = organisation != mState->organisations().end() &&
                        organisation->second.isolation == config::Isolation::Refuse;
    // What a backend server has begun may end; only waiting requests are refused.
    if (refuse && !request->sentToBackend) {
      request->interruptWith(Interrupt::Isolated);
    }
  }
}

void
Server::take(Drain&&)
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  for (auto* connection : mConnections) {
    connection->closeIfIdle();
  }
  reportDrained();
}

void
Server::reportDrained()
{
  if (!mDraining || mDrained || mStopping || !mRequests.empty()) {
    return;
  }
  mDrained = true;
  emit(Drained{});
}

}
