#include "caller_crowd.hpp"
#include "deployment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// The machine that the settings of these tests state. The bounds are those of the machine.
constexpr std::uint32_t kMemoryMb = 80;
constexpr std::size_t kDescriptors = 256;
/// What an instance needs for servers, the store and other instances.
constexpr std::size_t kReservedDescriptors = 32;
constexpr std::size_t kMaxBodyBytes = 4'000'000;
constexpr std::size_t kLowerBodyBytes = 100'000;
constexpr std::size_t kCallers = 40;
constexpr std::size_t kSilentCallers = 400;
constexpr std::size_t kOrdinaryBodyBytes = 55'000;
/// Longer than a test: what the crowd holds is not freed by the idle limit.
constexpr Millis kIdleTimeout{ 60'000 };
/// How long a crowd sends before it is left as it is.
constexpr Millis kCrowdTime{ 2'000 };
/// Bounds on hanging, far above what any machine takes.
constexpr Millis kAnswerBound{ 20'000 };
constexpr Millis kStopBound{ 20'000 };

/// What happens while the crowd sends.
enum class Beside
{
  OrdinaryCallers,
  LowerLimit,
  Shutdown,
};

/// The most memory and descriptors that a process has held.
struct Held
{
  double memoryMb = 0.0;
  std::size_t descriptors = 0;
};

void
measure(int aProcess, Held& aHeld)
{
  const auto folder = "/proc/" + std::to_string(aProcess);
  std::ifstream file(folder + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      aHeld.memoryMb =
        std::max(aHeld.memoryMb, std::strtod(line.c_str() + 6, nullptr) * 1024 / 1e6);
    }
  }
  std::error_code ec;
  const auto files = std::filesystem::directory_iterator(folder + "/fd", ec);
  const auto n = static_cast<std::size_t>(std::distance(begin(files), end(files)));
  aHeld.descriptors = std::max(aHeld.descriptors, n);
}

/// Whether a caller on another address and of another organisation is answered.
bool
isAnswered(RouteDeployment& aDeployment)
{
  try {
    CallerConnection connection(aDeployment.callers());
    auto call = callOf("/plain/ok");
    call.body = std::string(kOrdinaryBodyBytes, 'x');
    return connection.call(call).result_int() == 200U;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

void
checkBeside(const CrowdPattern& aPattern, Beside aBeside)
{
  RouteDeployment deployment(
    2, 1, Clocks::OfTheMachine, 1, RouteDeployment::kStopGrace, { kMemoryMb, kDescriptors });
  deployment.setMaxBodyBytes(kMaxBodyBytes);
  deployment.setIdleTimeout(kIdleTimeout);
  deployment.configure();
  for (std::size_t i = 0; i < 2; ++i) {
    deployment.writeServer(i, "ready", R"({"slots": 64})");
  }
  std::this_thread::sleep_for(Millis(2000));
  auto& instance = deployment.instance(0);
  Held held;
  const CallerCrowd crowd(deployment.callers(), aPattern);
  const auto start = std::chrono::steady_clock::now();
  bool halfTime = false;
  waitUntil(kCrowdTime, [&] {
    measure(instance.id(), held);
    if (!halfTime && std::chrono::steady_clock::now() - start > kCrowdTime / 2) {
      halfTime = true;
      if (aBeside == Beside::Shutdown) {
        instance.signal(SIGTERM);
      } else if (aBeside == Beside::LowerLimit) {
        deployment.setMaxBodyBytes(kLowerBodyBytes);
        deployment.configure();
      } else {
        isAnswered(deployment);
      }
    }
    return false;
  });
  if (aBeside == Beside::Shutdown) {
    std::optional<int> status;
    waitUntil(kStopBound, [&] {
      measure(instance.id(), held);
      status = instance.wait(Millis(0));
      return status.has_value();
    });
    BOOST_TEST((status == 0));
  } else {
    BOOST_TEST(waitUntil(kAnswerBound, [&] { return isAnswered(deployment); }));
    measure(instance.id(), held);
    BOOST_TEST(instance.running());
  }
  BOOST_TEST_MESSAGE("most " << held.memoryMb << " MB, " << held.descriptors << " descriptors");
  BOOST_TEST(held.memoryMb < kMemoryMb);
  BOOST_TEST(held.descriptors <= kDescriptors - kReservedDescriptors);
}

void
checkCrowd(const CrowdPattern& aPattern)
{
  for (const auto beside : { Beside::OrdinaryCallers, Beside::LowerLimit, Beside::Shutdown }) {
    BOOST_TEST_CONTEXT("beside " << static_cast<int>(beside))
    {
      checkBeside(aPattern, beside);
    }
  }
}

std::string
headOf(const std::string& aPath, const std::string& aFields)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key-two\r\n" +
         "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n" + aFields;
}

std::string
chunkedHead()
{
  return headOf("/plain/ok", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string
chunkOf(std::size_t aBytes)
{
  std::ostringstream text;
  text << std::hex << aBytes << "\r\n" << std::string(aBytes, 'x') << "\r\n";
  return text.str();
}

std::string
lengthHead(const std::string& aPath, std::size_t aBytes)
{
  return headOf(aPath, "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n");
}

}

// Guards against bodies whose declared length is over the limit, and that are sent all the same.
BOOST_AUTO_TEST_CASE(routes_crowd_that_declares_too_much_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = lengthHead("/plain/ok", 2 * kMaxBodyBytes),
               .block = std::string(100'000, 'x'),
               .blocks = 80 });
}

// Guards against bodies that turn out to be over the limit only after most of them is held.
BOOST_AUTO_TEST_CASE(routes_crowd_that_sends_too_much_leaves_memory)
{
  checkCrowd(
    { .callers = kCallers, .head = chunkedHead(), .block = chunkOf(100'000), .blocks = 60 });
}

// Guards against chunked bodies that never end.
BOOST_AUTO_TEST_CASE(routes_crowd_of_endless_bodies_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = chunkedHead(),
               .block = chunkOf(10'000),
               .blocks = CrowdPattern::kEndless,
               .pause = Millis(2) });
}

// Guards against what very small chunks cost besides their data.
BOOST_AUTO_TEST_CASE(routes_crowd_of_one_byte_chunks_leaves_memory)
{
  std::string block;
  for (int i = 0; i < 10'000; ++i) {
    block += chunkOf(1);
  }
  checkCrowd({ .callers = kCallers, .head = chunkedHead(), .block = block, .blocks = 20 });
}

// Guards against large chunks whose body stops just short of its end.
BOOST_AUTO_TEST_CASE(routes_crowd_of_large_chunks_leaves_memory)
{
  checkCrowd(
    { .callers = kCallers, .head = chunkedHead(), .block = chunkOf(1'000'000), .blocks = 3 });
}

// Guards against bodies that lack their last byte and are held for as long as the connection is.
BOOST_AUTO_TEST_CASE(routes_crowd_that_stops_short_of_the_end_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = lengthHead("/plain/ok", kMaxBodyBytes),
               .block = std::string((kMaxBodyBytes - 1) / 3, 'x'),
               .blocks = 3 });
}

// Guards against connections whose caller has ended its side in the middle of a body.
BOOST_AUTO_TEST_CASE(routes_crowd_of_half_open_connections_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = lengthHead("/plain/ok", kMaxBodyBytes),
               .block = std::string((kMaxBodyBytes - 1) / 3, 'x'),
               .blocks = 3,
               .closesItsSide = true });
}

// Guards against connections without a byte that take all descriptors.
BOOST_AUTO_TEST_CASE(routes_crowd_that_sends_nothing_leaves_descriptors)
{
  checkCrowd({ .callers = kSilentCallers });
}

// Guards against header sections that come byte by byte and never end.
BOOST_AUTO_TEST_CASE(routes_crowd_of_trickling_headers_leaves_descriptors)
{
  checkCrowd({ .callers = kSilentCallers,
               .head = headOf("/plain/ok", "X-Long: "),
               .block = "x",
               .blocks = CrowdPattern::kEndless,
               .pause = Millis(100) });
}

// Guards against the size line of a chunk, or its trailer section, without an end.
BOOST_AUTO_TEST_CASE(routes_crowd_of_endless_chunk_extensions_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = chunkedHead() + "1;a=",
               .block = std::string(10'000, 'x'),
               .blocks = CrowdPattern::kEndless,
               .pause = Millis(2) });
}

BOOST_AUTO_TEST_CASE(routes_crowd_of_endless_trailers_leaves_memory)
{
  std::string fields;
  for (int i = 0; i < 100; ++i) {
    fields += "X-Trailer: " + std::string(100, 'x') + "\r\n";
  }
  checkCrowd({ .callers = kCallers,
               .head = chunkedHead() + chunkOf(1) + "0\r\n",
               .block = fields,
               .blocks = CrowdPattern::kEndless,
               .pause = Millis(2) });
}

// Guards against requests that are sent ahead by callers that read no response.
BOOST_AUTO_TEST_CASE(routes_crowd_that_reads_nothing_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .block = lengthHead("/plain/large2000", 1000) + std::string(1000, 'x'),
               .blocks = CrowdPattern::kEndless });
}

// Guards against whole requests that wait for a server that does not answer.
BOOST_AUTO_TEST_CASE(routes_crowd_of_waiting_requests_leaves_memory)
{
  checkCrowd({ .callers = kCallers,
               .head = lengthHead("/plain/hang", 2'000'000),
               .block = std::string(2'000'000, 'x'),
               .blocks = 1 });
}
