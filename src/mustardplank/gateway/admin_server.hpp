#pragma once

#include "mustardplank/gateway/types.hpp"

#include <functional>
#include <memory>
#include <string>

namespace mustardplank::gateway {

struct AdminResponse
{
  unsigned status = 200;
  std::string body;
};

/// HTTP server for the readiness probe, or for metrics, status and board entries. Responses are
/// generated for each request. POST requests go to aOnPost, if there is one, which responds
/// asynchronously; all others go to aOnGet. A CONNECT request goes to aOnConnect, if there is one,
/// which takes the connection over.
class AdminServer
{
public:
  using GetHandler = std::function<AdminResponse(const std::string& aPath)>;
  using ResponseCallback = std::function<void(AdminResponse aResponse)>;
  using PostHandler =
    std::function<void(const std::string& aPath, std::string aBody, ResponseCallback aRespond)>;

  using ConnectHandler = std::function<void(Socket aSocket, const std::string& aTarget)>;

  /// Throws std::system_error when the address cannot be bound.
  AdminServer(boost::asio::io_context& aIo,
              const Tcp::endpoint& aEndpoint,
              GetHandler aOnGet,
              PostHandler aOnPost = nullptr,
              ConnectHandler aOnConnect = nullptr);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Stops accepting connections.
  void stop();

private:
  struct Listener;
  std::shared_ptr<Listener> mListener;
};

}
