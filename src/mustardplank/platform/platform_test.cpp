#include "json_codec.hpp"
#include "mustardplank/platform/http_platform.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::platform;

namespace asio = boost::asio;

namespace {

FailureKind
kindOf(const Result<Appended>& aResult)
{
  return std::get<Failure>(aResult).kind;
}

/// Accepts one connection, reads once, sends aResponse and closes.
class SingleResponseServer
{
public:
  explicit SingleResponseServer(std::string aResponse)
    : mAcceptor(mIo, { asio::ip::address_v4::loopback(), 0 })
    , mThread([this, response = std::move(aResponse)] {
      auto socket = mAcceptor.accept();
      char buf[4096];
      boost::system::error_code ec;
      socket.read_some(asio::buffer(buf), ec);
      asio::write(socket, asio::buffer(response), ec);
    })
  {
  }
  ~SingleResponseServer() { mThread.join(); }
  std::uint16_t port() const { return mAcceptor.local_endpoint().port(); }

private:
  asio::io_context mIo;
  asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

Result<Appended>
appendTo(std::uint16_t aPort)
{
  HttpPlatform platform("127.0.0.1", aPort);
  std::promise<Result<Appended>> result;
  platform.append({ "{}" },
                  [&](Result<Appended> aResult) { result.set_value(std::move(aResult)); });
  return result.get_future().get();
}

}

BOOST_AUTO_TEST_SUITE(http_platform)

// Guards against treating a lost response as "not appended", which would append the records twice.
BOOST_AUTO_TEST_CASE(close_without_response_is_unknown)
{
  SingleResponseServer server("");
  BOOST_TEST((kindOf(appendTo(server.port())) == FailureKind::Unknown));
}

// Guards against treating a refused connection as "possibly appended", which would wait for records
// that never appear.
BOOST_AUTO_TEST_CASE(refused_connection_has_no_effect)
{
  asio::io_context io;
  asio::ip::tcp::acceptor unused(io, { asio::ip::address_v4::loopback(), 0 });
  const auto port = unused.local_endpoint().port();
  unused.close();
  BOOST_TEST((kindOf(appendTo(port)) == FailureKind::NoEffect));
}

BOOST_AUTO_TEST_CASE(append_returns_the_first_offset)
{
  SingleResponseServer server(
    "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"offset\":41,\"count\":1}");
  BOOST_TEST(std::get<Appended>(appendTo(server.port())).first == 41U);
}

// Guards against taking a malformed response for success or for "no effect".
BOOST_AUTO_TEST_CASE(failure_kind_follows_status_and_body)
{
  BOOST_TEST((kindOf(parseAppended({ 200, "{\"offset\":" })) == FailureKind::Unknown));
  BOOST_TEST((kindOf(parseAppended({ 500, "" })) == FailureKind::Unknown));
  BOOST_TEST((kindOf(parseAppended({ 429, "" })) == FailureKind::RateLimited));
}

// Guards against sending an order after its lease has expired.
BOOST_AUTO_TEST_CASE(order_after_its_lease_is_not_sent)
{
  SingleResponseServer server("");
  HttpPlatform platform("127.0.0.1", server.port());
  std::promise<Result<OrderResult>> result;
  ServerOrder order;
  order.notAfter = TimePoint(Duration(1));
  platform.orderServer(order,
                       [&](Result<OrderResult> aResult) { result.set_value(std::move(aResult)); });
  const auto response = result.get_future().get();
  BOOST_TEST((std::get<Failure>(response).kind == FailureKind::NoEffect));
}

BOOST_AUTO_TEST_CASE(read_below_first_retained_offset_reports_that_offset)
{
  const auto result = parseLogChunk({ 410, "{\"first\":9}" });
  BOOST_TEST((std::get<Failure>(result).kind == FailureKind::LogTruncated));
  BOOST_TEST(std::get<Failure>(result).first == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
