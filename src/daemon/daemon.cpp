#include "daemon.hpp"

#include "decisions.hpp"
#include "mustardplank/base/clock.hpp"
#include "mustardplank/base/hash.hpp"
#include "mustardplank/base/log_event.hpp"
#include "mustardplank/base/ring.hpp"
#include "mustardplank/base/timer_service.hpp"
#include "mustardplank/metrics/metrics.hpp"
#include "mustardplank/operator/operator_server.hpp"
#include "mustardplank/peer/codec.hpp"
#include "mustardplank/peer/transport.hpp"
#include "mustardplank/platform/http_platform.hpp"
#include "mustardplank/traffic/caller_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <thread>
#include <utility>

namespace mustardplank::daemon {

namespace asio = boost::asio;

namespace {

// Ring capacities in items. The rings that carry ends of streams hold several for each of the 4,096
// connections.
constexpr std::size_t kTrafficRing = 16384;
constexpr std::size_t kPeerRing = 16384;
constexpr std::size_t kPlatformRing = 1024;
constexpr std::size_t kOperatorRing = 256;
constexpr std::size_t kControlRing = 64;
constexpr Duration kTickInterval = Millis(20);
constexpr Duration kMetricsInterval = Seconds(1);

struct OutgoingMessage
{
  InstanceId to;
  peer::Message message;
};

}

struct Daemon::Impl
{
  Impl(const settings::Settings& aSettings, std::function<void()> aDrained)
    : settings(aSettings)
    , incarnation(static_cast<std::uint64_t>(wallMillis()))
    , drained(std::move(aDrained))
  {
  }

  std::function<void()> wakeFor(std::function<void()> aDrain)
  {
    return [this, aDrain = std::move(aDrain)] { asio::post(io, aDrain); };
  }

  template<typename T>
  void drain(Ring<T>& aRing)
  {
    aRing.drain([this](T aEvent) { decisions->handle(std::move(aEvent), bootNow()); });
    offerCommands();
  }

  void offerCommands()
  {
    while (!commands.empty() && traffic->post(std::move(commands.front()))) {
      commands.pop_front();
    }
  }

  void sendToPeer(InstanceId aTo, peer::Message aMessage)
  {
    if (!outgoing.push({ std::move(aTo), std::move(aMessage) })) {
      LogEvent(LogLevel::Error, "peer.ring_full").write();
    }
  }

  void sendWaiting()
  {
    outgoing.drain([this](OutgoingMessage aItem) {
      transport->send(aItem.to.str(), peer::encode(aItem.message));
    });
  }

  void receiveFromPeer(const std::string& aFrom,
                       const std::string& aDomain,
                       const peer::Transport::Bytes& aBytes)
  {
    std::string error;
    auto message = peer::decode(aBytes, error);
    if (!message) {
      LogEvent(LogLevel::Warning, "peer.bad_message")
        .field("peer", aFrom)
        .field("detail", error)
        .write();
      return;
    }
    PeerEvent event(
      PeerMessage{ InstanceId(aFrom), FailureDomainId(aDomain), std::move(*message) });
    if (!peers.push(std::move(event))) {
      LogEvent(LogLevel::Error, "peer.ring_full").field("peer", aFrom).write();
    }
  }

  void reportFromPeer(const char* aEvent, const std::string& aPeer, const std::string& aDetail)
  {
    LogEvent(LogLevel::Info, aEvent).field("peer", aPeer).field("detail", aDetail).write();
    if (std::string_view(aEvent) == "peer.link_up") {
      peers.push(PeerLinkUp{ InstanceId(aPeer) });
    }
  }

  Outputs makeOutputs()
  {
    Outputs outputs;
    outputs.toTraffic = [this](traffic::Command aCommand) {
      commands.push_back(std::move(aCommand));
    };
    outputs.toPeer = [this](InstanceId aTo, peer::Message aMessage) {
      sendToPeer(std::move(aTo), std::move(aMessage));
    };
    outputs.setPeers = [this](std::vector<peer::PeerAddress> aPeers) {
      transport->setPeers(std::move(aPeers));
    };
    outputs.fromPlatform = [this](PlatformEvent aEvent) {
      if (!platformEvents.push(std::move(aEvent))) {
        LogEvent(LogLevel::Error, "platform.ring_full").write();
      }
    };
    outputs.setGauge = [this](metrics::Gauge aGauge, double aValue) {
      metrics.set(aGauge, aValue);
    };
    outputs.drained = drained;
    return outputs;
  }

