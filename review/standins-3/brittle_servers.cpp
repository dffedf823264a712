// The runners of a service are brittle while many users come at once.
#include "small_site.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <condition_variable>
#include <deque>
#include <list>
#include <random>

using namespace review;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr int kSlots = 6;
constexpr auto kWork = 60ms;
/// Requests that may wait at a runner, and the same while it is brittle.
constexpr int kQueue = 24;
constexpr int kBrittleQueue = 4;
/// Rejections in a second above which a brittle runner falls over.
constexpr int kBrittle = 5;
constexpr auto kStabilityWindow = 3s;
constexpr auto kDown = 3s;
/// Requests a second of all callers; the runners serve 300.
constexpr double kUsual = 200.0;
constexpr double kBurst = 1.6;
constexpr auto kBurstTime = 8s;

struct Totals
{
  std::atomic<int> ran{ 0 };
  std::atomic<int> rejected{ 0 };
  std::atomic<int> falls{ 0 };
  std::atomic<int> lost{ 0 };
};

std::atomic<bool> gBrittle{ false };
std::atomic<Clock::rep> gBrittleSince{ 0 };

bool
letsFewerWait()
{
  return gBrittle && Clock::now().time_since_epoch().count() - gBrittleSince >=
                       Clock::duration(kStabilityWindow).count();
}

