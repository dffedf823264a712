#include "deployment.hpp"

#include "mustardplank/base/clock.hpp"
#include "support/free_port.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace mustardplank::routes {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr Millis kServingBound{ 10000 };

std::string
freeAddress()
{
  return "127.0.0.1:" + std::to_string(support::freePort());
}

json
routeJson(const char* aName, const char* aKind, int aAttempts, bool aResume, bool aOpen)
{
  return { { "name", aName },
           { "hostname", "test.example" },
           { "pathPrefix", std::string("/") + aName + "/" },
           { "routeType", aKind },
           { "timeoutMs", 3000 },
           { "targetLatencyMs", 300 },
           { "priority", 1 },
           { "service", "svc" },
           { "maxAttempts", aAttempts },
           { "public", aOpen },
           { "streamResume", aResume } };
}

}

std::string
newAttempt()
{
  static std::atomic<int> count{ 0 };
  return "attempt" + std::to_string(++count);
}

CallerConnection::CallerConnection(const std::string& aAddress)
  : mStream(mIo)
{
  mStream.connect(standins::parseEndpoint(aAddress));
}

std::string
CallerConnection::textOf(const Call& aCall)
{
  http::request<http::string_body> request;
  request.method_string(aCall.method);
  request.target(aCall.path);
  request.version(11);
  request.set(http::field::host, "test.example");
  request.set("X-Attempt-Id", aCall.attempt.empty() ? newAttempt() : aCall.attempt);
  request.set("X-Deadline-Ms", std::to_string(aCall.deadlineMs));
  if (!aCall.key.empty()) {
    request.set(http::field::authorization, "Bearer " + aCall.key);
  }
  for (const auto& [name, value] : aCall.fields) {
    request.set(name, value);
  }
  request.body() = aCall.body;
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

void
CallerConnection::send(const Call& aCall)
{
  sendText(textOf(aCall));
}

void
CallerConnection::sendText(const std::string& aText)
{
  asio::write(mStream, asio::buffer(aText));
}

Response
CallerConnection::read()
{
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  boost::system::error_code ec;
  http::read(mStream, mBuffer, parser, ec);
  mPartial = parser.get().body();
  if (ec) {
    throw boost::system::system_error(ec);
  }
  return parser.release();
}

std::string
CallerConnection::unreadBytes() const
{
  const auto bytes = mBuffer.cdata();
  return { static_cast<const char*>(bytes.data()), bytes.size() };
}

Response
CallerConnection::call(const Call& aCall)
{
  send(aCall);
  return read();
}

void
CallerConnection::close()
{
  mStream.close();
}

RouteDeployment::RouteDeployment(std::size_t aServers,
                                 std::size_t aInstances,
                                 Clocks aClocks,
                                 std::size_t aDomains,
                                 Millis aStopGrace,
                                 MachineLimits aMachine,
                                 Rollouts aRollouts,
                                 ServerLinks aServerLinks)
  : mClocks(aClocks)
  , mDomains(aDomains)
  , mStopGrace(aStopGrace)
  , mMachine(aMachine)
  , mRollouts(aRollouts)
  , mServerLinks(aServerLinks)
  , mWork(mIo.get_executor())
  , mFolder(std::filesystem::temp_directory_path() /
            ("mustardplank-routes-" + std::to_string(::getpid()) + newAttempt()))
{
  std::filesystem::create_directories(mFolder);
  mStore = std::make_unique<StoreStandin>(mIo);
  for (std::size_t i = 0; i < aServers; ++i) {
    mServers.push_back(std::make_unique<ServerStandin>(mIo, "server" + std::to_string(i)));
  }
  mThread = std::thread([this] { mIo.run(); });
  configure();
  for (std::size_t i = 0; i < aServers; ++i) {
    writeServer(i);
  }
  mInstances.resize(aInstances);
  for (std::size_t i = 0; i < aInstances; ++i) {
    mCallers.push_back(freeAddress());
    mReadiness.push_back(freeAddress());
    mAdmin.push_back(freeAddress());
    startInstance(i);
  }
  awaitServing();
}

RouteDeployment::~RouteDeployment()
{
  mInstances.clear();
  mIo.stop();
  mThread.join();
  std::filesystem::remove_all(mFolder);
}

std::string
RouteDeployment::domainOf(std::size_t aIndex) const
{
  return std::string("fd-") + static_cast<char>('a' + aIndex % mDomains);
}

std::string
RouteDeployment::settingsFile(std::size_t aIndex) const
{
  return mFolder + "/settings" + std::to_string(aIndex) + ".json";
}

std::string
RouteDeployment::clockFile(std::size_t aIndex) const
{
  return mFolder + "/clock" + std::to_string(aIndex);
}

void
RouteDeployment::shiftClock(std::size_t aIndex, Millis aBy)
{
  // Padded, so that each write replaces the whole text.
  std::string text = std::to_string(aBy.count());
  text.resize(16, ' ');
  std::ofstream(clockFile(aIndex), std::ios::in | std::ios::out) << text;
}

std::string
RouteDeployment::cutFile(std::size_t aIndex) const
{
  return mFolder + "/cut" + std::to_string(aIndex);
}

void
RouteDeployment::writeCut(std::size_t aIndex, const std::string& aText)
{
  // Padded, so that each write replaces the whole text.
  constexpr std::size_t kFileBytes = 256;
  auto text = aText;
  text.resize(kFileBytes, ' ');
  std::ofstream(cutFile(aIndex), std::ios::in | std::ios::out) << text;
}

void
RouteDeployment::cutFromServers(std::size_t aIndex, CutKind aKind)
{
  using Tcp = boost::asio::ip::tcp;
  if (!mSilentAcceptor) {
    const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    mSilentAcceptor = std::make_unique<Tcp::acceptor>(mIo);
    mSilentAcceptor->open(any.protocol());
    mSilentAcceptor->bind(any);
    mSilentAcceptor->listen(0);
    mSilentConnections.emplace_back(mIo).connect(mSilentAcceptor->local_endpoint());
  }
  const char* mode = aKind == CutKind::Hang ? "hang" : aKind == CutKind::Reset ? "reset" : "refuse";
  std::string text = mode + (" " + std::to_string(mSilentAcceptor->local_endpoint().port()));
  for (const auto& it : mServers) {
    const auto address = it->address();
    text += " " + address.substr(address.find(':') + 1);
  }
  writeCut(aIndex, text);
}

void
RouteDeployment::restoreServerLinks(std::size_t aIndex)
{
  writeCut(aIndex, "none 0");
}

void
RouteDeployment::startInstance(std::size_t aIndex)
{
  const auto& store = mOnOtherAddress.contains(aIndex) ? mStore->otherAddress() : mStore->address();
  json settings{ { "mode", "routes" },
                 { "instance", "instance" + std::to_string(aIndex) },
                 { "failure_domain", domainOf(aIndex) },
                 { "callers", mCallers.at(aIndex) },
                 { "readiness", mReadiness.at(aIndex) },
                 { "admin", mAdmin.at(aIndex) },
                 { "store", store },
                 { "orders", mStore->address() },
                 { "log_sampling", 1 },
                 { "follow_held_parts", true },
                 { "memory_mb", mMachine.memoryMb },
                 { "bounds",
                   { { "usage_window_s", 2.0 },
                     { "usage_late_s", 8.0 },
                     { "stop_grace_s", static_cast<double>(mStopGrace.count()) / 1000.0 },
                     { "lease_ms", 3000 } } } };
  if (mChangeBound) {
    settings["bounds"].update({ { "config_apply_ms", mChangeBound->count() },
                                { "server_drain_ms", mChangeBound->count() } });
  }
  if (mRollouts == Rollouts::Stated) {
    settings["bounds"].update(
      { { "canary_share", 0.1 }, { "canary_tolerance", 50 }, { "rollback_ms", 5000 } });
  }
  std::ofstream(settingsFile(aIndex)) << settings.dump();
  std::map<std::string, std::string> environment;
  if (mClocks == Clocks::Adjustable) {
    // The file has to be there before the process starts.
    const std::ofstream created(clockFile(aIndex), std::ios::app);
    environment["LD_PRELOAD"] =
      std::string(BUILD_DIR) + "/test/support/libmustardplank_clock_shim.so";
    environment["MUSTARDPLANK_TEST_CLOCK"] = clockFile(aIndex);
  }
  if (mServerLinks == ServerLinks::Cuttable) {
    const std::ofstream created(cutFile(aIndex), std::ios::app);
    environment["LD_PRELOAD"] =
      std::string(BUILD_DIR) + "/test/support/libmustardplank_cut_shim.so";
    environment["MUSTARDPLANK_TEST_CUT"] = cutFile(aIndex);
  }
  std::string program = std::string(BUILD_DIR) + "/src/daemon/mustardplankd";
  std::vector<std::string> arguments{ "--settings", settingsFile(aIndex) };
  if (mMachine.descriptors > 0) {
    const auto limit = "ulimit -n " + std::to_string(mMachine.descriptors);
    arguments.insert(arguments.begin(), { "-c", limit + R"( && exec "$0" "$@")", program });
    program = "/bin/sh";
  }
  mInstances.at(aIndex) = std::make_unique<support::ChildProcess>(
    program, arguments, mFolder + "/instance" + std::to_string(aIndex), environment);
}

void
RouteDeployment::restartOnOtherAddress(std::size_t aIndex)
{
  mOnOtherAddress.insert(aIndex);
  mInstances.at(aIndex)->kill();
  startInstance(aIndex);
  awaitServing();
}

void
RouteDeployment::configure(const std::string& aKeyOfOne, bool aWithPlain)
{
  json config{ { "version", ++mVersion } };
  config["routes"] = json::array();
  if (aWithPlain) {
    config["routes"].push_back(routeJson("plain", "non_idempotent", 1, false, false));
  }
  config["routes"].push_back(routeJson("twice", "idempotent", 2, false, false));
  config["routes"].push_back(routeJson("events", "streaming", 1, false, false));
  config["routes"].push_back(routeJson("resume", "streaming", 2, true, false));
  config["routes"].push_back(routeJson("thrice", "streaming", 3, true, false));
  config["routes"].push_back(routeJson("open", "idempotent", 1, false, true));
  for (std::size_t i = 0; i < mMoreRoutes; ++i) {
    auto route = routeJson("twice", "idempotent", 2, false, false);
    route["name"] = "more" + std::to_string(i);
    route["hostname"] = "host" + std::to_string(i) + ".example";
    config["routes"].push_back(std::move(route));
  }
  for (auto& it : config["routes"]) {
    it["timeoutMs"] = mRouteTimeout.count();
    if (mWeights != std::pair(1, 0)) {
      it["weightedServices"] =
        json::array({ { { "service", "svc" }, { "weight", mWeights.first } },
                      { { "service", "other" }, { "weight", mWeights.second } } });
    }
  }
  config["services"] =
    json::array({ { { "name", "svc" }, { "maxConnections", 100 }, { "coldPerS", 2.0 } },
                  { { "name", "other" }, { "maxConnections", 100 }, { "coldPerS", 2.0 } } });
  if (mReportCalls > 0) {
    config["services"][0]["engine"] = { { "slots", 8 },
                                        { "kvCapacityTokens", 100000 },
                                        { "most", mReportCalls } };
  }
  config["limits"] = { { "maxHeaderBytes", 8192 },
                       { "maxBodyBytes", mMaxBodyBytes },
                       { "headerTimeoutMs", 1000 },
                       { "idleTimeoutMs", mIdleTimeout.count() } };
  config["tenants"] = json::array();
  config["tenants"].push_back({ { "name", "one" }, { "apiKeys", { aKeyOfOne } } });
  config["tenants"].push_back({ { "name", "two" }, { "apiKeys", { "key-two" } } });
  mStore->put("keyed.op", "config", config.dump());
}

void
RouteDeployment::writeServer(std::size_t aIndex,
                             const std::string& aState,
                             const std::string& aMore)
{
  const auto& server = *mServers.at(aIndex);
  json entry{ { "service", "svc" }, { "address", server.address() },
              { "zone", "fd-a" },   { "slots", 8 },
              { "state", aState },  { "born", 1 } };
  if (!aMore.empty()) {
    entry.update(json::parse(aMore));
  }
  mStore->put("keyed.servers", server.id(), entry.dump());
}

void
RouteDeployment::removeServer(std::size_t aIndex)
{
  mStore->put("keyed.servers", mServers.at(aIndex)->id(), std::nullopt);
}

int
RouteDeployment::readinessStatus(std::size_t aIndex)
{
  try {
    CallerConnection connection(mReadiness.at(aIndex));
    Call call;
    call.method = "GET";
    call.path = "/readyz";
    call.body = "";
    return static_cast<int>(connection.call(call).result_int());
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

std::string
RouteDeployment::adminPage(std::size_t aIndex, const std::string& aPath) const
{
  try {
    CallerConnection connection(mAdmin.at(aIndex));
    Call call;
    call.method = "GET";
    call.path = aPath;
    call.body = "";
    return connection.call(call).body();
  } catch (const boost::system::system_error&) {
    return {};
  }
}

std::map<std::string, int>
RouteDeployment::unanswered(std::size_t aIndex) const
{
  const std::string name = "mustardplank_unanswered_requests_total{reason=\"";
  std::map<std::string, int> counts;
  std::istringstream page(adminPage(aIndex, "/metrics"));
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with(name)) {
      const auto end = line.find('"', name.size());
      counts[line.substr(name.size(), end - name.size())] =
        std::atoi(line.c_str() + line.rfind(' '));
    }
  }
  return counts;
}

void
RouteDeployment::awaitServing()
{
  for (std::size_t i = 0; i < mCallers.size(); ++i) {
    const bool serving = support::waitUntil(kServingBound, [&] {
      // Until it knows the number of instances, its share of the retry budget is about none.
      if (readinessStatus(i) != 200 ||
          adminPage(i, "/status").find("instances 0 ") != std::string::npos) {
        return false;
      }
      CallerConnection connection(mCallers[i]);
      Call call;
      call.path = "/twice/ok";
      return connection.call(call).result_int() == 200;
    });
    if (!serving) {
      throw std::runtime_error("an instance does not serve: " + adminPage(i, "/status") +
                               mInstances[i]->output() + mInstances[i]->errors());
    }
  }
}

std::size_t
RouteDeployment::arrivals(const std::string& aAttempt) const
{
  std::size_t n = 0;
  for (const auto& server : mServers) {
    for (const auto& it : server->arrivals()) {
      n += it.attempt == aAttempt ? 1 : 0;
    }
  }
  return n;
}

Call
callOf(const std::string& aPath)
{
  Call call;
  call.path = aPath;
  call.attempt = newAttempt();
  return call;
}

}
