#include "load_poller.hpp"

#include "endpoint.hpp"
#include "load_report.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace mustardplank::traffic {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr Duration kPollInterval = Millis(100);
/// A new connection to a plain service each time is dearer than a GET on a kept one.
constexpr Duration kServiceInterval = Millis(500);
constexpr Duration kPollTimeout = Millis(500);
const std::string kLoadPath = "/load";
/// Some 60,000 cache events.
constexpr std::uint64_t kMaxAnswerBytes = 4 * 1024 * 1024;
/// Bytes of one element of an answer (head, chunk size, trailer) that wait for its end.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

}

struct LoadPoller::Target
{
  Target(asio::io_context& aIo, Watched aWatched)
    : watched(std::move(aWatched))
    , socket(aIo.get_executor())
    , pause(aIo.get_executor())
    , guard(aIo.get_executor())
  {
  }

  const BackendServerId& id() const { return watched.server.id; }
  /// Closes the connection when the present exchange takes too long.
  static void startGuard(const TargetPtr& aSelf);
  void close()
  {
    boost::system::error_code ec;
    socket.close(ec);
    buffer.clear();
  }

  Watched watched;
  Socket socket;
  boost::beast::flat_buffer buffer{ kMaxUnparsedBytes };
  Timer pause;
  Timer guard;
  bool stopped = false;
  std::uint64_t incarnation = 0;
  std::uint64_t nextCacheEvent = 0;
};

LoadPoller::LoadPoller(asio::io_context& aIo, std::function<bool(Event)> aOffer)
  : mIo(aIo)
  , mOffer(std::move(aOffer))
{
}

void
LoadPoller::watch(const std::vector<Watched>& aServers)
{
  std::map<BackendServerId, TargetPtr> targets;
  for (const auto& it : aServers) {
    const auto old = mTargets.find(it.server.id);
    const bool same = old != mTargets.end() &&
                      old->second->watched.server.address == it.server.address &&
                      old->second->watched.isPlainService == it.isPlainService;
    if (same) {
      old->second->watched = it;
      targets.insert(*old);
      mTargets.erase(old);
      continue;
    }
    auto target = std::make_shared<Target>(mIo, it);
    targets[it.server.id] = target;
    asio::co_spawn(mIo, poll(target), asio::detached);
  }
  stop();
  mTargets = std::move(targets);
}

void
LoadPoller::stop()
{
  for (const auto& [id, target] : mTargets) {
    target->stopped = true;
    target->close();
    target->pause.cancel();
    target->guard.cancel();
  }
  mTargets.clear();
}

Task<void>
LoadPoller::poll(TargetPtr aTarget)
{
  const bool isPlain = aTarget->watched.isPlainService;
  const Duration interval = isPlain ? kServiceInterval : kPollInterval;
  // A fixed place in the interval for each server spreads the polls of many servers.
  const auto phase = static_cast<std::int64_t>(stableHash(aTarget->id().str()) %
                                               static_cast<std::uint64_t>(interval.count()));
  while (!aTarget->stopped) {
    if (isPlain) {
      co_await pollPlainService(aTarget);
    } else {
      co_await pollEngine(aTarget);
    }
    if (aTarget->stopped) {
      co_return;
    }
    const auto sinceTick = (bootNow().time_since_epoch().count() - phase) % interval.count();
    const auto pause = interval - Duration(sinceTick);
    aTarget->pause.expires_after(std::max<Duration>(pause, Millis(1)));
    co_await aTarget->pause.async_wait(kAwait);
  }
}

Task<void>
LoadPoller::pollEngine(TargetPtr aTarget)
{
  const TimePoint asked = bootNow();
  const auto body = co_await get(aTarget, kLoadPath);
  if (aTarget->stopped) {
    co_return;
  }
  std::optional<pool::LoadReport> report;
  if (body) {
    report = readLoadReport(aTarget->id(), *body, bootNow() - asked);
  }
  if (!report) {
    mOffer(Unreachable{ aTarget->id() });
    co_return;
  }
  if (report->incarnation != aTarget->incarnation) {
    aTarget->incarnation = report->incarnation;
    aTarget->nextCacheEvent = 0;
  }
  mOffer(Load{ std::move(*report) });
  co_await pollCache(aTarget);
}

Task<void>
LoadPoller::pollCache(TargetPtr aTarget)
{
  const std::string path = "/cache/events?from=" + std::to_string(aTarget->nextCacheEvent);
  const auto body = co_await get(aTarget, path);
  if (!body || aTarget->stopped) {
    co_return;
  }
  auto page = readCachePage(aTarget->id(), *body);
  if (!page || page->events.empty()) {
    co_return;
  }
  const auto next = page->next;
  // Events for which there was no room are asked for again.
  if (mOffer(CacheEvents{ std::move(page->events) })) {
    aTarget->nextCacheEvent = next;
  }
}

Task<void>
LoadPoller::pollPlainService(TargetPtr aTarget)
{
  const bool reachable = co_await connect(aTarget);
  aTarget->guard.cancel();
  aTarget->close();
  if (aTarget->stopped) {
    co_return;
  }
  if (!reachable) {
    mOffer(Unreachable{ aTarget->id() });
    co_return;
  }
  pool::LoadReport report;
  report.server = aTarget->id();
  report.slots = aTarget->watched.server.slots;
  mOffer(Load{ std::move(report) });
}

void
LoadPoller::Target::startGuard(const TargetPtr& aSelf)
{
  aSelf->guard.expires_after(kPollTimeout);
  aSelf->guard.async_wait([aSelf](boost::system::error_code aError) {
    if (!aError) {
      aSelf->close();
    }
  });
}

Task<bool>
LoadPoller::connect(TargetPtr aTarget)
{
  const auto endpoint = parseEndpoint(aTarget->watched.server.address);
  if (!endpoint) {
    co_return false;
  }
  Target::startGuard(aTarget);
  auto [ec] = co_await aTarget->socket.async_connect(*endpoint, kAwait);
  if (ec) {
    co_return false;
  }
  aTarget->socket.set_option(Tcp::no_delay(true), ec);
  co_return !ec;
}

Task<std::optional<std::string>>
LoadPoller::get(TargetPtr aTarget, const std::string& aPath)
{
  if (!aTarget->socket.is_open()) {
    const bool connected = co_await connect(aTarget);
    if (!connected) {
      aTarget->guard.cancel();
      aTarget->close();
      co_return std::nullopt;
    }
  }
  Target::startGuard(aTarget);
  http::request<http::empty_body> request{ http::verb::get, aPath, 11 };
  request.set(http::field::host, aTarget->watched.server.address);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  auto [writeError, written] = co_await http::async_write(aTarget->socket, request, kAwait);
  boost::system::error_code error = writeError;
  if (!error) {
    auto [readError, n] =
      co_await http::async_read(aTarget->socket, aTarget->buffer, parser, kAwait);
    error = readError;
  }
  aTarget->guard.cancel();
  if (error || !parser.is_done()) {
    aTarget->close();
    co_return std::nullopt;
  }
  if (!parser.get().keep_alive()) {
    aTarget->close();
  }
  if (parser.get().result_int() != 200) {
    co_return std::nullopt;
  }
  co_return std::move(parser.get().body());
}

}
