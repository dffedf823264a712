#include "admin_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

struct AdminServer::Listener : std::enable_shared_from_this<AdminServer::Listener>
{
  Listener(boost::asio::io_context& aIo,
           const Tcp::endpoint& aEndpoint,
           GetHandler aOnGet,
           PostHandler aOnPost)
    : acceptor(aIo.get_executor(), aEndpoint)
    , onGet(std::move(aOnGet))
    , onPost(std::move(aOnPost))
  {
  }

  void accept();

  Acceptor acceptor;
  GetHandler onGet;
  PostHandler onPost;
};

namespace {

struct AdminConnection : std::enable_shared_from_this<AdminConnection>
{
  AdminConnection(Socket aSocket, AdminServer::GetHandler aOnGet, AdminServer::PostHandler aOnPost)
    : socket(std::move(aSocket))
    , onGet(std::move(aOnGet))
    , onPost(std::move(aOnPost))
  {
  }

  void read()
  {
    request = {};
    http::async_read(
      socket, buf, request, [self = shared_from_this()](BoostErrorCode aError, std::size_t) {
        if (aError) {
          return;
        }
        const std::string path(self->request.target());
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

  Socket socket;
  AdminServer::GetHandler onGet;
  AdminServer::PostHandler onPost;
  boost::beast::flat_buffer buf;
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
      std::make_shared<AdminConnection>(std::move(aSocket), self->onGet, self->onPost)->read();
    }
    self->accept();
  });
}

AdminServer::AdminServer(boost::asio::io_context& aIo,
                         const Tcp::endpoint& aEndpoint,
                         GetHandler aOnGet,
                         PostHandler aOnPost)
  : mListener(std::make_shared<Listener>(aIo, aEndpoint, std::move(aOnGet), std::move(aOnPost)))
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
