#include "page_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

struct PageServer::Shared : std::enable_shared_from_this<PageServer::Shared>
{
  Shared(boost::asio::io_context& aIo, const Tcp::endpoint& aEndpoint, Make aMake)
    : acceptor(aIo.get_executor(), aEndpoint)
    , make(std::move(aMake))
  {
  }

  void accept();

  Acceptor acceptor;
  Make make;
};

namespace {

struct PageLink : std::enable_shared_from_this<PageLink>
{
  PageLink(Socket aSocket, PageServer::Make aMake)
    : socket(std::move(aSocket))
    , make(std::move(aMake))
  {
  }

  void read()
  {
    request = {};
    http::async_read(
      socket, buf, request, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (!aError) {
          self->answer();
        }
      });
  }

  void answer()
  {
    auto page = make(std::string(request.target()));
    response = {};
    response.version(11);
    response.result(page.status);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(page.body);
    response.prepare_payload();
    http::async_write(socket, response, [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (!aError && self->response.keep_alive()) {
        self->read();
      }
    });
  }

  Socket socket;
  PageServer::Make make;
  boost::beast::flat_buffer buf;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

}

void
PageServer::Shared::accept()
{
  acceptor.async_accept([self = shared_from_this()](ErrorCode aError, Socket aSocket) {
    if (!self->acceptor.is_open()) {
      return;
    }
    if (!aError) {
      std::make_shared<PageLink>(std::move(aSocket), self->make)->read();
    }
    self->accept();
  });
}

PageServer::PageServer(boost::asio::io_context& aIo, const Tcp::endpoint& aEndpoint, Make aMake)
  : mShared(std::make_shared<Shared>(aIo, aEndpoint, std::move(aMake)))
{
  mShared->accept();
}

PageServer::~PageServer()
{
  stop();
}

void
PageServer::stop()
{
  ErrorCode ec;
  mShared->acceptor.close(ec);
}

}
