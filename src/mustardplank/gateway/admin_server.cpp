#include "admin_server.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <vector>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

namespace {

/// A connection without progress in this time is closed when a new one is accepted.
constexpr Duration kMaxSilence = Seconds(120);
constexpr std::size_t kMaxConnections = 1024;
/// Bytes of one element of a request (head, chunk size, trailer) that wait for its end.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

struct AdminConnection;

}

struct AdminServer::Listener : std::enable_shared_from_this<AdminServer::Listener>
{
  Listener(boost::asio::io_context& aIo,
           const Tcp::endpoint& aEndpoint,
           GetHandler aOnGet,
           PostHandler aOnPost,
           ConnectHandler aOnConnect)
    : acceptor(aIo.get_executor(), aEndpoint)
    , onGet(std::move(aOnGet))
    , onPost(std::move(aOnPost))
    , onConnect(std::move(aOnConnect))
  {
  }

  void accept();
  /// Closes connections without progress, and the longest silent one of too many.
  void closeSilentConnections();

  Acceptor acceptor;
  GetHandler onGet;
  PostHandler onPost;
  ConnectHandler onConnect;
  std::vector<std::weak_ptr<AdminConnection>> connections;
};

namespace {

struct AdminConnection : std::enable_shared_from_this<AdminConnection>
{
  AdminConnection(Socket aSocket,
                  AdminServer::GetHandler aOnGet,
                  AdminServer::PostHandler aOnPost,
                  AdminServer::ConnectHandler aOnConnect)
    : socket(std::move(aSocket))
    , onGet(std::move(aOnGet))
    , onPost(std::move(aOnPost))
    , onConnect(std::move(aOnConnect))
  {
  }

  void read()
  {
    request = {};
    lastProgressAt = bootNow();
    http::async_read(
      socket, buf, request, [self = shared_from_this()](BoostErrorCode aError, std::size_t) {
        if (aError) {
          return;
        }
        self->lastProgressAt = bootNow();
        const std::string path(self->request.target());
        if (self->request.method() == http::verb::connect && self->onConnect) {
          // Bytes sent ahead would be lost.
          if (self->buf.size() == 0) {
            self->onConnect(std::move(self->socket), path);
          }
          return;
        }
        if (self->request.method() != http::verb::post || !self->onPost) {
          self->respond(self->onGet(path));
          return;
        }
        self->onPost(path, std::move(self->request.body()), [self](AdminResponse aResponse) {
          self->respond(std::move(aResponse));
        });
      });
  }

  void respond(AdminResponse aResponse)
  {
    response = {};
    response.version(11);
    response.result(aResponse.status);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(aResponse.body);
    response.prepare_payload();
    http::async_write(
      socket, response, [self = shared_from_this()](BoostErrorCode aError, std::size_t) {
        if (!aError && self->response.keep_alive()) {
          self->read();
        }
      });
  }

  void close()
  {
    BoostErrorCode ec;
    socket.close(ec);
  }

  Socket socket;
  TimePoint lastProgressAt = bootNow();
  AdminServer::GetHandler onGet;
  AdminServer::PostHandler onPost;
  AdminServer::ConnectHandler onConnect;
  boost::beast::flat_buffer buf{ kMaxUnparsedBytes };
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

}

void
AdminServer::Listener::accept()
{
  acceptor.async_accept([self = shared_from_this()](BoostErrorCode aError, Socket aSocket) {
    if (!self->acceptor.is_open()) {
      return;
    }
    if (!aError) {
      self->closeSilentConnections();
      const auto connection = std::make_shared<AdminConnection>(
        std::move(aSocket), self->onGet, self->onPost, self->onConnect);
      self->connections.push_back(connection);
      connection->read();
    }
    self->accept();
  });
}

void
AdminServer::Listener::closeSilentConnections()
{
  std::erase_if(connections, [](const auto& aConnection) { return aConnection.expired(); });
  std::shared_ptr<AdminConnection> silent;
  for (const auto& it : connections) {
    const auto connection = it.lock();
    if (bootNow() - connection->lastProgressAt > kMaxSilence) {
      connection->close();
    } else if (!silent || connection->lastProgressAt < silent->lastProgressAt) {
      silent = connection;
    }
  }
  if (connections.size() >= kMaxConnections && silent) {
    silent->close();
  }
}

AdminServer::AdminServer(boost::asio::io_context& aIo,
                         const Tcp::endpoint& aEndpoint,
                         GetHandler aOnGet,
                         PostHandler aOnPost,
                         ConnectHandler aOnConnect)
  : mListener(std::make_shared<Listener>(aIo,
                                         aEndpoint,
                                         std::move(aOnGet),
                                         std::move(aOnPost),
                                         std::move(aOnConnect)))
{
  mListener->accept();
}

AdminServer::~AdminServer()
{
  stop();
}

void
AdminServer::stop()
{
  BoostErrorCode ec;
  mListener->acceptor.close(ec);
}

}
