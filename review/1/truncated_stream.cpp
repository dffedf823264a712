/// Requests that crash each runner that begins to answer them, beside sound streams that may be
/// resumed. Runners answer streams with neither a length nor chunks. Counts the streams that looked
/// complete to their client and lacked pieces.

#include "standins/small_deployment.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <map>
#include <random>
#include <set>

// g++ 12 takes the operators new and delete of coroutine frames of Asio for a mismatched pair.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

using namespace mustardplank;
using namespace mustardplank::review;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;
using standins::Awaitable;
using standins::sleepMillis;
using standins::SocketPtr;

namespace {

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);

// Zone pl-curepipe of bramwell-assay.toml: two machines, six language-model runners, 38.7 requests
// a second, of which lot-report is 47.4 of 144.6.
constexpr std::size_t kMachines = 2;
constexpr std::size_t kRunners = 6;
constexpr double kPerSecond = 38.7 * 47.4 / 144.6;
constexpr int kDeadlineMs = 4000;
constexpr int kMinEvents = 4;
constexpr int kMaxEvents = 24;
constexpr int kEventPauseMs = 45;
/// Time in which a runner reads a prompt before the first event.
constexpr int kMinPrefillMs = 60;
constexpr int kMaxPrefillMs = 260;
/// Shared parts of prompts, as the site has them.
constexpr int kFirstParts = 4;
constexpr int kSecondParts = 20;

/// The disruption as the users' letter gives it: 20 s, 3 requests in 100. It comes four times, the
/// last one shortened.
constexpr std::int64_t kTroubleFromMs = 6000;
constexpr std::int64_t kTroubleForMs = 20000;
constexpr std::int64_t kTroubleEveryMs = 25000;
constexpr std::int64_t kRunMs = 98000;
constexpr double kDeadlyShare = 0.03;
constexpr int kDownMs = 3000;
constexpr const char* kDeadly = "deadly ";

/// A stream that a runner has begun to answer.
struct Stream
{
  SocketPtr socket;
  int nextEvent = 1;
  bool begun = false;
};

struct Runner
{
  std::string id;
  std::string address;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  std::uint64_t born = 1700000000000ULL;
  /// Rises with each crash.
  int incarnation = 0;
  std::set<std::shared_ptr<Stream>> streams;
};

struct Case
{
  Case(const std::string& aRecord, const std::string& aFolder)
    : record(aRecord)
    , deployment(io, kMachines, aFolder)
    , runners(kRunners)
  {
    for (std::size_t i = 0; i < kMachines; ++i) {
      clients.emplace_back(io, deployment.callers(i));
    }
  }

  int draw(int aBelow) { return static_cast<int>(random() % static_cast<unsigned>(aBelow)); }

  asio::io_context io;
  Record record;
  SmallDeployment deployment;
  std::vector<Clients> clients;
  std::vector<Runner> runners;
  std::minstd_rand random{ 20261205 };
  std::map<std::string, int> eventCounts;
  int crashes = 0;
  int requests = 0;
  int whole = 0;
  int visiblyIncomplete = 0;
  int refused = 0;
  int truncated = 0;
};

std::string
eventText(const std::string& aAttempt, int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aAttempt + "-" + std::to_string(aNumber) +
         "\n\n";
}

Awaitable<bool>
writeText(SocketPtr aSocket, std::string aText)
{
  const auto [ec, n] = co_await asio::async_write(*aSocket, asio::buffer(aText), kUse);
  co_return !ec;
}

void
closeSocket(asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ec;
  aSocket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  aSocket.close(ec);
}

void
listen(Case& aCase, std::size_t aRunner);

void
writeEntry(Case& aCase, const Runner& aRunner)
{
  const json entry{ { "service", "scribe" }, { "address", aRunner.address },
                    { "zone", "zone-a" },    { "version", 1 },
                    { "slots", 64 },         { "state", "ready" },
                    { "sequence", 1 },       { "coldRemainingMs", 0 },
                    { "born", aRunner.born } };
  aCase.deployment.store().put("keyed.servers", aRunner.id, entry.dump());
}

