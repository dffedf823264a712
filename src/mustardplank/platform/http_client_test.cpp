#include "mustardplank/platform/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

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

std::uint64_t
residentBytes()
{
  constexpr std::uint64_t kPageBytes = 4096;
  std::uint64_t size = 0;
  std::uint64_t resident = 0;
  std::ifstream("/proc/self/statm") >> size >> resident;
  return resident * kPageBytes;
}

/// Responds to one request with bytes until the client closes; without more to repeat it waits.
struct EndlessServer
{
  EndlessServer(asio::io_context& aIo, std::string aBegin, std::string aRepeated)
    : acceptor(aIo, { asio::ip::address_v4::loopback(), 0 })
    , thread([this, begin = std::move(aBegin), repeated = std::move(aRepeated)] {
      auto socket = acceptor.accept();
      std::array<char, 4096> buf{};
      boost::system::error_code ec;
      socket.read_some(asio::buffer(buf), ec);
      asio::write(socket, asio::buffer(begin), ec);
      while (!ec && written < kMaxBytes && !repeated.empty()) {
        written += asio::write(socket, asio::buffer(repeated), ec);
        mostResident = std::max(mostResident, residentBytes());
      }
      while (!ec) {
        socket.read_some(asio::buffer(buf), ec);
      }
    })
  {
  }

  /// Keeps a client that reads all of it within the memory of the machine.
  static constexpr std::size_t kMaxBytes = 512UL * 1024 * 1024;

  asio::ip::tcp::acceptor acceptor;
  std::size_t written = 0;
  std::uint64_t mostResident = 0;
  std::thread thread;
};

asio::awaitable<void>
get(HttpClient& aClient, std::size_t aMaxBodyBytes, std::vector<Result<HttpResponse>>& aResponses)
{
  HttpRequest request;
  request.target = "/kv-events";
  request.timeout = Seconds(10);
  request.maxBodyBytes = aMaxBodyBytes;
  aResponses.push_back(co_await aClient.send(std::move(request)));
}

/// Answers one request after the other on one connection with texts of its own.
std::thread
serveTexts(asio::ip::tcp::acceptor& aAcceptor, std::vector<std::string> aTexts, int& aConnections)
{
  return std::thread([&aAcceptor, &aConnections, texts = std::move(aTexts)] {
    auto it = texts.begin();
    while (it != texts.end()) {
      auto socket = aAcceptor.accept();
      ++aConnections;
      std::array<char, 4096> buf{};
      boost::system::error_code ec;
      while (it != texts.end() && socket.read_some(asio::buffer(buf), ec) > 0 && !ec) {
        asio::write(socket, asio::buffer(*it++), ec);
      }
    }
  });
}

const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

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

// Guards against a peer in trouble whose response has no end, in one of its parts, and takes the
// process over its memory. The limit on the body holds for each of them.
BOOST_AUTO_TEST_CASE(response_without_end_takes_bounded_memory)
{
  constexpr std::size_t kMaxBodyBytes = 256UL * 1024;
  constexpr std::uint64_t kMaxGrowth = 8UL * 1024 * 1024;
  const std::string filler(64UL * 1024, 'x');
  std::string chunks;
  std::string interim;
  for (int i = 0; i < 10'000; ++i) {
    chunks += "1;extension\r\nx\r\n";
    interim += "HTTP/1.1 102 Processing\r\n\r\n";
  }
  const std::pair<std::string, std::string> kForms[] = {
    { "HTTP/1.1 200 OK\r\nX-Long: ", filler },
    { "HTTP/1.1 200 ", filler },
    { "HTTP/1.1 200 OK\r\n\r\n", filler },
    { "HTTP/1.1 200 OK\r\nContent-Length: 90000000000\r\n\r\n", filler },
    { kChunked + "5;", filler },
    { kChunked + "5;a=\"", filler },
    { kChunked + "fffffff\r\n", filler },
    { kChunked + "1\r\nx\r\n0\r\nX-Trailer: ", filler },
    { kChunked, chunks },
    { "", interim },
  };
  for (const auto& [begin, repeated] : kForms) {
    BOOST_TEST_CONTEXT(begin)
    {
      asio::io_context io;
      EndlessServer server(io, begin, repeated);
      HttpClient client(server.acceptor.local_endpoint());
      std::vector<Result<HttpResponse>> responses;
      const auto before = residentBytes();
      const auto start = std::chrono::steady_clock::now();
      asio::co_spawn(io, get(client, kMaxBodyBytes, responses), asio::detached);
      io.run();
      const auto time = std::chrono::steady_clock::now() - start;
      server.thread.join();
      BOOST_REQUIRE(responses.size() == 1);
      // An interim response is none that was asked for; what follows it belongs to no request.
      BOOST_TEST((begin.empty() || std::holds_alternative<Failure>(responses[0])));
      BOOST_TEST(server.mostResident < before + kMaxGrowth);
      BOOST_TEST((time < Seconds(5)));
    }
  }
}

