#include "mustardplank/platform/http_exchange.hpp"

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
callOnce(HttpExchange& aExchange, bool& aFailed)
{
  HttpCall call;
  call.post = true;
  call.target = "/usage";
  call.timeout = Millis(100);
  const auto answer = co_await aExchange.call(std::move(call));
  aFailed = std::holds_alternative<Failure>(answer);
}

}

BOOST_AUTO_TEST_SUITE(http_exchange)

// Guards against the fault in which a call that a partition held up reached the platform after
// another holder of the duty had called: a call that is given up resets its connection, which drops
// what is on the way.
BOOST_AUTO_TEST_CASE(call_that_is_given_up_resets_its_connection)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  HttpExchange exchange(acceptor.local_endpoint());
  bool failed = false;
  asio::co_spawn(io, callOnce(exchange, failed), asio::detached);
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