/// The runner's process ends: streams in progress are cut in the middle of an event, those that
/// have no event yet after their head. It is back after some seconds.
Awaitable<void>
crash(Case& aCase, std::size_t aRunner, std::string aAttempt)
{
  auto& runner = aCase.runners.at(aRunner);
  ++aCase.crashes;
  ++runner.incarnation;
  boost::system::error_code ec;
  runner.acceptor->close(ec);
  aCase.record.line("runner " + runner.id + " crashes under " + aAttempt + ", streams " +
                    std::to_string(runner.streams.size()));
  for (const auto& it : std::exchange(runner.streams, {})) {
    if (it->begun) {
      const std::string part = "id: " + std::to_string(it->nextEvent) + "\nda";
      it->socket->write_some(asio::buffer(part), ec);
    }
    closeSocket(*it->socket);
  }
  co_await sleepMillis(kDownMs);
  aCase.record.line("runner " + runner.id + " is back");
  ++runner.born;
  listen(aCase, aRunner);
  writeEntry(aCase, runner);
}

/// Whether the runner still is the one that got the request.
bool
isUp(const Case& aCase, std::size_t aRunner, int aIncarnation)
{
  return aCase.runners.at(aRunner).incarnation == aIncarnation;
}

Awaitable<void>
answer(Case& aCase, std::size_t aRunner, SocketPtr aSocket, standins::Request aRequest)
{
  auto& runner = aCase.runners.at(aRunner);
  const int incarnation = runner.incarnation;
  const std::string attempt(aRequest["X-Attempt-Id"]);
  const std::string last(aRequest["Last-Event-Id"]);
  if (std::string(aRequest["X-Expected-Instance"]) != runner.id) {
    std::string text = "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + attempt;
    text += "\r\nX-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    co_await writeText(aSocket, std::move(text));
    closeSocket(*aSocket);
    co_return;
  }
  const bool isDeadly = aRequest.body().starts_with(kDeadly);
  aCase.record.line("runner " + runner.id + " gets " + attempt + (isDeadly ? " deadly" : "") +
                    (last.empty() ? "" : " after event " + last));
  auto stream = std::make_shared<Stream>();
  stream->socket = aSocket;
  stream->nextEvent = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  runner.streams.insert(stream);
  std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt;
  head += "\r\nX-Response-Signature: sig-" + attempt;
  head += "\r\nContent-Type: text/event-stream\r\n\r\n";
  bool open = co_await writeText(aSocket, std::move(head));
  co_await sleepMillis(kMinPrefillMs + aCase.draw(kMaxPrefillMs - kMinPrefillMs));
  if (!isUp(aCase, aRunner, incarnation)) {
    co_return;
  }
  if (open && isDeadly) {
    asio::co_spawn(aCase.io, crash(aCase, aRunner, attempt), asio::detached);
    co_return;
  }
  const int count = aCase.eventCounts[attempt];
  while (open && stream->nextEvent <= count) {
    stream->begun = true;
    open = co_await writeText(aSocket, eventText(attempt, stream->nextEvent));
    if (!isUp(aCase, aRunner, incarnation)) {
      co_return;
    }
    ++stream->nextEvent;
    co_await sleepMillis(kEventPauseMs);
    if (!isUp(aCase, aRunner, incarnation)) {
      co_return;
    }
  }
  runner.streams.erase(stream);
  closeSocket(*aSocket);
}

Awaitable<void>
session(Case& aCase, std::size_t aRunner, SocketPtr aSocket)
{
  boost::beast::flat_buffer buf;
  standins::Request request;
  const auto [ec, n] = co_await http::async_read(*aSocket, buf, request, kUse);
  if (ec) {
    closeSocket(*aSocket);
    co_return;
  }
  co_await answer(aCase, aRunner, std::move(aSocket), std::move(request));
}

Awaitable<void>
acceptLoop(Case& aCase, std::size_t aRunner, int aIncarnation)
{
  while (isUp(aCase, aRunner, aIncarnation)) {
    auto [ec, socket] = co_await aCase.runners.at(aRunner).acceptor->async_accept(kUse);
    if (ec) {
      co_return;
    }
    socket.set_option(asio::ip::tcp::no_delay(true));
    auto shared = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
    asio::co_spawn(aCase.io, session(aCase, aRunner, std::move(shared)), asio::detached);
  }
}