// Guards against many responses that each keep to their limit and together exceed the memory. A
// sound response beside them is read.
BOOST_AUTO_TEST_CASE(responses_of_all_clients_together_keep_to_their_memory)
{
  constexpr std::size_t kClients = 40;
  constexpr std::size_t kMemoryBytes = 2UL * 1024 * 1024;
  constexpr std::size_t kMaxBodyBytes = 1024UL * 1024;
  asio::io_context io;
  const auto memory = std::make_shared<ReadMemory>(kMemoryBytes);
  std::vector<std::unique_ptr<EndlessServer>> servers;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<Result<HttpResponse>> endless;
  std::vector<Result<HttpResponse>> sound;
  for (std::size_t i = 0; i < kClients; ++i) {
    // Ends just short of the limit of one response, and stays open.
    servers.push_back(std::make_unique<EndlessServer>(
      io, kChunked + "ff000\r\n" + std::string(0xff000 - 1, 'x'), std::string()));
    clients.push_back(std::make_unique<HttpClient>(servers.back()->acceptor.local_endpoint(),
                                                   HttpClientOptions{ memory, {} }));
    asio::co_spawn(io, get(*clients.back(), kMaxBodyBytes, endless), asio::detached);
  }
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  int connections = 0;
  auto server =
    serveTexts(acceptor, { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound" }, connections);
  HttpClient client(acceptor.local_endpoint(), { memory, {} });
  asio::co_spawn(io, get(client, kMaxBodyBytes, sound), asio::detached);
  std::size_t most = 0;
  while (io.run_one() > 0) {
    most = std::max(most, memory->totalBytes());
  }
  clients.clear();
  server.join();
  for (auto& it : servers) {
    it->thread.join();
  }
  BOOST_REQUIRE(sound.size() == 1);
  BOOST_REQUIRE(std::holds_alternative<HttpResponse>(sound[0]));
  BOOST_TEST(std::get<HttpResponse>(sound[0]).body == "sound");
  BOOST_TEST(endless.size() == kClients);
  BOOST_TEST(most <= kMemoryBytes);
  BOOST_TEST(memory->totalBytes() == 0U);
  BOOST_TEST(memory->takeDropped() > 0U);
}

// Guards against a field behind a body that counts as one of the head: the era of the store, for
// example.
BOOST_AUTO_TEST_CASE(fields_of_a_trailer_are_none_of_the_head)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  int connections = 0;
  auto server = serveTexts(acceptor,
                           { "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n1\r\nx\r\n0\r\nStore-Era: 9\r\n\r\n" },
                           connections);
  HttpClient client(acceptor.local_endpoint());
  std::vector<Result<HttpResponse>> responses;
  asio::co_spawn(io, get(client, 100, responses), asio::detached);
  io.run();
  server.join();
  BOOST_REQUIRE(responses.size() == 1);
  BOOST_REQUIRE(std::holds_alternative<HttpResponse>(responses[0]));
  std::vector<std::string> eras;
  for (const auto& [name, value] : std::get<HttpResponse>(responses[0]).fields) {
    if (name == "Store-Era") {
      eras.push_back(value);
    }
  }
  BOOST_TEST(eras == std::vector<std::string>{ "1" }, boost::test_tools::per_element());
}

// Guards against bytes behind a response that become the beginning of the next one.
BOOST_AUTO_TEST_CASE(connection_with_bytes_behind_a_response_is_not_used_again)
{
  const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  int connections = 0;
  auto server = serveTexts(acceptor, { sound + "HTTP/1.1 500 X", sound }, connections);
  HttpClient client(acceptor.local_endpoint());
  std::vector<Result<HttpResponse>> responses;
  for (int i = 0; i < 2; ++i) {
    asio::co_spawn(io, get(client, 100, responses), asio::detached);
    io.restart();
    io.run();
  }
  server.join();
  BOOST_REQUIRE(responses.size() == 2);
  for (const auto& it : responses) {
    BOOST_REQUIRE(std::holds_alternative<HttpResponse>(it));
    BOOST_TEST(std::get<HttpResponse>(it).body == "sound");
  }
  BOOST_TEST(connections == 2);
}

// Guards against a call that fails as it is sent on a connection that went silent while it was
// idle.
BOOST_AUTO_TEST_CASE(connection_that_was_idle_for_long_is_not_used_again)
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  int connections = 0;
  auto server = serveTexts(acceptor, { answer, answer, answer }, connections);
  HttpClient client(acceptor.local_endpoint());
  std::vector<Result<HttpResponse>> responses;
  const auto call = [&] {
    asio::co_spawn(io, get(client, 0, responses), asio::detached);
    io.restart();
    io.run();
  };
  call();
  call();
  BOOST_TEST(connections == 1);
  std::this_thread::sleep_for(HttpClient::kMaxIdleTime + Millis(100));
  call();
  server.join();
  BOOST_TEST(connections == 2);
  for (const auto& it : responses) {
    BOOST_TEST(std::holds_alternative<HttpResponse>(it));
  }
}

BOOST_AUTO_TEST_SUITE_END()
