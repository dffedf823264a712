// Callers of a daemon or an engine on the loopback interface, as an open or a closed loop. Bounded
// in time and number.

#include "client.hpp"
#include "flow.hpp"
#include "report.hpp"

#include "mustardplank/traffic/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <getopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <stdexcept>

using namespace mustardplank;
using namespace mustardplank::load;

namespace {

namespace asio = boost::asio;

constexpr const char* kHelp =
  "usage: load-generator --target IP:PORT [--target ...] --flow FLOW [--flow ...]\n"
  "\n"
  "  --target IP:PORT   where requests go, in turn; loopback only\n"
  "  --flow FLOW        org=,class=,key=,tokens=,prompt=,target_ms= and either streams= (closed\n"
  "                     loop) or rate=,burst=,burst_from=,burst_to= (open loop)\n"
  "  --seconds N        how long requests are started (default 5)\n"
  "  --wait-seconds N   how long after that answers are waited for (default 20)\n"
  "  --requests N       at most so many (default 100000)\n"
  "  --seed N           of arrival times (default 1)\n"
  "  --csv FILE         one line for each request\n";

struct Options
{
  std::vector<traffic::Tcp::endpoint> targets;
  std::vector<Flow> flows;
  double seconds = 5;
  double waitSeconds = 20;
  std::uint64_t requests = 100'000;
  std::uint64_t seed = 1;
  std::string csv;
};

traffic::Tcp::endpoint
parseTarget(const std::string& aText)
{
  const auto endpoint = traffic::parseEndpoint(aText);
  if (!endpoint || !endpoint->address().is_loopback()) {
    throw std::invalid_argument("--target is no address of the loopback interface: " + aText);
  }
  return *endpoint;
}

Options
parseOptions(int aCount, char** aArguments)
{
  static const option kOptions[] = { { "target", required_argument, nullptr, 't' },
                                     { "flow", required_argument, nullptr, 'f' },
                                     { "seconds", required_argument, nullptr, 's' },
                                     { "wait-seconds", required_argument, nullptr, 'w' },
                                     { "requests", required_argument, nullptr, 'n' },
                                     { "seed", required_argument, nullptr, 'r' },
                                     { "csv", required_argument, nullptr, 'c' },
                                     { nullptr, 0, nullptr, 0 } };
  Options options;
  for (int c = 0; (c = getopt_long(aCount, aArguments, "", kOptions, nullptr)) != -1;) {
    switch (c) {
      case 't':
        options.targets.push_back(parseTarget(optarg));
        break;
      case 'f':
        options.flows.push_back(parseFlow(optarg));
        break;
      case 's':
        options.seconds = std::stod(optarg);
        break;
      case 'w':
        options.waitSeconds = std::stod(optarg);
        break;
      case 'n':
        options.requests = std::stoull(optarg);
        break;
      case 'r':
        options.seed = std::stoull(optarg);
        break;
      case 'c':
        options.csv = optarg;
        break;
      default:
        throw std::invalid_argument("unknown option");
    }
  }
  if (options.targets.empty() || options.flows.empty() || optind != aCount) {
    throw std::invalid_argument("at least one --target and one --flow are needed");
  }
  return options;
}

class Generator
{
public:
  Generator(asio::io_context& aIo, const Options& aOptions)
    : mIo(aIo)
    , mOptions(aOptions)
    , mStart(Clock::now())
    , mGaps(aOptions.flows.size())
    , mIdle(aOptions.targets.size())
    , mRandom(aOptions.seed)
  {
  }

  void start()
  {
    for (std::size_t i = 0; i < mOptions.flows.size(); ++i) {
      const auto& flow = mOptions.flows[i];
      for (unsigned n = 0; n < flow.streams; ++n) {
        asio::co_spawn(mIo, closedLoop(i, n), asio::detached);
      }
      if (flow.rate > 0) {
        asio::co_spawn(mIo, openLoop(i), asio::detached);
      }
    }
    asio::co_spawn(mIo, bound(), asio::detached);
  }

