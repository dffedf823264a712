#pragma once

#include "store_logs.hpp"

#include "standins/common/http_server.hpp"

#include "mustardplank/base/time.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardplank::routes {

/// A stand-in for the platform's store and its duty calls, on the thread of an io_context. Its
/// functions may be called on any thread.
class StoreStandin
{
public:
  explicit StoreStandin(boost::asio::io_context& aIo);

  const std::string& address() const { return mAddress; }
  /// A second address of the same store, which turnAway() closes alone.
  const std::string& otherAddress() const { return mOtherAddress; }
  /// While turned away, calls at the second address get 503.
  void turnAway(bool aAway);

  /// Writes a keyed record; nothing as the value removes the key.
  void put(const std::string& aTopic, const std::string& aKey, std::optional<std::string> aValue);
  /// Writes a record of a topic without keys.
  void append(const std::string& aTopic, const std::string& aContent);
  /// While down, calls get 503.
  void setDown(bool aDown);
  /// While silent, calls get no answer, also later.
  void setSilent(bool aSilent);
  /// Calls on connections to the second address that have carried a call get no answer from now on;
  /// those on new connections do.
  void silenceOtherConnections();
  /// Answers to reads come so much later from now on.
  void setReadDelay(Millis aDelay);
  /// Forgets all records of a topic but the newest of each key.
  void compact(const std::string& aTopic);
  /// All reads of whole topics together get this many bytes a second; 0: as many as there are.
  void setReadRate(std::size_t aBytesPerSecond);
  /// Lists of newest records have the bytes of the keys as they are, so that a list is no valid
  /// JSON if one is not UTF-8; otherwise U+FFFD replaces them.
  void setRawKeys(bool aRaw);
  /// Rows of a page of a list of newest records.
  void setPageRows(std::size_t aRows);
  /// Answers each call for a page with the first one.
  void setRepeatFirstPage(bool aRepeat);
  /// Answers each call for a page with 500 more keys of 1 KB each, without end.
  void setEndlessList(bool aEndless);
  /// Calls for a page so far.
  std::size_t pageCalls() const;
  /// Remembers the whole content for restore(), as it is now.
  void snapshot();
  /// Puts all topics back to the snapshot, raises Store-Era and breaks calls that wait off. What
  /// the operator and the servers wrote since is written again by rewriteOperators().
  void restore();
  void rewriteOperators();
  /// Answers of the next so many appends are lost after they took effect.
  void loseAnswers(int aCount);

  struct DutyCall
  {
    std::string path;
    std::string holder;
    std::uint64_t fence = 0;
    nlohmann::json body;
  };
  std::vector<DutyCall> dutyCalls() const;
  /// All records of a topic that were not compacted away, as key and value.
  std::vector<std::pair<std::string, std::string>> records(const std::string& aTopic) const;
  /// Number of records that have been appended to a topic.
  std::uint64_t logEnd(const std::string& aTopic) const;

private:
  standins::Awaitable<bool> handle(standins::SocketPtr aSocket, standins::Request& aRequest);
  standins::Awaitable<bool> handleOther(standins::SocketPtr aSocket, standins::Request& aRequest);
  standins::Awaitable<bool> read(standins::SocketPtr aSocket, standins::Request& aRequest);
  standins::Awaitable<bool> append(standins::SocketPtr aSocket, standins::Request& aRequest);
  standins::Awaitable<bool> respondPaced(standins::SocketPtr aSocket,
                                         const standins::Request& aRequest,
                                         std::string aBody,
                                         std::uint64_t aEra);
  /// Reserves the time for some bytes and returns how long to wait, in ms.
  std::int64_t reserveRead(std::size_t aBytes);
  std::uint64_t era() const;
  bool isSilent(const standins::SocketPtr& aSocket) const;

  using SocketSet = std::set<std::weak_ptr<standins::Tcp::socket>,
                             std::owner_less<std::weak_ptr<standins::Tcp::socket>>>;

  mutable std::mutex mMutex;
  StoreLogs mLogs;
  std::vector<DutyCall> mDutyCalls;
  bool mDown = false;
  bool mSilent = false;
  /// Connections to the second address.
  SocketSet mConnections;
  SocketSet mSilenced;
  std::int64_t mReadDelayMs = 0;
  bool mAway = false;
  int mLoseAnswers = 0;
  std::size_t mReadRate = 0;
  bool mRawKeys = false;
  std::size_t mPageRows = 500;
  bool mRepeatFirstPage = false;
  bool mEndlessList = false;
  std::size_t mPageCalls = 0;
  /// When the bytes that were sent are through, in ms of ledgerMillis().
  double mReadUntilMs = 0.0;
  std::string mAddress;
  std::string mOtherAddress;
};

}
