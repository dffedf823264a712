#include "endless_runner.hpp"

#include "standins/common/http_server.hpp"
#include "support/free_port.hpp"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <istream>
#include <utility>

namespace asio = boost::asio;
using namespace mustardplank;

namespace {

constexpr std::size_t kBlockBytes = 64UL * 1024;
constexpr int kMaxReportWaitMs = 1000;
constexpr std::chrono::milliseconds kWorkTime{ 300 };

bool
write(asio::ip::tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code ec;
  asio::write(aSocket, asio::buffer(aText), ec);
  return !ec;
}

}

EndlessRunner::EndlessRunner(std::string aId, std::size_t aBytesPerSecond)
  : mId(std::move(aId))
  , mAddress("127.0.0.1:" + std::to_string(support::freePort()))
  , mBytesPerSecond(aBytesPerSecond)
  , mAcceptor(mIo, standins::parseEndpoint(mAddress))
{
  mAccepting = std::thread([this] { accept(); });
}

EndlessRunner::~EndlessRunner()
{
  mEnded = true;
  ::shutdown(mAcceptor.native_handle(), SHUT_RDWR);
  mAccepting.join();
  {
    const std::lock_guard lock(mMutex);
    for (const auto& it : mSockets) {
      ::shutdown(it->native_handle(), SHUT_RDWR);
    }
  }
  for (auto& it : mThreads) {
    it.join();
  }
}

void
EndlessRunner::accept()
{
  while (!mEnded) {
    auto socket = std::make_shared<Tcp::socket>(mIo);
    boost::system::error_code ec;
    mAcceptor.accept(*socket, ec);
    if (ec) {
      return;
    }
    const std::lock_guard lock(mMutex);
    mSockets.push_back(socket);
    mThreads.emplace_back([this, socket] { serve(socket); });
  }
}

void
EndlessRunner::serve(const std::shared_ptr<Tcp::socket>& aSocket)
{
  asio::streambuf buf;
  boost::system::error_code ec;
  while (!mEnded) {
    asio::read_until(*aSocket, buf, "\r\n\r\n", ec);
    if (ec) {
      break;
    }
    std::istream in(&buf);
    std::string method;
    std::string target;
    std::string line;
    in >> method >> target;
    std::getline(in, line);
    std::map<std::string, std::string> fields;
    while (std::getline(in, line) && line != "\r") {
      const auto colon = line.find(':');
      fields[boost::to_lower_copy(line.substr(0, colon))] =
        boost::trim_copy(line.substr(colon + 1));
    }
    const auto length = static_cast<std::size_t>(std::atoi(fields["content-length"].c_str()));
    if (buf.size() < length) {
      asio::read(*aSocket, buf, asio::transfer_exactly(length - buf.size()), ec);
    }
    buf.consume(length);
    if (ec || !answer(*aSocket, target, fields)) {
      break;
    }
  }
  const std::lock_guard lock(mMutex);
  aSocket->close(ec);
  mSockets.remove(aSocket);
}

bool
EndlessRunner::answer(Tcp::socket& aSocket,
                      const std::string& aTarget,
                      std::map<std::string, std::string>& aFields)
{
  if (aTarget.starts_with("/kv-events")) {
    ++mReportCalls;
    if (mInTrouble) {
      writeEndlessly(aSocket);
      return false;
    }
    const int wait = std::min(std::atoi(aFields["wait-ms"].c_str()), kMaxReportWaitMs);
    std::this_thread::sleep_for(std::chrono::milliseconds(wait));
    const std::string body = R"({"epoch":1,"next":0,"lost":false,"events":[]})";
    return write(aSocket,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  const auto names = "X-Attempt-Id: " + aFields["x-attempt-id"] + "\r\n";
  if (aFields["x-expected-instance"] != mId) {
    return write(aSocket,
                 "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + names +
                   "Content-Length: 0\r\n\r\n");
  }
  std::this_thread::sleep_for(kWorkTime);
  return write(aSocket,
               "HTTP/1.1 200 OK\r\n" + names + "X-Response-Signature: sig-" + mId +
                 "\r\nX-Instance-Load: 1,0,8,100\r\nContent-Length: 2\r\n\r\nok");
}

void
EndlessRunner::writeEndlessly(Tcp::socket& aSocket)
{
  const auto begunAt = std::chrono::steady_clock::now();
  const std::string block(kBlockBytes, 'x');
  std::uint64_t written = 0;
  bool open = write(aSocket,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n5;");
  while (open && !mEnded) {
    open = write(aSocket, block);
    written += open ? block.size() : 0;
    mEndlessBytes += open ? block.size() : 0;
    std::this_thread::sleep_until(begunAt +
                                  std::chrono::microseconds(1'000'000 * written / mBytesPerSecond));
  }
}
