#include "support/child_process.hpp"

#include "support/wait.hpp"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/env.hpp>
#include <boost/process/environment.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace mustardplank::support {

namespace bp = boost::process;

namespace {

std::string
readFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}

struct ChildProcess::Impl
{
  std::string log;
  bp::child child;
  std::optional<int> exitCode;
};

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           std::string aLog,
                           const std::map<std::string, std::string>& aEnvironment)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->log = std::move(aLog);
  // A test that ends in any way leaves no process behind.
  const auto endWithParent =
    bp::extend::on_exec_setup([](auto&) { prctl(PR_SET_PDEATHSIG, SIGKILL); });
  bp::environment environment = boost::this_process::environment();
  for (const auto& [name, value] : aEnvironment) {
    environment[name] = value;
  }
  mImpl->child = bp::child(aProgram,
                           bp::args(aArguments),
                           environment,
                           bp::std_in<bp::null, bp::std_out> mImpl->log + ".out",
                           bp::std_err > mImpl->log + ".err",
                           endWithParent);
}

ChildProcess::~ChildProcess()
{
  if (mImpl != nullptr && running()) {
    kill();
  }
}

ChildProcess::ChildProcess(ChildProcess&&) noexcept = default;
ChildProcess&
ChildProcess::operator=(ChildProcess&&) noexcept = default;

int
ChildProcess::id() const
{
  return mImpl->child.id();
}

bool
ChildProcess::running()
{
  return !wait(Duration::zero());
}

void
ChildProcess::signal(int aSignal)
{
  if (running()) {
    ::kill(id(), aSignal);
  }
}

void
ChildProcess::kill()
{
  signal(SIGKILL);
  wait(Seconds(10));
}

std::optional<int>
ChildProcess::wait(Duration aBound)
{
  waitUntil(aBound, [&] {
    if (mImpl->exitCode) {
      return true;
    }
    std::error_code ec;
    if (!mImpl->child.running(ec)) {
      const int status = mImpl->child.native_exit_code();
      mImpl->exitCode = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    }
    return mImpl->exitCode.has_value();
  });
  return mImpl->exitCode;
}

std::vector<std::string>
ChildProcess::readyAddresses()
{
  std::string text;
  const bool ready = waitUntil(Seconds(10), [&] {
    text = output();
    return (text.starts_with("ready ") && text.ends_with('\n')) || !running();
  });
  if (!ready || !text.starts_with("ready ")) {
    throw std::runtime_error(mImpl->log + " did not get ready: " + errors());
  }
  std::istringstream words(text.substr(6));
  return { std::istream_iterator<std::string>(words), {} };
}

std::string
ChildProcess::output() const
{
  return readFile(mImpl->log + ".out");
}

std::string
ChildProcess::errors() const
{
  return readFile(mImpl->log + ".err");
}

}