  void startTransport()
  {
    peer::TransportOptions options;
    options.self = settings.instance.str();
    options.failureDomain = settings.failureDomain.str();
    options.listenIp = settings.peers.ip;
    options.listenPort = settings.peers.port;
    options.secret = settings.peerSecret;
    transport = std::make_unique<peer::Transport>(
      std::move(options),
      [this](const std::string& aFrom, const std::string& aDomain, peer::Transport::Bytes aBytes) {
        receiveFromPeer(aFrom, aDomain, aBytes);
      },
      [this](const char* aEvent, const std::string& aPeer, const std::string& aDetail) {
        reportFromPeer(aEvent, aPeer, aDetail);
      });
  }

  void startOperators()
  {
    operators::OperatorServerOptions options;
    options.address = settings.operators;
    options.tokens = settings.operatorTokens;
    operators = std::make_unique<operators::OperatorServer>(
      std::move(options),
      [this](operators::Request aRequest) { return requests.push(std::move(aRequest)); });
    operators->start();
  }

  void start()
  {
    traffic =
      std::make_unique<traffic::TrafficServer>(settings, &metrics, [this](traffic::Event aEvent) {
        return trafficEvents.push(std::move(aEvent));
      });
    traffic->start();
    startTransport();
    platform =
      std::make_unique<platform::HttpPlatform>(settings.platform.ip, settings.platform.port);
    decisions =
      std::make_unique<Decisions>(settings, incarnation, *platform, makeOutputs(), bootNow());
    thread = std::thread([this] { io.run(); });
    startOperators();
    timers.subscribe(
      "decisions", kTickInterval, [this](TimePoint aNow) { control.push(Tick{ aNow }); });
    timers.subscribe("metrics", kMetricsInterval, [this](TimePoint) {
      metrics.set(metrics::Gauge::PeerBytesSent, static_cast<double>(transport->bytesSent()));
      metrics.set(metrics::Gauge::PeerBytesReceived,
                  static_cast<double>(transport->bytesReceived()));
    });
    timers.start();
    LogEvent(LogLevel::Info, "daemon.started")
      .field("failure_domain", settings.failureDomain.str())
      .field("callers", settings.callers.text())
      .write();
  }

  void stop()
  {
    timers.stop();
    if (operators) {
      operators->stop();
    }
    io.stop();
    if (thread.joinable()) {
      thread.join();
    }
    if (platform) {
      platform->stop();
    }
    if (transport) {
      transport->stop();
    }
    if (traffic) {
      traffic->stop();
    }
  }

  settings::Settings settings;
  std::uint64_t incarnation;
  std::function<void()> drained;
  metrics::Metrics metrics;
  asio::io_context io{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ io.get_executor() };

  Ring<traffic::Event> trafficEvents{ kTrafficRing, wakeFor([this] { drain(trafficEvents); }) };
  Ring<PeerEvent> peers{ kPeerRing, wakeFor([this] { drain(peers); }) };
  Ring<PlatformEvent> platformEvents{ kPlatformRing, wakeFor([this] { drain(platformEvents); }) };
  Ring<operators::Request> requests{ kOperatorRing, wakeFor([this] { drain(requests); }) };
  Ring<ControlEvent> control{ kControlRing, wakeFor([this] { drain(control); }) };
  /// From the main thread, which the ring of the timer thread must not be shared with.
  Ring<ControlEvent> signals{ kControlRing, wakeFor([this] { drain(signals); }) };
  Ring<OutgoingMessage> outgoing{ kPeerRing,
                                  [this] { transport->post([this] { sendWaiting(); }); } };
  /// Commands that the traffic thread has no room for yet; bounded by what the requests of its
  /// connections cause.
  std::deque<traffic::Command> commands;

  std::unique_ptr<traffic::TrafficServer> traffic;
  std::unique_ptr<peer::Transport> transport;
  std::unique_ptr<platform::HttpPlatform> platform;
  std::unique_ptr<operators::OperatorServer> operators;
  std::unique_ptr<Decisions> decisions;
  TimerService timers;
  std::thread thread;
};

Daemon::Daemon(const settings::Settings& aSettings, std::function<void()> aDrained)
  : mImpl(std::make_unique<Impl>(aSettings, std::move(aDrained)))
{
}

Daemon::~Daemon()
{
  stop();
}

void
Daemon::start()
{
  mImpl->start();
}

void
Daemon::terminate()
{
  mImpl->signals.push(Terminate{});
}

void
Daemon::stop()
{
  mImpl->stop();
}

}
