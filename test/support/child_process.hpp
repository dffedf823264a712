#pragma once

#include "mustardplank/base/time.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::support {

/// A process that this one started; ended with it. Signals go to its process id only.
class ChildProcess
{
public:
  /// Standard output and error go to the files aLog + ".out" and aLog + ".err". aEnvironment is
  /// added to that of this process.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               std::string aLog,
               const std::map<std::string, std::string>& aEnvironment = {});
  ~ChildProcess();
  ChildProcess(ChildProcess&&) noexcept;
  ChildProcess& operator=(ChildProcess&&) noexcept;

  int id() const;
  bool running();
  void signal(int aSignal);
  /// SIGKILL, and waits for the end.
  void kill();
  /// The exit code, or 128 + signal number; nothing when it still runs after aBound.
  std::optional<int> wait(Duration aBound);
  /// The words after "ready" on standard output. Throws when there are none within 10 s.
  std::vector<std::string> readyAddresses();
  std::string output() const;
  std::string errors() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

}
