// Preloaded into a process under test: cuts it off from the ports of 127.0.0.1 that stand in the
// file named by MUSTARDPLANK_TEST_CUT, as "MODE SILENT_PORT PORT...". Modes:
//   hang     new connections are not answered (they go to SILENT_PORT), data on others is lost
//   reset    new connections are refused, others are reset when data is sent
//   refuse   new connections are refused, others live on
// An empty file, or another mode, cuts nothing.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace {

enum class Mode
{
  None,
  Hang,
  Reset,
  Refuse,
};

struct Cut
{
  Mode mode = Mode::None;
  in_port_t silentPort = 0;
};

/// What holds for connections to the port, in host byte order.
Cut
cutOf(in_port_t aPort)
{
  static const char* const kPath = std::getenv("MUSTARDPLANK_TEST_CUT");
  static const int kFile = kPath != nullptr ? open(kPath, O_RDONLY | O_CLOEXEC) : -1;
  char text[512] = {};
  if (kFile < 0 || pread(kFile, text, sizeof text - 1, 0) <= 0) {
    return {};
  }
  char* place = nullptr;
  const char* mode = strtok_r(text, " \n", &place);
  const char* silent = strtok_r(nullptr, " \n", &place);
  if (mode == nullptr || silent == nullptr) {
    return {};
  }
  Cut cut;
  cut.silentPort = static_cast<in_port_t>(std::strtoul(silent, nullptr, 10));
  cut.mode = std::strcmp(mode, "hang") == 0     ? Mode::Hang
             : std::strcmp(mode, "reset") == 0  ? Mode::Reset
             : std::strcmp(mode, "refuse") == 0 ? Mode::Refuse
                                                : Mode::None;
  while (const char* port = strtok_r(nullptr, " \n", &place)) {
    if (std::strtoul(port, nullptr, 10) == aPort) {
      return cut;
    }
  }
  return {};
}

Cut
cutOfSocket(int aSocket)
{
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(aSocket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
      peer.sin_family != AF_INET) {
    return {};
  }
  return cutOf(ntohs(peer.sin_port));
}

template<typename Function>
Function
realFunction(const char* aName)
{
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, aName));
}

}

extern "C" int
connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
{
  static const auto kReal = realFunction<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (aAddress->sa_family != AF_INET) {
    return kReal(aSocket, aAddress, aSize);
  }
  sockaddr_in address{};
  std::memcpy(&address, aAddress, sizeof address);
  const auto cut = cutOf(ntohs(address.sin_port));
  if (cut.mode == Mode::None) {
    return kReal(aSocket, aAddress, aSize);
  }
  if (cut.mode == Mode::Hang) {
    address.sin_port = htons(cut.silentPort);
    return kReal(aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  errno = ECONNREFUSED;
  return -1;
}

extern "C" ssize_t
sendmsg(int aSocket, const msghdr* aMessage, int aFlags)
{
  static const auto kReal = realFunction<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const auto cut = cutOfSocket(aSocket);
  if (cut.mode == Mode::Reset) {
    errno = ECONNRESET;
    return -1;
  }
  if (cut.mode != Mode::Hang) {
    return kReal(aSocket, aMessage, aFlags);
  }
  ssize_t bytes = 0;
  for (std::size_t i = 0; i < aMessage->msg_iovlen; ++i) {
    bytes += static_cast<ssize_t>(aMessage->msg_iov[i].iov_len);
  }
  return bytes;
}

extern "C" ssize_t
send(int aSocket, const void* aBytes, size_t aSize, int aFlags)
{
  iovec part{ const_cast<void*>(aBytes), aSize };
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  return sendmsg(aSocket, &message, aFlags);
}
