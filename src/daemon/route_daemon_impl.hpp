#pragma once

#include "route_daemon.hpp"
#include "store_client.hpp"

#include "mustardplank/base/alarm_queue.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/retry_pause.hpp"
#include "mustardplank/control/duty_lease.hpp"
#include "mustardplank/control/records.hpp"
#include "mustardplank/control/server_order_planner.hpp"
#include "mustardplank/control/server_registry.hpp"
#include "mustardplank/control/shared_clock.hpp"
#include "mustardplank/control/usage_windows.hpp"
#include "mustardplank/dispatch/dispatcher.hpp"
#include "mustardplank/gateway/gateway.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "platform/store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <functional>
#include <random>
#include <set>

namespace mustardplank::daemon {

namespace asio = boost::asio;
using asio::awaitable;
using control::Failure;
using control::FailureKind;
using control::Topic;

/// Pause after a call that failed, and the longest one in an outage: the return of the store is
/// noticed within a second, the bounds on changes count from three seconds after it.
inline constexpr Duration kRetryPause = Millis(200);
inline constexpr Duration kMostRetryPause = Millis(1000);

inline asio::ip::tcp::endpoint
endpointOf(const settings::Address& aAddress)
{
  return { asio::ip::make_address_v4(aAddress.ip), aAddress.port };
}

/// Tells whether something that can be lost is there, with a line for each change.
class Dependency
{
public:
  explicit Dependency(const char* aName)
    : mName(aName)
  {
  }

  void succeeded()
  {
    if (mLost) {
      mLost = false;
      LogEvent(LogLevel::Info, "dependency.regained")
        .field("name", mName)
        .field("lost_ms", toMillis(bootNow() - mSince))
        .write();
    }
  }

  void failed(const std::string& aDetail)
  {
    if (!mLost) {
      mLost = true;
      mSince = bootNow();
      LogEvent(LogLevel::Warning, "dependency.lost")
        .field("name", mName)
        .field("detail", aDetail)
        .write();
    }
  }

  bool isLost() const { return mLost; }

private:
  const char* mName;
  bool mLost = false;
  TimePoint mSince{};
};

/// Everything runs on the thread of io. What follows the store, the board and the duties stands in
/// files of their own.
struct RouteDaemon::Impl
{
  explicit Impl(settings::RouteSettings aSettings);
  StoreClient client() { return { endpointOf(settings.store), adapter::storeDialect(), metrics }; }
  gateway::GatewayCallbacks makeOutputs();

  // Alarms.
  void armAlarms();
  awaitable<void> tickLoop();

  // Configuration.
  void applyOperator(const control::Record& aRecord);
  void applyConfig(route::Config aConfig, control::Offset aOffset);
  void replaceOperators(const std::vector<control::Record>& aRecords);
  awaitable<void> followOperators();

  // Backend servers.
  void applyServers(const std::vector<control::ServerEvent>& aEvents);
  void applyServer(const control::ServerUpdated& aEvent);
  void applyServer(const control::ServerRemoved& aEvent);
  Duration serversPause() const;
  awaitable<void> followServers();

  // Board.
  control::InstanceUpdate makeEntry();
  void applyEntry(const control::Record& aRecord);
  /// Tells the duty lease of an update received at aNow from the holder of the duties.
  void noteHolder(const control::InstanceUpdate& aEntry, TimePoint aNow);
  void countInstances();
  /// This instance's place in an order that differs between deployments' instances but is the same
  /// for all.
  std::size_t rankAmong(const std::map<InstanceId, FailureDomainId>& aLive) const;
  /// The more instances there are, the smaller the part of a window that is lost with one.
  Duration tellInterval() const;
  awaitable<void> boardLoop();
  awaitable<bool> tell(StoreClient& aStore);
  /// An instance to which the store may be open although it is not to this one.
  std::optional<settings::Address> otherInstance();
  /// Has another instance write the entry.
  awaitable<bool> tellThroughOther(const std::string& aEntry);
  /// Writes an entry of another instance.
  awaitable<void> writeFor(std::string aEntry, std::function<void(bool)> aDone);
  awaitable<void> readBoard(StoreClient& aStore, control::Offset& aNext);