void
listen(Case& aCase, std::size_t aRunner)
{
  auto& runner = aCase.runners.at(aRunner);
  const auto endpoint =
    standins::parseEndpoint(runner.address.empty() ? "127.0.0.1:0" : runner.address);
  runner.acceptor = std::make_unique<asio::ip::tcp::acceptor>(aCase.io, endpoint);
  // Otherwise the processes that are started later keep the port.
  ::fcntl(runner.acceptor->native_handle(), F_SETFD, FD_CLOEXEC);
  runner.address = standins::endpointText(runner.acceptor->local_endpoint());
  asio::co_spawn(aCase.io, acceptLoop(aCase, aRunner, runner.incarnation), asio::detached);
}

void
startRunners(Case& aCase)
{
  for (std::size_t i = 0; i < kRunners; ++i) {
    aCase.runners.at(i).id = "i-" + std::to_string(i);
    listen(aCase, i);
    writeEntry(aCase, aCase.runners.at(i));
  }
}

void
writeConfiguration(Case& aCase)
{
  const json route{ { "name", "lot-report" },     { "hostname", "assay.example" },
                    { "pathPrefix", "/report/" }, { "routeType", "streaming" },
                    { "timeoutMs", kDeadlineMs }, { "targetLatencyMs", 600 },
                    { "targetItlMs", 500 },       { "priority", 1 },
                    { "service", "scribe" },      { "maxAttempts", 2 },
                    { "sessionAffinity", true },  { "streamResume", true } };
  const json service{ { "name", "scribe" },
                      { "maxConnections", 360 },
                      { "healthPath", "/healthz" },
                      { "coldPerS", 12.0 },
                      { "engine", { { "slots", 64 }, { "kvCapacityTokens", 241105 } } } };
  const json limits{ { "maxHeaderBytes", 16384 },
                     { "maxBodyBytes", 4194304 },
                     { "headerTimeoutMs", 2000 },
                     { "idleTimeoutMs", 10000 } };
  json tenants = json::array();
  tenants.push_back({ { "name", "tenant" }, { "apiKeys", { "key" } } });
  json config{ { "version", 3 }, { "limits", limits } };
  config["routes"] = json::array({ route });
  config["services"] = json::array({ service });
  config["tenants"] = tenants;
  aCase.deployment.store().put("keyed.op", "config", config.dump());
}