/// A runner with slots and a queue. It runs on the one thread of its io_context.
class Runner
{
public:
  Runner(asio::io_context& aIo, std::string aId, Totals& aTotals, Record& aRecord)
    : mIo(aIo)
    , mId(std::move(aId))
    , mTotals(aTotals)
    , mRecord(aRecord)
    , mAcceptor(aIo, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , mEndpoint(mAcceptor.local_endpoint())
  {
    accept();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(mEndpoint.port()); }

  std::function<void()> onBack;

private:
  struct Connection : std::enable_shared_from_this<Connection>
  {
    explicit Connection(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    std::string out;
    bool working = false;
  };
  using Ptr = std::shared_ptr<Connection>;

  void accept()
  {
    mAcceptor.async_accept([this](boost::system::error_code aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto connection = std::make_shared<Connection>(std::move(aSocket));
      connection->socket.set_option(Tcp::no_delay(true));
      mConnections.push_back(connection);
      read(connection);
      accept();
    });
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

  void end(const Ptr& aConnection)
  {
    boost::system::error_code ec;
    aConnection->socket.close(ec);
    std::erase(mWaiting, aConnection);
    mConnections.remove(aConnection);
  }

  void handle(const Ptr& aConnection)
  {
    if (aConnection->request.target().starts_with("/kv-events") ||
        aConnection->request.target().starts_with("/report")) {
      answer(aConnection, 404, "");
      return;
    }
    if (mRunning < kSlots) {
      run(aConnection);
      return;
    }
    const int room = letsFewerWait() ? kBrittleQueue : kQueue;
    if (static_cast<int>(mWaiting.size()) < room) {
      mWaiting.push_back(aConnection);
      return;
    }
    ++mTotals.rejected;
    answer(aConnection, 503, "X-Not-Executed: 1\r\n");
    const auto now = Clock::now();
    mRejections.push_back(now);
    while (mRejections.front() + 1s < now) {
      mRejections.pop_front();
    }
    if (letsFewerWait() && static_cast<int>(mRejections.size()) > kBrittle) {
      fall();
    }
  }

  void run(const Ptr& aConnection)
  {
    ++mRunning;
    ++mTotals.ran;
    aConnection->working = true;
    auto timer = std::make_shared<asio::steady_timer>(mIo, kWork);
    timer->async_wait([this, aConnection, timer, life = mLife](boost::system::error_code) {
      if (life != mLife) {
        return;
      }
      --mRunning;
      aConnection->working = false;
      if (aConnection->socket.is_open()) {
        answer(aConnection, 200, "X-Response-Signature: s\r\n");
      }
      if (!mWaiting.empty() && mRunning < kSlots) {
        const auto next = mWaiting.front();
        mWaiting.pop_front();
        run(next);
      }
    });
  }

  void answer(const Ptr& aConnection, int aStatus, const std::string& aFields)
  {
    auto& out = aConnection->out;
    out = "HTTP/1.1 " + std::to_string(aStatus) +
          " X\r\nX-Attempt-Id: " + std::string(aConnection->request["X-Attempt-Id"]) +
          "\r\nX-Instance-Load: " + std::to_string(mRunning) + "," +
          std::to_string(mWaiting.size()) + "," + std::to_string(kSlots) +
          "\r\nKeep-Alive: timeout=20\r\n" + aFields +
          (gBrittle ? "Server-Brittle: " + std::to_string(kBrittle) + "\r\n" : "") +
          "Content-Length: 2\r\n\r\nok";
    asio::async_write(aConnection->socket,
                      asio::buffer(out),
                      [this, aConnection](boost::system::error_code aError, std::size_t) {
                        if (aError) {
                          end(aConnection);
                        } else {
                          read(aConnection);
                        }
                      });
  }

  void fall()
  {
    ++mTotals.falls;
    mTotals.lost += mRunning;
    mRecord.line(mId + " falls over: " + std::to_string(mRejections.size()) +
                 " rejections in a second; it ran " + std::to_string(mRunning) + " requests");
    ++mLife;
    mRunning = 0;
    mWaiting.clear();
    mRejections.clear();
    boost::system::error_code ec;
    mAcceptor.close(ec);
    for (const auto& it : mConnections) {
      it->socket.set_option(asio::socket_base::linger(true, 0), ec);
      it->socket.close(ec);
    }
    mConnections.clear();
    auto timer = std::make_shared<asio::steady_timer>(mIo, kDown);
    timer->async_wait([this, timer](boost::system::error_code) {
      mAcceptor = Tcp::acceptor(mIo, mEndpoint);
      accept();
      mRecord.line(mId + " is back");
      onBack();
    });
  }

  asio::io_context& mIo;
  std::string mId;
  Totals& mTotals;
  Record& mRecord;
  Tcp::acceptor mAcceptor;
  Tcp::endpoint mEndpoint;
  std::list<Ptr> mConnections;
  std::deque<Ptr> mWaiting;
  std::deque<Clock::time_point> mRejections;
  int mRunning = 0;
  int mLife = 0;
};

}

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  const bool trouble = isWithTrouble();
  record.line(trouble ? "with trouble" : "without trouble");
  SmallSite site(3, 6, record);
  asio::io_context io;
  const auto work = asio::make_work_guard(io);
  Totals totals;
  std::vector<std::unique_ptr<Runner>> runners;
  for (std::size_t i = 0; i < 3; ++i) {
    runners.push_back(std::make_unique<Runner>(io, site.server(i).id(), totals, record));
    auto& runner = *runners.back();
    const auto write = [&, i](int aBorn) {
      site.writeServer(
        i, runner.address(), R"({"slots": 6, "born": )" + std::to_string(aBorn) + "}");
    };
    write(2);
    runner.onBack = [write, born = 2]() mutable { write(++born); };
  }
  std::thread thread([&] { io.run(); });
  if (!site.awaitServing()) {
    record.line("the instances do not serve");
    std::_Exit(2);
  }
  std::this_thread::sleep_for(5s);
  std::atomic<double> rate{ kUsual };
  std::atomic<bool> over{ false };
  std::atomic<int> sent{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<int> refused{ 0 };
  std::atomic<int> failed{ 0 };
  std::deque<int> due;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::thread> callers;
  for (int n = 0; n < 160; ++n) {
    callers.emplace_back([&, n] {
      std::minstd_rand random(static_cast<unsigned>(n + 1));
      for (;;) {
        {
          std::unique_lock lock(mutex);
          changed.wait(lock, [&] { return over || !due.empty(); });
          if (due.empty()) {
            return;
          }
          due.pop_front();
        }
        // One retry after a refusal, when Retry-After says.
        for (int attempt = 0; attempt < 2; ++attempt) {
          auto call = mustardplank::routes::callOf(random() % 3 == 0 ? "/twice/ok" : "/plain/ok");
          call.deadlineMs = 1500;
          ++sent;
          try {
            CallerConnection connection(site.callers(random() % site.instanceCount()));
            const auto answer = connection.call(call);
            if (answer.result_int() == 200) {
              ++served;
              break;
            }
            if (answer.result_int() != 503) {
              ++failed;
              break;
            }
            ++refused;
            const double after = std::atof(std::string(answer["Retry-After"]).c_str());
            std::this_thread::sleep_for(std::chrono::duration<double>(std::min(after, 0.5)));
          } catch (const boost::system::system_error&) {
            ++failed;
            break;
          }
        }
      }
    });
  }
  std::thread source([&] {
    auto next = Clock::now();
    while (!over) {
      next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / rate));
      std::this_thread::sleep_until(next);
      const std::lock_guard lock(mutex);
      due.push_back(1);
      changed.notify_one();
    }
  });
  std::this_thread::sleep_for(8s);
  gBrittleSince = Clock::now().time_since_epoch().count();
  gBrittle = true;
  record.line("the runners are brittle from now on");
  std::this_thread::sleep_for(kStabilityWindow + 3s);
  if (trouble) {
    record.line("many users come");
    rate = kUsual * kBurst;
  }
  std::this_thread::sleep_for(kBurstTime);
  rate = kUsual;
  record.line("the usual number of users");
  std::this_thread::sleep_for(8s);
  gBrittle = false;
  record.line("the runners are no longer brittle");
  over = true;
  changed.notify_all();
  source.join();
  for (auto& it : callers) {
    it.join();
  }
  record.line("sent " + std::to_string(sent) + ", served " + std::to_string(served) + ", refused " +
              std::to_string(refused) + ", failed " + std::to_string(failed) +
              "; at the runners: ran " + std::to_string(totals.ran) + ", rejected " +
              std::to_string(totals.rejected) + ", falls " + std::to_string(totals.falls) +
              ", running requests lost in falls " + std::to_string(totals.lost));
  // More often than 2 + a tenth of their number.
  const bool broken = totals.falls > 2 + 0.1 * 3;
  record.line(broken ? "BROKEN: the runners fell over too often" : "held");
  const int status = broken ? 1 : served < 1000 ? 2 : 0;
  for (std::size_t i = 0; i < site.instanceCount(); ++i) {
    site.instance(i).kill();
  }
  std::_Exit(status);
}
