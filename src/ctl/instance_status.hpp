#pragma once

#include "run.hpp"

#include <iosfwd>
#include <string>
#include <vector>

namespace mustardplank::ctl {

/// "status --instance IP:PORT": what an instance in mode "routes" says of itself on the address for
/// metrics and status: configuration, owners of the duties, dependencies, queues, servers.
ExitCode
runInstanceStatus(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErrors);

}