std::string
requestText(Case& aCase, const std::string& aAttempt, const std::string& aBody)
{
  const auto first = std::to_string(10 + aCase.draw(kFirstParts));
  const auto second = std::to_string(100 + aCase.draw(kSecondParts));
  return "POST /report/2f HTTP/1.1\r\nHost: assay.example\r\nX-Attempt-Id: " + aAttempt +
         "\r\nX-Model: m\r\nX-Token-Usage: 9190,170\r\nX-Prefix-Hash: " + first + ":2520," +
         second + ":3780,c" + aAttempt + ":2890\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
         "\r\nAuthorization: Bearer key\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

Awaitable<void>
sendRequest(Case& aCase, std::size_t aMachine, std::string aAttempt, bool aDeadly)
{
  const int count = kMinEvents + aCase.draw(kMaxEvents - kMinEvents);
  aCase.eventCounts[aAttempt] = count;
  std::string body(aDeadly ? kDeadly : "report ");
  body += aAttempt + std::string(1000, 'b');
  const auto text = requestText(aCase, aAttempt, body);
  aCase.record.line("client sends " + aAttempt + (aDeadly ? " deadly" : "") + " events " +
                    std::to_string(count));
  const auto got = co_await aCase.clients.at(aMachine).send(text, kDeadlineMs);
  if (aDeadly) {
    co_return;
  }
  std::string expected;
  for (int i = 1; i <= count; ++i) {
    expected += eventText(aAttempt, i);
  }
  std::string outcome = "client got " + aAttempt + " status " + std::to_string(got.status);
  if (!got.complete) {
    ++aCase.visiblyIncomplete;
    outcome += " visibly incomplete";
  } else if (got.status != 200) {
    ++aCase.refused;
  } else if (got.body == expected) {
    ++aCase.whole;
    outcome += " whole";
  } else {
    ++aCase.truncated;
    const auto events = std::count(got.body.begin(), got.body.end(), '\n') / 3;
    outcome +=
      " COMPLETE WITH " + std::to_string(events) + " OF " + std::to_string(count) + " EVENTS";
  }
  aCase.record.line(outcome);
}

Awaitable<bool>
awaitServing(Case& aCase)
{
  constexpr int kTries = 200;
  constexpr int kPauseMs = 100;
  constexpr int kServingNeeded = 3;
  for (std::size_t i = 0; i < kMachines; ++i) {
    int serving = 0;
    for (int n = 0; n < kTries && serving < kServingNeeded; ++n) {
      const auto attempt = "aa" + std::to_string(i) + std::to_string(n);
      aCase.eventCounts[attempt] = kMinEvents;
      const auto text = requestText(aCase, attempt, "warm");
      const auto got = co_await aCase.clients.at(i).send(text, kDeadlineMs);
      serving += got.status == 200 ? 1 : 0;
      co_await sleepMillis(serving > 0 ? 0 : kPauseMs);
    }
    if (serving < kServingNeeded) {
      co_return false;
    }
  }
  co_return true;
}

Awaitable<void>
play(Case& aCase, int& aResult)
{
  startRunners(aCase);
  writeConfiguration(aCase);
  for (std::size_t i = 0; i < kMachines; ++i) {
    aCase.deployment.start(i, true);
  }
  const bool serving = co_await awaitServing(aCase);
  if (!serving) {
    std::cerr << "the deployment does not serve\n";
    aCase.io.stop();
    co_return;
  }
  const auto fromMs = aCase.record.nowMs();
  aCase.record.line("traffic begins");
  const double pauseMs = 1000.0 / kPerSecond;
  const int deadlyEvery = static_cast<int>(1.0 / kDeadlyShare);
  for (int i = 0;; ++i) {
    const auto dueMs = static_cast<std::int64_t>(pauseMs * i);
    if (dueMs > kRunMs) {
      break;
    }
    co_await sleepMillis(std::max<std::int64_t>(fromMs + dueMs - aCase.record.nowMs(), 0));
    const bool inTrouble = hasTrouble() && dueMs >= kTroubleFromMs &&
                           (dueMs - kTroubleFromMs) % kTroubleEveryMs < kTroubleForMs;
    const bool isDeadly = inTrouble && i % deadlyEvery == 0;
    ++aCase.requests;
    char attempt[24];
    std::snprintf(attempt, sizeof attempt, "%08x", 0x10000000 + i);
    const auto machine = static_cast<std::size_t>(i) % kMachines;
    asio::co_spawn(aCase.io, sendRequest(aCase, machine, attempt, isDeadly), asio::detached);
  }
  co_await sleepMillis(kDeadlineMs + 1000);
  const auto text =
    "requests " + std::to_string(aCase.requests) + ", crashes of runners " +
    std::to_string(aCase.crashes) + ", streams whole " + std::to_string(aCase.whole) +
    ", visibly incomplete " + std::to_string(aCase.visiblyIncomplete) + ", other answers " +
    std::to_string(aCase.refused) + ", COMPLETE BUT TRUNCATED " + std::to_string(aCase.truncated);
  aCase.record.line(text);
  std::cout << text << "\n";
  aResult = aCase.truncated > 0 ? 1 : 0;
  aCase.io.stop();
}

}

int
main(int aCount, char** aArguments)
{
  constexpr int kNotRun = 2;
  if (aCount != 2) {
    std::cerr << "usage: truncated_stream RECORD\n";
    return kNotRun;
  }
  int result = kNotRun;
  const auto folder = temporaryFolder();
  try {
    Case run(aArguments[1], folder);
    asio::co_spawn(run.io, play(run, result), asio::detached);
    run.io.run();
    run.deployment.stop();
  } catch (const std::exception& aError) {
    std::cerr << aError.what() << "\n";
    result = kNotRun;
  }
  std::filesystem::remove_all(folder);
  return result;
}