  // Time of day.
  awaitable<void> clockLoop();
  awaitable<void> compareClock(InstanceId aPeer, std::string aAddress);

  // Duties.
  awaitable<void> leaseLoop();
  awaitable<void> renewLease(StoreClient& aStore, control::Offset aAt);
  std::optional<control::DutyHolder> holder() const;
  awaitable<control::DutyResult> callDuty(platform::HttpClient& aExchange,
                                          control::HttpRequest aCall);
  /// Reads what was decided about windows. False when the store cannot be read.
  awaitable<bool> readIntents(StoreClient& aStore, control::Offset& aNext);
  awaitable<void> reportDecided(platform::HttpClient& aExchange);
  awaitable<void> usageLoop();
  const control::Baseline& currentBaseline() const { return baseline ? *baseline : startBaseline; }
  control::ServiceDemand needOf(const route::ServiceId& aService) const;
  std::vector<FailureDomainId> domainsOf(const route::Service& aService) const;
  /// Servers write their first entries over a few seconds; the baseline grows meanwhile.
  void noteBaseline();
  /// Takes the baseline from the store, or sets it when nobody has. False: try again.
  awaitable<bool> fetchBaseline(StoreClient& aStore);
  awaitable<void> orderLoop();
  awaitable<void> orderServers(platform::HttpClient& aExchange);

  // Start and stop.
  void terminate();
  awaitable<void> drainLoop();
  void awaitSignals();
  std::string statusText() const;
  void run();

  /// How long the number of instances seen is kept.
  static constexpr Duration kInstanceMemory = Seconds(20);
  /// Needs older than this are not counted.
  static constexpr Duration kNeedMemory = Seconds(5);

  /// Another instance that writes updates for those that the store rejects.
  struct Relay
  {
    TimePoint receivedAt{};
    /// Empty while it accepts none.
    std::string address;
  };
  struct Needs
  {
    TimePoint receivedAt{};
    std::map<route::ServiceId, control::ServiceDemand> services;
  };

  settings::RouteSettings settings;
  std::uint64_t incarnation;
  /// Updates made so far.
  std::uint64_t updateCount = 0;
  TimePoint startedAt = bootNow();
  control::SharedClock clock{ wallMillis(), bootNow() };
  AlarmQueue alarms;
  metrics::Metrics metrics;
  dispatch::Dispatcher dispatcher;
  control::ServerRegistry registry;
  control::DutyLease lease;
  control::UsageWindows usage;
  control::ServerOrderPlanner orders;
  route::RouteTablePtr table;
  std::set<FailureDomainId> domainsOut;
  std::map<BackendServerId, std::string> serverTexts;
  std::vector<dispatch::CrashReport> crashes;
  std::map<InstanceId, Needs> needs;
  std::map<InstanceId, Relay> relays;
  TimePoint nextPassOn{};
  /// Entries of other instances that could not be written; the latest of each.
  std::map<InstanceId, std::string> heldEntries;
  std::map<std::uint64_t, control::ReportIntent> unreported;
  std::set<std::uint64_t> reported;
  std::optional<control::Baseline> baseline;
  /// While the system starts for the first time.
  control::Baseline startBaseline;
  std::set<BackendServerId> baselineServers;
  /// The others are to be told at once.
  bool boardDue = false;
  std::size_t mostInstances = 1;
  TimePoint mostInstancesAt{};
  Dependency storeConfig{ "store_config" };
  Dependency storeServers{ "store_servers" };
  Dependency storeBoard{ "store_board" };
  Dependency platformCalls{ "platform_calls" };
  bool draining = false;

  std::minstd_rand random{ std::random_device{}() };
  asio::io_context io{ 1 };
  asio::signal_set signals{ io, SIGTERM, SIGINT, SIGHUP };
  asio::steady_timer alarmTimer{ io };
  gateway::Gateway gateway;
};

}
