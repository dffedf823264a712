#pragma once

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

  struct Callbacks
  {
    /// Whether a server is at aAddress, "ip:port". Tunnels lead to servers only.
    std::function<bool(const std::string& aAddress)> isServer;
    /// Whether this instance reaches no servers either.
    std::function<bool()> isCutOff;
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

  std::size_t tunnelCount() const { return *mCount; }

private:
  class Tunnel;

  std::shared_ptr<const Callbacks> mCallbacks;
  std::shared_ptr<std::size_t> mCount = std::make_shared<std::size_t>(0);
};

}
