#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

/// A runner that answers requests, and reports what it holds at /kv-events. Once it is in trouble,
/// its answers there are bytes without end.
class EndlessRunner
{
public:
  EndlessRunner(std::string aId, std::size_t aBytesPerSecond);
  ~EndlessRunner();

  const std::string& id() const { return mId; }
  const std::string& address() const { return mAddress; }
  void setInTrouble() { mInTrouble = true; }
  std::uint64_t endlessBytes() const { return mEndlessBytes; }
  int reportCalls() const { return mReportCalls; }

private:
  using Tcp = boost::asio::ip::tcp;

  void accept();
  void serve(const std::shared_ptr<Tcp::socket>& aSocket);
  bool answer(Tcp::socket& aSocket,
              const std::string& aTarget,
              std::map<std::string, std::string>& aFields);
  void writeEndlessly(Tcp::socket& aSocket);

  std::string mId;
  std::string mAddress;
  std::size_t mBytesPerSecond;
  boost::asio::io_context mIo;
  Tcp::acceptor mAcceptor;
  std::mutex mMutex;
  std::list<std::shared_ptr<Tcp::socket>> mSockets;
  std::list<std::thread> mThreads;
  std::thread mAccepting;
  std::atomic<bool> mEnded{ false };
  std::atomic<bool> mInTrouble{ false };
  std::atomic<std::uint64_t> mEndlessBytes{ 0 };
  std::atomic<int> mReportCalls{ 0 };
};
