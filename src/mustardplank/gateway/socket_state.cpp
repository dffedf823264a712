#include "socket_state.hpp"

#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace mustardplank::gateway {

BoostErrorCode
takeSocketError(Socket& aSocket)
{
  int value = 0;
  socklen_t size = sizeof value;
  if (::getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size) != 0) {
    value = errno;
  }
  return { value, boost::system::system_category() };
}

std::size_t
unacknowledgedBytes(Socket& aSocket)
{
  int n = 0;
  const int result = ::ioctl(aSocket.native_handle(), SIOCOUTQ, &n);
  return result == 0 && n > 0 ? static_cast<std::size_t>(n) : 0;
}

bool
hasUnreadBytesOrEnd(Socket& aSocket)
{
  char byte = 0;
  const auto n = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

}
