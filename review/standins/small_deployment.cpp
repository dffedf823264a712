#include "standins/small_deployment.hpp"

#include "mustardplank/base/clock.hpp"
#include "support/free_port.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

// g++ 12 takes the operators new and delete of coroutine frames of Asio for a mismatched pair.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace mustardplank::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr auto kUse = asio::as_tuple(asio::use_awaitable);
/// The program that deploy/system.toml builds and starts.
constexpr const char* kProgram = "target/src/daemon/mustardplankd";
constexpr std::size_t kMaxHeadBytes = 64UL * 1024;
/// Clients use a connection that has been idle for four fifths of idleTimeoutMs at most. The
/// scripts set 10 s.
constexpr std::int64_t kMaxIdleMs = 8000;

std::string
freeAddress()
{
  return "127.0.0.1:" + std::to_string(support::freePort());
}

}

Record::Record(const std::string& aFile)
  : mFile(std::fopen(aFile.c_str(), "w"))
  , mStartMs(standins::ledgerMillis())
{
  if (mFile == nullptr) {
    throw std::runtime_error(aFile + " cannot be written");
  }
}

Record::~Record()
{
  std::fclose(mFile);
}

std::int64_t
Record::nowMs() const
{
  return standins::ledgerMillis() - mStartMs;
}

void
Record::line(const std::string& aText)
{
  std::fprintf(mFile, "%7lld %s\n", static_cast<long long>(nowMs()), aText.c_str());
}

SmallDeployment::SmallDeployment(asio::io_context& aIo,
                                 std::size_t aMachines,
                                 std::string aFolder,
                                 std::string aOrders)
  : mFolder(std::move(aFolder))
  , mStore(aIo)
  , mMachines(aMachines)
{
  for (auto& it : mMachines) {
    it.callers = freeAddress();
    it.readiness = freeAddress();
    it.admin = freeAddress();
    it.orders = aOrders.empty() ? mStore.address() : aOrders;
  }
}

void
SmallDeployment::start(std::size_t aMachine, bool aFirst)
{
  auto& machine = mMachines.at(aMachine);
  const std::string name = "edge-a-" + std::to_string(aMachine + 1);
  // deploy/settings.template.json with the bounds of the site files.
  const json settings{ { "mode", "routes" },
                       { "instance", name },
                       { "failure_domain", "zone-a" },
                       { "callers", machine.callers },
                       { "readiness", machine.readiness },
                       { "admin", machine.admin },
                       { "store", mStore.address() },
                       { "orders", machine.orders },
                       { "first_start", aFirst },
                       { "policy", "predicted" },
                       { "log_sampling", 16 },
                       { "bounds",
                         { { "retry_ratio", 0.2 },
                           { "retry_window_s", 10 },
                           { "retry_slack", 54 },
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
                       { "domain_agents", 2 } };
  const auto file = mFolder + "/" + name + ".json";
  std::ofstream(file) << settings.dump();
  machine.process = std::make_unique<support::ChildProcess>(
    kProgram,
    std::vector<std::string>{ "--settings", file },
    mFolder + "/" + name + "-" + std::to_string(++machine.starts));
}

void
SmallDeployment::stop()
{
  for (auto& it : mMachines) {
    it.process.reset();
  }
}

std::optional<double>
SmallDeployment::memoryMb(std::size_t aMachine)
{
  std::ifstream file("/proc/" + std::to_string(mMachines.at(aMachine).process->id()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::strtod(line.c_str() + std::string("VmRSS:").size(), nullptr) / 1024.0;
    }
  }
  return std::nullopt;
}

struct Clients::Connection
{
  explicit Connection(asio::io_context& aIo)
    : stream(aIo)
  {
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buf;
  std::int64_t usedAtMs = 0;
};

Clients::Clients(asio::io_context& aIo, std::string aAddress)
  : mIo(aIo)
  , mAddress(std::move(aAddress))
{
}

standins::Awaitable<Answer>
Clients::send(std::string aText, std::int64_t aPatienceMs)
{
  Answer answer;
  std::shared_ptr<Connection> connection;
  // The one that was used last is at the back.
  if (!mIdle.empty() && standins::ledgerMillis() - mIdle.back()->usedAtMs > kMaxIdleMs) {
    mIdle.clear();
  }
  if (!mIdle.empty()) {
    connection = std::move(mIdle.back());
    mIdle.pop_back();
    answer.onKeptConnection = true;
  } else {
    connection = std::make_shared<Connection>(mIo);
    connection->stream.expires_after(Seconds(1));
    const auto [ec] =
      co_await connection->stream.async_connect(standins::parseEndpoint(mAddress), kUse);
    if (ec) {
      co_return answer;
    }
  }
  connection->stream.expires_after(Millis(aPatienceMs));
  const auto [writeError, written] =
    co_await asio::async_write(connection->stream, asio::buffer(aText), kUse);
  if (writeError) {
    co_return answer;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.header_limit(kMaxHeadBytes);
  const auto [ec, n] = co_await http::async_read(connection->stream, connection->buf, parser, kUse);
  if (parser.is_header_done()) {
    answer.status = parser.get().result_int();
    answer.signature = std::string(parser.get()["X-Response-Signature"]);
    answer.body = parser.get().body();
  }
  answer.complete = !ec && parser.is_done();
  if (answer.complete && parser.keep_alive()) {
    connection->stream.expires_never();
    connection->usedAtMs = standins::ledgerMillis();
    mIdle.push_back(std::move(connection));
  }
  co_return answer;
}

std::string
temporaryFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "mustardplank-review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

bool
hasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}
