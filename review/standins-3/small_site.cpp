#include "small_site.hpp"

#include "support/free_port.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>

#include <unistd.h>

namespace review {

using nlohmann::json;

namespace {

std::string
freeAddress()
{
  return "127.0.0.1:" + std::to_string(mustardplank::support::freePort());
}

const char*
zoneOfServer(std::size_t aIndex)
{
  const char* const zones[] = { "giza", "shubra", "maadi" };
  return zones[aIndex % 3];
}

json
routeOf(const char* aName, const char* aKind, int aAttempts, bool aResume)
{
  return { { "name", aName },
           { "hostname", "test.example" },
           { "pathPrefix", std::string("/") + aName + "/" },
           { "routeType", aKind },
           { "timeoutMs", 4000 },
           { "targetLatencyMs", 300 },
           { "targetItlMs", 300 },
           { "priority", 1 },
           { "service", "svc" },
           { "maxAttempts", aAttempts },
           { "public", false },
           { "streamResume", aResume } };
}

}

Record::Record(const std::string& aFile)
  : mOut(aFile)
{
}

void
Record::line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - mStart);
  mOut << ms.count() << " ms  " << aText << "\n" << std::flush;
}

SmallSite::SmallSite(std::size_t aServers, std::size_t aInstances, Record& aRecord)
  : mRecord(aRecord)
  , mWork(mIo.get_executor())
  , mFolder(std::filesystem::temp_directory_path() /
            ("mustardplank-review-" + std::to_string(::getpid())))
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
    startInstance(i, true);
  }
}

SmallSite::~SmallSite()
{
  mInstances.clear();
  mIo.stop();
  mThread.join();
  std::filesystem::remove_all(mFolder);
}

void
SmallSite::startInstance(std::size_t aIndex, bool aFirstStart)
{
  // Two machines, three and one, as in the site file.
  const char* const zones[] = { "giza", "giza", "shubra", "shubra", "shubra", "maadi" };
  const json settings{ { "mode", "routes" },
                       { "instance", nameOf(aIndex) },
                       { "failure_domain", zones[aIndex % 6] },
                       { "callers", mCallers.at(aIndex) },
                       { "readiness", mReadiness.at(aIndex) },
                       { "admin", mAdmin.at(aIndex) },
                       { "store", mStore->address() },
                       { "orders", mStore->address() },
                       { "first_start", aFirstStart },
                       { "policy", "predicted" },
                       { "log_sampling", 1 },
                       { "follow_held_parts", true },
                       { "bounds",
                         { { "retry_ratio", 0.2 },
                           { "retry_window_s", 10 },
                           { "retry_slack", 52 },
                           { "cold_overage", 1.5 },
                           { "cold_tolerance", 5 },
                           { "usage_window_s", 5 },
                           { "usage_late_s", 10 },
                           { "lease_ms", 3000 },
                           { "stop_grace_s", 8 },
                           { "server_drain_ms", 2000 },
                           { "config_apply_ms", 2000 },
                           { "key_revocation_ms", 5000 },
                           { "evacuation_ms", 5000 } } },
                       { "processor_share", 0.25 },
                       { "link_mbps", 1000.0 },
                       { "memory_mb", 260 },
                       { "domain_agents", 2 } };
  const auto file = mFolder + "/settings" + std::to_string(aIndex) + ".json";
  std::ofstream(file) << settings.dump();
  mInstances.at(aIndex) =
    std::make_unique<ChildProcess>("target/src/daemon/mustardplankd",
                                   std::vector<std::string>{ "--settings", file },
                                   mFolder + "/instance" + std::to_string(aIndex));
}

void
SmallSite::writeServer(std::size_t aIndex, const std::string& aAddress, const std::string& aMore)
{
  const auto& server = *mServers.at(aIndex);
  json entry{ { "service", "svc" },
              { "address", aAddress.empty() ? server.address() : aAddress },
              { "zone", zoneOfServer(aIndex) },
              { "slots", 64 },
              { "state", "ready" },
              { "born", 1 } };
  if (!aMore.empty()) {
    entry.update(json::parse(aMore));
  }
  mStore->put("keyed.servers", server.id(), entry.dump());
}

void
SmallSite::configure()
{
  json config{ { "version", ++mVersion } };
  config["routes"] = json::array({ routeOf("plain", "non_idempotent", 1, false),
                                   routeOf("twice", "idempotent", 2, false),
                                   routeOf("events", "streaming", 1, false),
                                   routeOf("resume", "streaming", 2, true) });
  config["services"] =
    json::array({ { { "name", "svc" }, { "maxConnections", 360 }, { "coldPerS", 20.0 } } });
  config["limits"] = { { "maxHeaderBytes", 16384 },
                       { "maxBodyBytes", 1000000 },
                       { "headerTimeoutMs", 2000 },
                       { "idleTimeoutMs", 10000 } };
  config["tenants"] = json::array({ { { "name", "one" }, { "apiKeys", { "key-one" } } },
                                    { { "name", "two" }, { "apiKeys", { "key-two" } } } });
  mStore->put("keyed.op", "config", config.dump());
}

bool
SmallSite::awaitServing()
{
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  for (std::size_t i = 0; i < mCallers.size();) {
    Call call;
    call.path = "/twice/ok";
    if (statusOf(mCallers[i], call) == 200) {
      ++i;
    } else if (std::chrono::steady_clock::now() >= until) {
      return false;
    } else {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }
  return true;
}

std::string
SmallSite::status(std::size_t aIndex) const
{
  std::string body;
  Call call;
  call.method = "GET";
  call.path = "/status";
  call.body = "";
  statusOf(mAdmin.at(aIndex), call, &body);
  return body;
}

int
statusOf(const std::string& aAddress, const Call& aCall, std::string* aBody)
{
  try {
    CallerConnection connection(aAddress);
    const auto response = connection.call(aCall);
    if (aBody != nullptr) {
      *aBody = response.body();
    }
    return static_cast<int>(response.result_int());
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

bool
isWithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}
