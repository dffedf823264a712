#include "mustardplank/base/log_writer.hpp"

#include "log_sink.hpp"
#include "mustardplank/base/clock.hpp"

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace mustardplank {

namespace {

/// Bytes of lines that wait to be written.
constexpr std::size_t kMaxBuffered = 256 * 1024;
/// Lines a second; a fault that touches every request must not use up the processor.
constexpr std::uint32_t kMaxLinesPerSecond = 400;
/// Lines are written together, as each wake-up has its price.
constexpr auto kFlushInterval = std::chrono::milliseconds(250);

constexpr const char*
levelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "DEBUG";
    case LogLevel::Info:
      return "INFO";
    case LogLevel::Warning:
      return "WARN";
    case LogLevel::Error:
      break;
  }
  return "ERROR";
}

class Writer
{
public:
  Writer(LogLevel aLevel, std::string_view aInstance)
    : mLevel(aLevel)
    , mInstance(aInstance)
    , mThread([this] { run(); })
  {
  }

  ~Writer()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mWake.notify_one();
    mThread.join();
  }

  void add(LogLevel aLevel, const std::string& aLine)
  {
    if (aLevel < mLevel) {
      return;
    }
    const auto wall = wallMillis();
    const std::lock_guard lock(mMutex);
    if (wall / 1000 != mSecond) {
      mSecond = wall / 1000;
      mLines = 0;
    }
    if (++mLines > kMaxLinesPerSecond || mBuffer.size() + aLine.size() > kMaxBuffered) {
      ++mDropped;
      return;
    }
    append(wall, aLevel, aLine);
  }

  std::uint64_t dropped() const { return mDropped; }

private:
  void append(std::int64_t aWallMs, LogLevel aLevel, const std::string& aLine)
  {
    const std::time_t seconds = aWallMs / 1000;
    if (seconds != mStampSecond) {
      mStampSecond = seconds;
      std::tm parts{};
      gmtime_r(&seconds, &parts);
      char buf[32];
      std::strftime(buf, sizeof buf, "time=%Y-%m-%dT%H:%M:%S", &parts);
      mStamp = buf;
    }
    char millis[16];
    std::snprintf(millis, sizeof millis, ".%03dZ", static_cast<int>(aWallMs % 1000));
    mBuffer.append(mStamp).append(millis).append(" level=").append(levelName(aLevel));
    mBuffer.append(" instance=").append(mInstance).append(" ").append(aLine).append("\n");
  }

  void run()
  {
    std::unique_lock lock(mMutex);
    bool stopping = false;
    while (!stopping) {
      mWake.wait_for(lock, kFlushInterval, [this] { return mStopping; });
      stopping = mStopping;
      if (mDropped != mDroppedTold) {
        const auto dropped = mDropped - mDroppedTold;
        mDroppedTold = mDropped;
        append(
          wallMillis(), LogLevel::Warning, "event=log.dropped lines=" + std::to_string(dropped));
      }
      std::string batch = std::exchange(mBuffer, {});
      lock.unlock();
      writeAll(batch);
      lock.lock();
    }
  }

  static void writeAll(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const auto n = ::write(STDOUT_FILENO, aBytes.data(), aBytes.size());
      if (n <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }

  const LogLevel mLevel;
  const std::string mInstance;
  std::mutex mMutex;
  std::condition_variable mWake;
  std::string mBuffer;
  std::string mStamp;
  std::time_t mStampSecond = -1;
  std::int64_t mSecond = 0;
  std::uint32_t mLines = 0;
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::uint64_t mDroppedTold = 0;
  bool mStopping = false;
  std::thread mThread;
};

std::unique_ptr<Writer> gWriter; // NOLINT(readability-identifier-naming)

}

void
startLogWriter(LogLevel aLevel, std::string_view aInstance)
{
  gWriter = std::make_unique<Writer>(aLevel, aInstance);
  setLogSink(
    [](LogLevel aLineLevel, const std::string& aLine) { gWriter->add(aLineLevel, aLine); });
}

void
stopLogWriter()
{
  setLogSink(nullptr);
  gWriter.reset();
}

std::uint64_t
droppedLogLines()
{
  return gWriter ? gWriter->dropped() : 0;
}

}
