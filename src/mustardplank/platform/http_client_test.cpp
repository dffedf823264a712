#include "mustardplank/platform/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::platform;

namespace asio = boost::asio;

namespace {

asio::awaitable<void>
sendOnce(HttpClient& aClient, bool& aFailed)
{
  HttpRequest request;
  request.post = true;
  request.target = "/usage";
  request.timeout = Millis(100);
  const auto response = co_await aClient.send(std::move(request));
  aFailed = std::holds_alternative<Failure>(response);
}

}

BOOST_AUTO_TEST_SUITE(http_client)

// Guards against a call that is delayed by a network partition and reaches the platform after calls
// of the next lease holder: a call that times out resets its connection, which drops unsent data.
BOOST_AUTO_TEST_CASE(timed_out_call_resets_its_connection)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  HttpClient client(acceptor.local_endpoint());
  bool failed = false;
  asio::co_spawn(io, sendOnce(client, failed), asio::detached);
  asio::ip::tcp::socket socket(io);
  acceptor.async_accept(socket, [](boost::system::error_code) {});
  io.run();
  BOOST_TEST(failed);
  std::array<char, 4096> buf{};
  boost::system::error_code ec;
  asio::read(socket, asio::buffer(buf), ec);
  BOOST_TEST(ec == asio::error::connection_reset);
}

// Guards against a large response over a slow link that is given up and requested again for ever:
// the limit counted from the request to the last byte.
BOOST_AUTO_TEST_CASE(response_that_makes_progress_may_take_longer_than_the_timeout)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::array<char, 4096> buf{};
    socket.read_some(asio::buffer(buf));
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n")));
    for (int i = 0; i < 6; ++i) {
      std::this_thread::sleep_for(Millis(40));
      asio::write(socket, asio::buffer(std::string("x")));
    }
  });
  HttpClient client(acceptor.local_endpoint());
  bool failed = true;
  asio::co_spawn(io, sendOnce(client, failed), asio::detached);
  io.run();
  server.join();
  BOOST_TEST(!failed);
}

// Guards against a peer that never sends the rest: a response without progress is given up.
BOOST_AUTO_TEST_CASE(response_without_progress_is_given_up)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::array<char, 4096> buf{};
    socket.read_some(asio::buffer(buf));
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nx")));
    boost::system::error_code ec;
    while (!ec) {
      socket.read_some(asio::buffer(buf), ec);
    }
  });
  HttpClient client(acceptor.local_endpoint());
  bool failed = false;
  const auto start = std::chrono::steady_clock::now();
  asio::co_spawn(io, sendOnce(client, failed), asio::detached);
  io.run();
  server.join();
  BOOST_TEST(failed);
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2 * HttpClient::kProgressTimeout));
}

BOOST_AUTO_TEST_SUITE_END()
