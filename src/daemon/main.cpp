#include "daemon.hpp"
#include "route_daemon.hpp"

#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/log_writer.hpp"
#include "mustardplank/settings/parse.hpp"
#include "mustardplank/settings/route_settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

using namespace mustardplank;

namespace {

constexpr int kUsageError = 2;

constexpr const char* kHelp =
  "usage: mustardplankd --settings FILE\n"
  "       mustardplankd --check-settings FILE\n"
  "\n"
  "Routes language-model traffic with service levels and priorities.\n"
  "\n"
  "  -s, --settings FILE        run with these settings (JSON with comments)\n"
  "  -c, --check-settings FILE  report everything that is wrong with a settings file and end\n"
  "  -h, --help                 this text\n"
  "\n"
  "SIGTERM drains: readiness fails, streams end, usage is handed over, exit status 0.\n";

struct Options
{
  std::string file;
  bool checkOnly = false;
};

std::optional<Options>
parseOptions(int aCount, char** aArguments)
{
  static const option kOptions[] = { { "settings", required_argument, nullptr, 's' },
                                     { "check-settings", required_argument, nullptr, 'c' },
                                     { "help", no_argument, nullptr, 'h' },
                                     { nullptr, 0, nullptr, 0 } };
  Options options;
  for (int c = 0; (c = getopt_long(aCount, aArguments, "s:c:h", kOptions, nullptr)) != -1;) {
    switch (c) {
      case 's':
      case 'c':
        options.file = optarg;
        options.checkOnly = c == 'c';
        break;
      case 'h':
        std::cout << kHelp;
        std::exit(EXIT_SUCCESS);
      default:
        return std::nullopt;
    }
  }
  if (options.file.empty() || optind != aCount) {
    return std::nullopt;
  }
  return options;
}

std::optional<std::string>
readFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  if (!in) {
    std::cerr << aFile << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

int
run(const settings::Settings& aSettings)
{
  startLogging(aSettings.logLevel, aSettings.instance.str());
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  daemon::Daemon daemon(aSettings, [&io] { boost::asio::post(io, [&io] { io.stop(); }); });
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      daemon.terminate();
    }
  });
  daemon.start();
  const auto work = boost::asio::make_work_guard(io);
  io.run();
  daemon.stop();
  LogEvent(LogLevel::Info, "daemon.stopped").write();
  return EXIT_SUCCESS;
}

/// Reports findings; whether the daemon may run.
bool
isSound(const Options& aOptions, const Findings& aFindings)
{
  if (!aFindings.empty()) {
    std::cerr << aFindings.text();
    return false;
  }
  if (aOptions.checkOnly) {
    std::cout << aOptions.file << ": no findings\n";
  }
  return true;
}

int
runPools(const Options& aOptions, const std::string& aText)
{
  Findings findings;
  const auto settings = settings::parseSettings(aText, aOptions.file, findings);
  if (!isSound(aOptions, findings)) {
    return EXIT_FAILURE;
  }
  return aOptions.checkOnly ? EXIT_SUCCESS : run(settings);
}

int
runRoutes(const Options& aOptions, const std::string& aText)
{
  Findings findings;
  auto settings = settings::parseRouteSettings(aText, aOptions.file, findings);
  if (!isSound(aOptions, findings)) {
    return EXIT_FAILURE;
  }
  if (aOptions.checkOnly) {
    return EXIT_SUCCESS;
  }
  startLogWriter(settings.logLevel, settings.instance.str());
  {
    daemon::RouteDaemon daemon(std::move(settings));
    daemon.run();
  }
  stopLogWriter();
  // Everything is written and closed. The exit handlers of libraries that this mode does not use
  // (a thread pool of the logging library) can keep a process from ending.
  std::quick_exit(EXIT_SUCCESS);
}

}

int
main(int aCount, char** aArguments)
{
  const auto options = parseOptions(aCount, aArguments);
  if (!options) {
    std::cerr << kHelp;
    return kUsageError;
  }
  const auto text = readFile(options->file);
  if (!text) {
    return EXIT_FAILURE;
  }
  try {
    return settings::readMode(*text) == settings::Mode::Routes ? runRoutes(*options, *text)
                                                               : runPools(*options, *text);
  } catch (const std::exception& aError) {
    std::cerr << "mustardplankd: " << aError.what() << "\n";
    return EXIT_FAILURE;
  }
}
