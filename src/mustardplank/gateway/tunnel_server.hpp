#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/gateway/types.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace mustardplank::gateway {

/// Sets up connections to backend servers for instances that cannot reach them, and passes bytes on
/// in both directions until one side ends. An end is passed on as it is: a reset as a reset, an end
/// of file as one.
class TunnelServer
{
public:
  /// Further tunnels are refused.
  static constexpr std::size_t kMaxTunnels = 256;
  /// Tunnels through which nothing has passed for this long are idle. Longer than a sound server is
  /// silent within a stream.
  static constexpr Duration kIdleTime = Millis(1600);

  struct Callbacks
  {
    /// Whether a server is at aAddress, "ip:port". Tunnels lead to servers only.
    std::function<bool(const std::string& aAddress)> isServer;
    /// Whether this instance reaches servers and is not about to stop.
    std::function<bool()> canHelp;
    /// A server was reached or not.
    std::function<void(const std::string& aAddress, bool aReached)> onConnect;
  };

  explicit TunnelServer(Callbacks aCallbacks);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /// Connects to the server at aAddress and answers on the socket: 200 and from then on the
  /// server's bytes, 502 if the server is not reached, or 503 if this instance cannot help.
  void open(Socket aSocket, const std::string& aAddress);

  /// Whether a request may be in progress through one of the tunnels.
  bool isBusy(TimePoint aNow) const;

private:
  class Tunnel;

  std::shared_ptr<const Callbacks> mCallbacks;
  /// What the tunnels share, which may outlive the server.
  struct Usage
  {
    std::size_t tunnels = 0;
    TimePoint lastPassedAt{};
  };
  std::shared_ptr<Usage> mUsage = std::make_shared<Usage>();
};

}
