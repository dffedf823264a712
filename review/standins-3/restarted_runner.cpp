// A runner crashes and starts again under its id, with another version of its software; streams
// that begin just then are taken up at other machines when it crashes once more.
#include "small_site.hpp"

#include "support/free_port.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdlib>
#include <functional>
#include <list>
#include <mutex>
#include <set>

#include <fcntl.h>

using namespace review;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr int kRounds = 9;
constexpr int kStreams = 18;
constexpr int kEvents = 50;
constexpr auto kEventPause = 50ms;
constexpr auto kDown = 1500ms;
/// From the first streams after the start to the next crash.
constexpr auto kUntilNextCrash = 800ms;
/// The runner that starts again; it is of the zone shubra.
constexpr std::size_t kRestarted = 1;
/// Streams begin at the three machines of that zone and are taken up at the others.
constexpr std::size_t kFirst[] = { 2, 3, 4 };
constexpr std::size_t kOther[] = { 0, 1, 5 };

/// A runner of streams. It runs on the one thread of its io_context.
class Runner
{
public:
  Runner(asio::io_context& aIo, std::string aVersion)
    : mIo(aIo)
    , mVersion(std::move(aVersion))
    , mEndpoint(asio::ip::make_address("127.0.0.1"), mustardplank::support::freePort())
    , mAcceptor(aIo, mEndpoint)
  {
    accept();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(mEndpoint.port()); }

  void crash()
  {
    boost::system::error_code ec;
    mAcceptor.close(ec);
    for (const auto& it : mConnections) {
      it->socket.set_option(asio::socket_base::linger(true, 0), ec);
      it->socket.close(ec);
    }
    mConnections.clear();
  }

  void startAgain(const std::string& aVersion)
  {
    mVersion = aVersion;
    mAcceptor = Tcp::acceptor(mIo, mEndpoint);
    accept();
  }

private:
  struct Connection
  {
    explicit Connection(Tcp::socket aSocket)
      : socket(std::move(aSocket))
      , timer(socket.get_executor())
    {
    }
    Tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::string out;
    int next = 1;
  };
  using Ptr = std::shared_ptr<Connection>;

