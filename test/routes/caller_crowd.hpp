#pragma once

#include "mustardplank/base/time.hpp"

#include <atomic>
#include <cstddef>
#include <limits>
#include <string>
#include <thread>
#include <vector>

namespace mustardplank::routes {

/// What each caller of a crowd sends: the head, then the block again and again. Nothing is read.
struct CrowdPattern
{
  static constexpr std::size_t kEndless = std::numeric_limits<std::size_t>::max();

  std::size_t callers = 0;
  std::string head{};
  std::string block{};
  std::size_t blocks = 0;
  /// Between two blocks of a caller.
  Millis pause{ 0 };
  /// Ends its side of the connection after the last block.
  bool closesItsSide = false;
};

/// Callers on one address of the loopback interface, 127.0.0.2, that stay connected until the
/// object is destroyed. Runs on a thread of its own.
class CallerCrowd
{
public:
  /// aTarget is "127.0.0.1:PORT".
  CallerCrowd(const std::string& aTarget, CrowdPattern aPattern);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// Whether each caller has sent all that it sends, or was cut off.
  bool hasSentAll() const { return mUnfinished == 0; }

private:
  struct Member
  {
    int socket = -1;
    bool headSent = false;
    /// Of the head or of the block in progress.
    std::size_t offset = 0;
    std::size_t blocksSent = 0;
    TimePoint nextAt{};
    bool finished = false;
  };

  void run();
  /// Sends what the socket takes. Returns whether it took anything.
  bool advance(Member& aMember) const;

  CrowdPattern mPattern;
  std::vector<Member> mMembers;
  std::atomic<std::size_t> mUnfinished;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

}
