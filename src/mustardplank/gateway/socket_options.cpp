#include "socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mustardplank::gateway {

namespace {

/// Seconds without traffic before the first probe, seconds between probes, and unanswered probes
/// after which the connection is closed. An unreachable peer is detected after
/// kKeepaliveIdleSeconds + kMaxUnansweredProbes * kKeepaliveIntervalSeconds.
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;
/// Longest time for which sent data may stay unacknowledged before the connection is closed.
constexpr int kUserTimeoutMs = 3000;

void
setOption(Socket& aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue);
}

}

void
setConnectionOptions(Socket& aSocket)
{
  setOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  setOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

}
