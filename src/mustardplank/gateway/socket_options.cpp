#include "socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mustardplank::gateway {

namespace {

/// Seconds without traffic after which a peer is probed, and seconds between probes. A machine
/// behind a partition is noticed after kProbeIdle + kProbes * kProbeInterval.
constexpr int kProbeIdle = 2;
constexpr int kProbeInterval = 1;
constexpr int kProbes = 2;
/// Milliseconds for which sent data may stay unacknowledged.
constexpr int kUserTimeout = 3000;

void
set(Socket& aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue);
}

}

void
setConnectionOptions(Socket& aSocket)
{
  set(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  set(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdle);
  set(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeInterval);
  set(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeout);
}

}
