#pragma once

#include "mustardplank/base/findings.hpp"
#include "mustardplank/dispatch/placement.hpp"
#include "mustardplank/settings/settings.hpp"

#include <algorithm>
#include <optional>
#include <string_view>

namespace mustardplank::settings {

/// How a daemon finds what it serves.
enum class Mode
{
  /// Pools and classes from its own log, changed by operators through gRPC.
  Pools,
  /// Routes and backend servers from the platform's store.
  Routes,
};

inline constexpr NameTable<Mode, 2> kModeNames{ { {
  { Mode::Pools, "pools" },
  { Mode::Routes, "routes" },
} } };

/// Bounds on a bad version of a service's software.
struct RolloutBounds
{
  /// Share of the service's requests that it may get, and requests besides.
  double canaryShare = 0.1;
  double canaryTolerance = 50.0;
  /// It gets no request sent so long after its 50th bad response.
  Duration rollback = Seconds(5);
};

/// Bounds that the deployment promises or demands.
struct RouteBounds
{
  /// Repeats allowed for each request to a service, within the window, and besides.
  double retryRatio = 0.2;
  Duration retryWindow = Seconds(10);
  double retrySlack = 20.0;
  /// Factor on a cold server's rate, and requests a second besides, that it still bears.
  double coldOverage = 1.0;
  double coldTolerance = 0.0;
  Duration usageWindow = Seconds(60);
  /// Usage is reported at the latest this long after its window.
  Duration usageLate = Seconds(10);
  /// Two holders of a duty act at least this far apart.
  Duration lease = Seconds(3);
  /// How long a process may run on after SIGTERM.
  Duration stopGrace = Seconds(8);
  /// A leaving server serves at least this long after it has said so.
  Duration serverDrain = Seconds(2);
  /// A change of the configuration is in force on every instance within this time.
  Duration configApply = Seconds(2);
  /// A key that was taken away is refused everywhere within this time.
  Duration keyRevocation = Seconds(5);
  /// A failure domain that was taken out gets no requests after this time.
  Duration evacuation = Seconds(5);
  /// Set if the deployment states one of them. Servers with a version that is new to their service
  /// then wait until it is known whether there is an order for it.
  std::optional<RolloutBounds> rollouts;

  /// The shortest time within which a change in the store has to be known to every instance.
  Duration shortest() const
  {
    return std::min({ serverDrain, configApply, keyRevocation, evacuation });
  }
};

/// Everything a daemon in mode "routes" reads from its settings file.
struct RouteSettings
{
  InstanceId instance;
  FailureDomainId failureDomain;
  Address callers;
  Address readiness;
  /// Metrics and status.
  Address admin;
  /// The platform's store.
  Address store;
  /// Where usage is reported and servers are ordered; nothing when that is not this system's.
  std::optional<Address> orders;
  dispatch::Policy policy = dispatch::Policy::Predicted;
  /// The whole system starts for the first time.
  bool firstStart = false;
  bool reportUsage = true;
  bool orderServers = true;
  RouteBounds bounds;
  LogLevel logLevel = LogLevel::Info;
  /// Instances of each failure domain that follow the store for the others; 0: every instance
  /// follows it itself.
  std::uint32_t domainAgents = 2;
  /// Share of a processor core that the process may use; instances with more become agents first.
  double processorShare = 0.25;
  /// What the instance's network link takes, in Mbit/s; 0 if not stated. A share of it limits what
  /// an agent sends to other instances.
  double linkMbps = 0.0;
  /// Memory that the process may use, in MB (1,000,000 bytes).
  std::uint32_t memoryMb = 100;
  /// Callers that send a body more slowly, in bytes per second, are rejected while the memory for
  /// callers is scarce. 0: none is.
  std::uint32_t callerMinBytesPerS = 8'000;
  /// Whether agents follow what engines report to keep of prompts, where the configuration says
  /// that they report it.
  bool followsHeldParts = false;
  /// One in so many routine requests is logged.
  std::uint32_t logSampling = 16;
};

/// The mode that a settings file asks for; Pools when it names none or cannot be read.
Mode
readMode(std::string_view aText);

/// Reads settings of mode "routes"; like parseSettings().
RouteSettings
parseRouteSettings(std::string_view aText, std::string_view aFileName, Findings& aFindings);

}
