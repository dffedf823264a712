#include "socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mustardplank::gateway {

namespace {

/// Seconds without traffic before the first probe, seconds between probes, and unanswered probes
/// after which the connection is closed, if the user timeout has passed.
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;
/// Longest time for which a peer may take no data, or not answer, before the connection is closed.
/// Callers may read nothing for a while.
constexpr int kServerUserTimeoutMs = 3000;
constexpr int kCallerUserTimeoutMs = 15000;
/// The responding server is alive; the time limit of the request ends the wait before.
constexpr int kPatientServerUserTimeoutMs = 30000;

void
setOption(Socket& aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket.native_handle(), aLevel, aName, &aValue, sizeof aValue);
}

void
setOptions(Socket& aSocket, int aUserTimeoutMs)
{
  setOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  setOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  setOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, aUserTimeoutMs);
}

}

void
setServerConnectionOptions(Socket& aSocket)
{
  setOptions(aSocket, kServerUserTimeoutMs);
}

void
setPatientServerOptions(Socket& aSocket)
{
  setOption(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, kPatientServerUserTimeoutMs);
}

void
setCallerConnectionOptions(Socket& aSocket)
{
  setOptions(aSocket, kCallerUserTimeoutMs);
}

}
