#include "mustardplank/peer/transport.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>

using namespace mustardplank::peer;

namespace asio = boost::asio;

namespace {

std::uint16_t
freePort()
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

/// A transport that records what it gets.
struct End
{
  End(const std::string& aName, const std::string& aSecret)
    : port(freePort())
    , transport(
        { aName, "fd-a", "127.0.0.1", port, aSecret },
        [this](const std::string& aFrom, const std::string&, Transport::Bytes aBytes) {
          add(aFrom + ":" + std::string(aBytes.begin(), aBytes.end()));
        },
        [this](const char* aEvent, const std::string&, const std::string&) { add(aEvent); })
  {
  }
  ~End() { transport.stop(); }

  void add(const std::string& aEvent)
  {
    const std::lock_guard lock(mutex);
    events.push_back(aEvent);
    changed.notify_all();
  }

  bool waitFor(const std::string& aEvent)
  {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::seconds(5), [&] {
      return std::find(events.begin(), events.end(), aEvent) != events.end();
    });
  }

  bool saw(const std::string& aEvent)
  {
    const std::lock_guard lock(mutex);
    return std::find(events.begin(), events.end(), aEvent) != events.end();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port); }

  std::uint16_t port;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> events;
  Transport transport;
};

void
sendText(End& aFrom, const std::string& aTo, const std::string& aText)
{
  aFrom.transport.post([&aFrom, aTo, aText] {
    aFrom.transport.send(aTo, { aText.begin(), aText.end() });
  });
}

}

BOOST_AUTO_TEST_SUITE(transport)

BOOST_AUTO_TEST_CASE(messagesGoBothWaysOverOneLink)
{
  End left("left", "secret");
  End right("right", "secret");
  left.transport.setPeers({ { "right", right.address() } });
  BOOST_TEST_REQUIRE(left.waitFor("peer.link_up"));
  BOOST_TEST_REQUIRE(right.waitFor("peer.link_up"));
  sendText(left, "right", "ping");
  BOOST_TEST(right.waitFor("left:ping"));
  sendText(right, "left", "pong");
  BOOST_TEST(left.waitFor("right:pong"));
}

// Guards against an instance without the secret getting or changing anything.
BOOST_AUTO_TEST_CASE(wrongSecretIsRejected)
{
  End left("left", "wrong");
  End right("right", "secret");
  left.transport.setPeers({ { "right", right.address() } });
  BOOST_TEST(right.waitFor("peer.link_rejected"));
  sendText(left, "right", "ping");
  BOOST_TEST(!right.saw("peer.link_up"));
  BOOST_TEST(!right.saw("left:ping"));
}

// Guards against messages for one instance reaching another one that took over its address.
BOOST_AUTO_TEST_CASE(anotherInstanceAtTheAddressIsRejected)
{
  End left("left", "secret");
  End right("right", "secret");
  left.transport.setPeers({ { "someone", right.address() } });
  BOOST_TEST(left.waitFor("peer.link_rejected"));
  BOOST_TEST(!left.saw("peer.link_up"));
}

// Guards against bytes that are no WebSocket handshake ending the listener.
BOOST_AUTO_TEST_CASE(garbageDoesNotStopTheListener)
{
  End right("right", "secret");
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({ asio::ip::address_v4::loopback(), right.port });
  const std::string garbage(2000, '\x01');
  asio::write(socket, asio::buffer(garbage));
  End left("left", "secret");
  left.transport.setPeers({ { "right", right.address() } });
  BOOST_TEST(left.waitFor("peer.link_up"));
}

BOOST_AUTO_TEST_SUITE_END()
