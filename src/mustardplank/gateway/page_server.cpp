#include "page_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>

namespace mustardplank::gateway {

namespace http = boost::beast::http;

struct PageServer::Shared : std::enable_shared_from_this<PageServer::Shared>
{
  Shared(boost::asio::io_context& aIo, const Tcp::endpoint& aEndpoint, Make aMake, Take aTake)
    : acceptor(aIo.get_executor(), aEndpoint)
    , make(std::move(aMake))
    , take(std::move(aTake))
  {
  }

  void accept();

  Acceptor acceptor;
  Make make;
  Take take;
};

namespace {

struct PageLink : std::enable_shared_from_this<PageLink>
{
  PageLink(Socket aSocket, PageServer::Make aMake, PageServer::Take aTake)
    : socket(std::move(aSocket))
    , make(std::move(aMake))
    , take(std::move(aTake))
  {
  }

  void read()
  {
    request = {};
    http::async_read(
      socket, buf, request, [self = shared_from_this()](ErrorCode aError, std::size_t) {
        if (aError) {
          return;
        }
        const std::string path(self->request.target());
        if (self->request.method() != http::verb::post || !self->take) {
          self->answer(self->make(path));
          return;
        }
        self->take(path, std::move(self->request.body()), [self](Page aPage) {
          self->answer(std::move(aPage));
        });
      });
  }

  void answer(Page aPage)
  {
    response = {};
    response.version(11);
    response.result(aPage.status);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(aPage.body);
    response.prepare_payload();
    http::async_write(socket, response, [self = shared_from_this()](ErrorCode aError, std::size_t) {
      if (!aError && self->response.keep_alive()) {
        self->read();
      }
    });
  }

  Socket socket;
  PageServer::Make make;
  PageServer::Take take;
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
      std::make_shared<PageLink>(std::move(aSocket), self->make, self->take)->read();
    }
    self->accept();
  });
}

PageServer::PageServer(boost::asio::io_context& aIo,
                       const Tcp::endpoint& aEndpoint,
                       Make aMake,
                       Take aTake)
  : mShared(std::make_shared<Shared>(aIo, aEndpoint, std::move(aMake), std::move(aTake)))
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
