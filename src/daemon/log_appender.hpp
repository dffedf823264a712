#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/platform/platform.hpp"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace mustardplank::daemon {

/// Collects log records into few appends, as the log takes some hundred appends a second from all
/// instances together. One append is under way at a time. Nothing is repeated but after "rate
/// limited": whether a record is in the log is for its sender to read.
class LogAppender
{
public:
  using Send = std::function<void(std::vector<std::string> aRecords)>;
  using Done = std::function<void(const platform::Result<platform::Appended>&)>;

  explicit LogAppender(Send aSend);

  /// aDone, if given, is called once with the outcome of the append that held the record.
  void add(std::string aRecord, Done aDone = nullptr);
  /// The same for records that go into one append.
  void addAll(std::vector<std::string> aRecords, Done aDone);
  /// Sends what waits, unless an append is under way or the log asked for a pause.
  void flush(TimePoint aNow);
  /// The outcome of the append under way.
  void finished(const platform::Result<platform::Appended>& aResult, TimePoint aNow);

  std::size_t waiting() const { return mWaiting.size(); }

private:
  struct Item
  {
    std::vector<std::string> records;
    Done done;
  };

  Send mSend;
  std::deque<Item> mWaiting;
  std::vector<Item> mUnderWay;
  TimePoint mPausedUntil{};
};

}
