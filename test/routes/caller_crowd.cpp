#include "caller_crowd.hpp"

#include "mustardplank/base/clock.hpp"
#include "standins/common/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>

namespace mustardplank::routes {

namespace {

constexpr const char* kCrowdAddress = "127.0.0.2";
constexpr Millis kIdlePause{ 2 };

sockaddr_in
socketAddress(const char* aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  ::inet_pton(AF_INET, aIp, &address.sin_addr);
  return address;
}

/// Not blocking; the connection may still be being set up.
int
openSocket(std::uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto own = socketAddress(kCrowdAddress, 0);
  const auto target = socketAddress("127.0.0.1", aPort);
  ::bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof own);
  ::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target);
  return socket;
}

}

CallerCrowd::CallerCrowd(const std::string& aTarget, CrowdPattern aPattern)
  : mPattern(std::move(aPattern))
  , mMembers(mPattern.callers)
  , mUnfinished(mPattern.callers)
{
  const auto port = standins::parseEndpoint(aTarget).port();
  for (auto& it : mMembers) {
    it.socket = openSocket(port);
  }
  mThread = std::thread([this] { run(); });
}

CallerCrowd::~CallerCrowd()
{
  mStopping = true;
  mThread.join();
  for (const auto& it : mMembers) {
    ::close(it.socket);
  }
}

void
CallerCrowd::run()
{
  while (!mStopping) {
    bool progress = false;
    for (auto& it : mMembers) {
      progress = (!it.finished && advance(it)) || progress;
    }
    mUnfinished = static_cast<std::size_t>(std::count_if(
      mMembers.begin(), mMembers.end(), [](const auto& aItem) { return !aItem.finished; }));
    if (!progress) {
      std::this_thread::sleep_for(kIdlePause);
    }
  }
}

bool
CallerCrowd::advance(Member& aMember) const
{
  if (aMember.headSent && aMember.blocksSent >= mPattern.blocks) {
    if (mPattern.closesItsSide) {
      ::shutdown(aMember.socket, SHUT_WR);
    }
    aMember.finished = true;
    return true;
  }
  if (bootNow() < aMember.nextAt) {
    return false;
  }
  const auto& part = aMember.headSent ? mPattern.block : mPattern.head;
  const auto n = ::send(aMember.socket,
                        part.data() + aMember.offset,
                        part.size() - aMember.offset,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
  if (n < 0) {
    aMember.finished = errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
    return false;
  }
  aMember.offset += static_cast<std::size_t>(n);
  if (aMember.offset == part.size()) {
    aMember.offset = 0;
    aMember.blocksSent += aMember.headSent ? 1 : 0;
    aMember.headSent = true;
    aMember.nextAt = bootNow() + mPattern.pause;
  }
  return true;
}

}
