#include "mustardplank/platform/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

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

BOOST_AUTO_TEST_SUITE_END()
