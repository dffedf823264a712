#pragma once

#include "client.hpp"
#include "command_line.hpp"

#include <mustardplank.grpc.pb.h>

#include <map>
#include <ostream>
#include <string>

namespace mustardplank::ctl {

using Environment = std::map<std::string, std::string>;

/// What a running command needs.
struct Session
{
  const CommandLine& line;
  Client& client;
  std::ostream& out;
  bool json = false;
};

/// Options of the connection from command line and environment.
leaf::result<ClientOptions>
connectionOptions(const CommandLine& aLine, const Environment& aEnvironment);

/// Operation id and expected revision from the options; the id is random if none is given.
leaf::result<v1::Mutation>
makeMutation(const CommandLine& aLine);

// The commands by group.

leaf::result<void>
runOrganisation(Session& aSession);

leaf::result<void>
runKey(Session& aSession);

leaf::result<void>
runClass(Session& aSession);

leaf::result<void>
runFailureDomain(Session& aSession);

leaf::result<void>
runPool(Session& aSession);

leaf::result<void>
runServer(Session& aSession);

/// Status, instances, top and watch.
leaf::result<void>
runOperations(Session& aSession);

}