  void accept()
  {
    // Instances that are started later must not hold it open.
    ::fcntl(mAcceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    mAcceptor.async_accept([this](boost::system::error_code aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto connection = std::make_shared<Connection>(std::move(aSocket));
      connection->socket.set_option(Tcp::no_delay(true));
      ::fcntl(connection->socket.native_handle(), F_SETFD, FD_CLOEXEC);
      mConnections.push_back(connection);
      read(connection);
      accept();
    });
  }

  void end(const Ptr& aConnection)
  {
    boost::system::error_code ec;
    aConnection->socket.close(ec);
    mConnections.remove(aConnection);
  }

  void read(const Ptr& aConnection)
  {
    aConnection->request = {};
    http::async_read(aConnection->socket,
                     aConnection->buffer,
                     aConnection->request,
                     [this, aConnection](boost::system::error_code aError, std::size_t) {
                       if (aError) {
                         end(aConnection);
                       } else {
                         handle(aConnection);
                       }
                     });
  }

  void write(const Ptr& aConnection, std::string aText, const std::function<void()>& aThen)
  {
    aConnection->out = std::move(aText);
    asio::async_write(aConnection->socket,
                      asio::buffer(aConnection->out),
                      [this, aConnection, aThen](boost::system::error_code aError, std::size_t) {
                        if (aError) {
                          end(aConnection);
                        } else {
                          aThen();
                        }
                      });
  }

  void handle(const Ptr& aConnection)
  {
    const auto& request = aConnection->request;
    const std::string path(request.target());
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + std::string(request["X-Attempt-Id"]) +
                       "\r\nX-Response-Signature: s\r\nKeep-Alive: timeout=20\r\n";
    if (path.starts_with("/kv-events")) {
      write(aConnection,
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            [this, aConnection] { read(aConnection); });
      return;
    }
    if (!path.starts_with("/resume/")) {
      write(aConnection, head + "Content-Length: 2\r\n\r\nok", [this, aConnection] {
        read(aConnection);
      });
      return;
    }
    aConnection->next = std::atoi(std::string(request["Last-Event-Id"]).c_str()) + 1;
    head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    write(aConnection, head, [this, aConnection] { sendEvent(aConnection); });
  }

  void sendEvent(const Ptr& aConnection)
  {
    if (aConnection->next > kEvents) {
      write(aConnection, "0\r\n\r\n", [this, aConnection] { read(aConnection); });
      return;
    }
    const auto event =
      "id: " + std::to_string(aConnection->next++) + "\ndata: software " + mVersion + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    write(aConnection, size + event + "\r\n", [this, aConnection] {
      aConnection->timer.expires_after(kEventPause);
      aConnection->timer.async_wait([this, aConnection](boost::system::error_code aError) {
        if (!aError && aConnection->socket.is_open()) {
          sendEvent(aConnection);
        }
      });
    });
  }

  asio::io_context& mIo;
  std::string mVersion;
  Tcp::endpoint mEndpoint;
  Tcp::acceptor mAcceptor;
  std::list<Ptr> mConnections;
};

std::set<std::string>
versionsIn(const std::string& aBody)
{
  std::set<std::string> versions;
  const std::string mark = "data: software ";
  for (auto at = aBody.find(mark); at != std::string::npos; at = aBody.find(mark, at + 1)) {
    const auto end = aBody.find('\n', at);
    if (end != std::string::npos) {
      versions.insert(aBody.substr(at + mark.size(), end - at - mark.size()));
    }
  }
  return versions;
}

std::string
lastEventIdOf(const std::string& aBody)
{
  const auto end = aBody.rfind("\n\n");
  const auto at = end == std::string::npos ? end : aBody.rfind("id: ", end);
  return at == std::string::npos ? "" : aBody.substr(at + 4, aBody.find('\n', at) - at - 4);
}

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  record.line(trouble ? "with trouble" : "without trouble");
  SmallSite site(4, 6, record);
  asio::io_context io;
  const auto work = asio::make_work_guard(io);
  std::vector<std::unique_ptr<Runner>> runners;
  int born = 1;
  const auto enter = [&](std::size_t aIndex, const std::string& aVersion) {
    site.writeServer(aIndex,
                     runners[aIndex]->address(),
                     R"({"version": ")" + aVersion + R"(", "born": )" + std::to_string(++born) +
                       "}");
  };
  for (std::size_t i = 0; i < 4; ++i) {
    const std::string version = i < 3 ? "v1" : "v2";
    runners.push_back(std::make_unique<Runner>(io, version));
    enter(i, version);
  }
  std::thread thread([&] { io.run(); });
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    std::_Exit(2);
  }
  std::this_thread::sleep_for(6s);
  int joined = 0;
  int wentOn = 0;
  int takenUp = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto& runner = *runners[kRestarted];
    if (trouble) {
      asio::post(io, [&] { runner.crash(); });
      record.line("server1 (v1) crashes");
      std::this_thread::sleep_for(kDown);
      asio::post(io, [&] {
        runner.startAgain("v2");
        enter(kRestarted, "v2");
        record.line("server1 is back under its id, with v2, and in the list");
      });
      std::this_thread::sleep_for(20ms);
    }
    std::mutex mutex;
    std::vector<std::thread> streams;
    for (int i = 0; i < kStreams; ++i) {
      streams.emplace_back([&, i] {
        auto call = mustardplank::routes::callOf("/resume/x");
        call.deadlineMs = 4000;
        std::string body;
        try {
          CallerConnection connection(site.callers(kFirst[i % 3]));
          connection.send(call);
          try {
            body = connection.read().body();
          } catch (const boost::system::system_error&) {
            body = connection.partialBody();
          }
        } catch (const boost::system::system_error&) {
        }
        const auto last = lastEventIdOf(body);
        auto versions = versionsIn(body);
        std::string text = call.attempt + " got events of";
        for (const auto& it : versions) {
          text += " " + it;
        }
        if (!last.empty() && last != std::to_string(kEvents)) {
          std::this_thread::sleep_for(200ms);
          auto again = mustardplank::routes::callOf("/resume/x");
          again.deadlineMs = 3500;
          again.fields = { { "Last-Event-Id", last }, { "Resumes", call.attempt } };
          std::string rest;
          const auto target = kOther[i / 3 % 3];
          const int status = statusOf(site.callers(target), again, &rest);
          const auto more = versionsIn(rest);
          text += " up to " + last + ", taken up at " + site.nameOf(target) + ": status " +
                  std::to_string(status) + ", events of";
          for (const auto& it : more) {
            text += " " + it;
          }
          versions.insert(more.begin(), more.end());
          const std::lock_guard lock(mutex);
          ++takenUp;
          wentOn += more.empty() ? 0 : 1;
        }
        const std::lock_guard lock(mutex);
        if (versions.size() > 1) {
          ++joined;
          text += "  JOINED";
        }
        record.line(text);
      });
    }
    std::this_thread::sleep_for(kUntilNextCrash);
    if (trouble) {
      asio::post(io, [&] { runner.crash(); });
      record.line("server1 crashes again");
    }
    for (auto& it : streams) {
      it.join();
    }
    if (trouble) {
      asio::post(io, [&] {
        runner.startAgain("v1");
        enter(kRestarted, "v1");
        record.line("server1 is back with v1");
      });
    }
    // Not in step with the reads of the list.
    std::this_thread::sleep_for(4s + round * kDown / kRounds);
  }
  record.line("streams taken up " + std::to_string(takenUp) + ", went on " +
              std::to_string(wentOn) + ", with events of two versions " + std::to_string(joined));
  const bool broken = joined > 2;
  record.line(broken ? "BROKEN: more than two streams hold events of two versions" : "held");
  for (std::size_t i = 0; i < site.instanceCount(); ++i) {
    site.instance(i).kill();
  }
  std::_Exit(broken ? 1 : trouble && takenUp == 0 ? 2 : 0);
}