  void report(std::ostream& aOut)
  {
    printReport(aOut, mOptions.flows, mRecords, std::move(mGaps), seconds());
    if (!mOptions.csv.empty()) {
      std::ofstream csv(mOptions.csv);
      writeCsv(csv, mOptions.flows, mRecords);
    }
  }

private:
  double seconds() const { return std::chrono::duration<double>(Clock::now() - mStart).count(); }
  bool over() const { return seconds() >= mOptions.seconds || mNumber >= mOptions.requests; }

  traffic::Task<void> pause(double aSeconds)
  {
    traffic::Timer timer(mIo.get_executor());
    timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(aSeconds * 1e6)));
    co_await timer.async_wait(traffic::kAwait);
  }

  /// Ends what is left when the time is over.
  traffic::Task<void> bound()
  {
    while (!over() || (mRunning > 0 && seconds() < mOptions.seconds + mOptions.waitSeconds)) {
      co_await pause(0.01);
    }
    for (auto* it : mActive) {
      it->close();
    }
    while (mRunning > 0) {
      co_await pause(0.01);
    }
    mIo.stop();
  }

  traffic::Task<void> closedLoop(std::size_t aFlow, unsigned aStream)
  {
    // Streams that start together would all send their tokens at the same moments.
    const auto& flow = mOptions.flows[aFlow];
    co_await pause(mOptions.seconds * 0.3 * aStream / flow.streams);
    Client client(mIo, mOptions.targets[aStream % mOptions.targets.size()]);
    while (!over()) {
      co_await ask(client, aFlow);
    }
  }

  traffic::Task<void> openLoop(std::size_t aFlow)
  {
    const auto& flow = mOptions.flows[aFlow];
    while (!over()) {
      const bool burst = seconds() >= flow.burstFromSeconds && seconds() < flow.burstToSeconds;
      std::exponential_distribution<double> gap(flow.rate * (burst ? flow.burstFactor : 1));
      mDue[aFlow] = std::max(mDue[aFlow], 0.0) + gap(mRandom);
      co_await pause(std::max(0.0, mDue[aFlow] - seconds()));
      if (!over()) {
        asio::co_spawn(mIo, once(aFlow), asio::detached);
      }
    }
  }

  traffic::Task<void> once(std::size_t aFlow)
  {
    const std::size_t target = mNumber % mOptions.targets.size();
    std::unique_ptr<Client> client;
    if (mIdle[target].empty()) {
      client = std::make_unique<Client>(mIo, mOptions.targets[target]);
    } else {
      client = std::move(mIdle[target].back());
      mIdle[target].pop_back();
    }
    co_await ask(*client, aFlow);
    mIdle[target].push_back(std::move(client));
  }

  traffic::Task<void> ask(Client& aClient, std::size_t aFlow)
  {
    const auto number = mNumber++;
    const double start = seconds();
    ++mRunning;
    mActive.insert(&aClient);
    Record record = co_await aClient.ask(mOptions.flows[aFlow], number, mGaps[aFlow]);
    mActive.erase(&aClient);
    --mRunning;
    record.flow = aFlow;
    record.startSeconds = start;
    const bool refused = record.outcome != "ok";
    mRecords.push_back(std::move(record));
    if (refused) {
      // A closed loop must not turn refusals into a flood.
      co_await pause(0.02);
    }
  }

  asio::io_context& mIo;
  const Options& mOptions;
  Clock::time_point mStart;
  std::vector<Record> mRecords;
  std::vector<std::vector<float>> mGaps;
  std::vector<std::vector<std::unique_ptr<Client>>> mIdle;
  std::set<Client*> mActive;
  std::map<std::size_t, double> mDue;
  std::mt19937_64 mRandom;
  std::uint64_t mNumber = 0;
  unsigned mRunning = 0;
};

}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const Options options = parseOptions(aCount, aArguments);
    asio::io_context io(1);
    Generator generator(io, options);
    generator.start();
    io.run();
    generator.report(std::cout);
    std::cout.flush();
    // Clients of closed loops may still wait for their start.
    std::_Exit(0);
  } catch (const std::exception& error) {
    std::cerr << "load-generator: " << error.what() << "\n\n" << kHelp;
    return 2;
  }
}
