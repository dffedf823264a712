// Clients ask a streaming route with HEAD on connections that they keep.
#include "small_site.hpp"

#include "standins/common/http_server.hpp"

#include <boost/asio.hpp>

using namespace review;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace standins = mustardplank::standins;

namespace {

constexpr int kRounds = 40;

/// A runner that answers each request with a stream of three events, and HEAD with its head alone.
class StreamServer
{
public:
  explicit StreamServer(asio::io_context& aIo)
    : mAddress(standins::serveHttp(aIo,
                                   "127.0.0.1:0",
                                   [](standins::SocketPtr aSocket, standins::Request& aRequest) {
                                     return handle(std::move(aSocket), aRequest);
                                   }))
  {
  }

  const std::string& address() const { return mAddress; }

private:
  static standins::Awaitable<bool> handle(standins::SocketPtr aSocket, standins::Request& aRequest)
  {
    const std::string target(aRequest.target());
    std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(aRequest["X-Attempt-Id"]) +
                       "\r\nX-Response-Signature: s\r\n";
    if (target.starts_with("/events/")) {
      text += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      if (aRequest.method() != boost::beast::http::verb::head) {
        text +=
          "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";
      }
    } else {
      text += "Content-Length: 2\r\n\r\nok";
    }
    boost::system::error_code ec;
    co_await asio::async_write(
      *aSocket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }

  std::string mAddress;
};

/// A kept connection of a client, read byte by byte.
class Client
{
public:
  explicit Client(const std::string& aAddress)
    : mSocket(mIo)
  {
    mSocket.connect(standins::parseEndpoint(aAddress));
  }

  void send(Call aCall) { asio::write(mSocket, asio::buffer(CallerConnection::textOf(aCall))); }

  /// The bytes up to the end of a head.
  std::string readHead()
  {
    std::string text;
    while (!text.ends_with("\r\n\r\n") && text.size() < 4096) {
      char byte = 0;
      boost::system::error_code ec;
      asio::read(mSocket, asio::buffer(&byte, 1), ec);
      if (ec) {
        break;
      }
      text += byte;
    }
    return text;
  }

  /// What has arrived although no request waits for an answer.
  std::string arrived()
  {
    std::string text(mSocket.available(), '\0');
    asio::read(mSocket, asio::buffer(text));
    return text;
  }

private:
  asio::io_context mIo;
  asio::ip::tcp::socket mSocket;
};

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  record.line(trouble ? "HEAD on a streaming route" : "HEAD on a route that is no stream");
  SmallSite site(3, 6, record);
  std::vector<std::unique_ptr<StreamServer>> servers;
  for (std::size_t i = 0; i < 3; ++i) {
    servers.push_back(std::make_unique<StreamServer>(site.io()));
    site.writeServer(i, servers[i]->address(), R"({"born": 2})");
  }
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    return 2;
  }
  int answered = 0;
  int strays = 0;
  for (int i = 0; i < kRounds; ++i) {
    Client client(site.callers(static_cast<std::size_t>(i) % site.instanceCount()));
    auto call = mustardplank::routes::callOf(trouble ? "/events/x" : "/twice/x");
    call.method = "HEAD";
    call.body = "";
    client.send(call);
    const auto head = client.readHead();
    if (!head.starts_with("HTTP/1.1 200")) {
      record.line(call.attempt + ": " + head.substr(0, head.find('\r')));
      continue;
    }
    ++answered;
    std::this_thread::sleep_for(100ms);
    const auto stray = client.arrived();
    if (!stray.empty()) {
      ++strays;
      record.line(call.attempt + ": HEAD was answered, and " + std::to_string(stray.size()) +
                  " bytes came behind its answer");
    }
  }
  record.line("HEAD answered " + std::to_string(answered) + " of " + std::to_string(kRounds) +
              ", with bytes behind the answer " + std::to_string(strays));
  if (answered < kRounds / 2) {
    return 2;
  }
  return strays > 0 ? 1 : 0;
}
