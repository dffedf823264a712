#include "tunnel_server.hpp"

#include "socket_options.hpp"

#include "mustardplank/base/clock.hpp"
#include "mustardplank/settings/parse.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace mustardplank::gateway {

namespace asio = boost::asio;

namespace {

/// Shorter than the time that the other instance gives the connection, so that it can ask another.
constexpr auto kConnectTimeout = std::chrono::milliseconds(120);
constexpr std::size_t kBufferBytes = 16UL * 1024;
constexpr std::string_view kConnected = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view kNotConnected =
  "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::string_view kUnavailable =
  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

void
reset(Socket& aSocket)
{
  BoostErrorCode ec;
  aSocket.set_option(asio::socket_base::linger(true, 0), ec);
  aSocket.close(ec);
}

}

class TunnelServer::Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(Socket aInstance,
         std::shared_ptr<Usage> aUsage,
         std::shared_ptr<const Callbacks> aCallbacks)
    : mInstance(std::move(aInstance))
    , mServer(mInstance.get_executor())
    , mTimer(mInstance.get_executor())
    , mUsage(std::move(aUsage))
    , mCallbacks(std::move(aCallbacks))
  {
    ++mUsage->tunnels;
  }
  ~Tunnel() { --mUsage->tunnels; }
  Tunnel(const Tunnel&) = delete;
  Tunnel& operator=(const Tunnel&) = delete;

  void connect(const std::string& aAddress, const Tcp::endpoint& aServer)
  {
    mTimer.expires_after(kConnectTimeout);
    mTimer.async_wait([weak = weak_from_this()](BoostErrorCode aError) {
      if (const auto self = weak.lock(); self && !aError) {
        BoostErrorCode ec;
        self->mServer.close(ec);
      }
    });
    mServer.async_connect(aServer, [self = shared_from_this(), aAddress](BoostErrorCode aError) {
      self->mTimer.cancel();
      self->mCallbacks->onConnect(aAddress, !aError);
      if (aError) {
        self->refuse(kNotConnected);
        return;
      }
      setServerConnectionOptions(self->mServer);
      setCallerConnectionOptions(self->mInstance);
      self->answer(kConnected, [self] {
        self->pass(self->mInstance, self->mServer, self->mToServer);
        self->pass(self->mServer, self->mInstance, self->mToInstance);
      });
    });
  }

  void refuse(std::string_view aAnswer)
  {
    answer(aAnswer, [self = shared_from_this()] {
      BoostErrorCode ec;
      self->mInstance.shutdown(Tcp::socket::shutdown_send, ec);
    });
  }

private:
  using Buffer = std::array<char, kBufferBytes>;

  template<typename Then>
  void answer(std::string_view aText, Then aThen)
  {
    asio::async_write(
      mInstance,
      asio::buffer(aText),
      [self = shared_from_this(), then = std::move(aThen)](BoostErrorCode aError, std::size_t) {
        if (aError) {
          self->abort();
        } else {
          then();
        }
      });
  }

  /// Passes on what aFrom sends until its end. aFrom, aTo and aBuffer are members.
  void pass(Socket& aFrom, Socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](BoostErrorCode aError,
                                                          std::size_t aBytes) {
        if (aError == asio::error::eof) {
          BoostErrorCode ec;
          aTo.shutdown(Tcp::socket::shutdown_send, ec);
          return;
        }
        if (aError) {
          self->abort();
          return;
        }
        self->mUsage->lastPassedAt = bootNow();
        asio::async_write(aTo,
                          asio::buffer(aBuffer.data(), aBytes),
                          [self, &aFrom, &aTo, &aBuffer](BoostErrorCode aWriteError, std::size_t) {
                            if (aWriteError) {
                              self->abort();
                            } else {
                              self->pass(aFrom, aTo, aBuffer);
                            }
                          });
      });
  }

  void abort()
  {
    reset(mInstance);
    reset(mServer);
  }

  Socket mInstance;
  Socket mServer;
  Timer mTimer;
  std::shared_ptr<Usage> mUsage;
  std::shared_ptr<const Callbacks> mCallbacks;
  Buffer mToServer;
  Buffer mToInstance;
};

TunnelServer::TunnelServer(Callbacks aCallbacks)
  : mCallbacks(std::make_shared<const Callbacks>(std::move(aCallbacks)))
{
}

TunnelServer::~TunnelServer() = default;

void
TunnelServer::open(Socket aSocket, const std::string& aAddress)
{
  const auto tunnel = std::make_shared<Tunnel>(std::move(aSocket), mUsage, mCallbacks);
  const auto address = settings::parseAddress(aAddress);
  if (!address || mUsage->tunnels > kMaxTunnels || !mCallbacks->canHelp() ||
      !mCallbacks->isServer(aAddress)) {
    tunnel->refuse(kUnavailable);
    return;
  }
  tunnel->connect(aAddress, { asio::ip::make_address_v4(address->ip), address->port });
}

bool
TunnelServer::isBusy(TimePoint aNow) const
{
  return mUsage->tunnels > 0 && aNow - mUsage->lastPassedAt < kIdleTime;
}

}
