#pragma once

#include "mustardplank/base/response_memory.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace mustardplank::platform {

/// Limits what the responses that a process reads for itself hold together, in bytes. Beyond the
/// limit the largest response of the source that holds most is given up. Used by one thread.
///
/// Load pattern: one agent follows the reports of hundreds of servers, and each of them may send a
/// response up to the limit of one.
///
///     auto memory = std::make_shared<ReadMemory>(1'000'000);
///     ReadMemory::Holding holding(memory, "10.1.0.7:8000", [&] { socket.cancel(); });
///     if (!holding.set(received)) { ... } // given up
class ReadMemory
{
public:
  using RevokeCallback = std::function<void()>;

  /// What one response holds; nothing any more once it is destroyed.
  class Holding
  {
  public:
    /// aOnRevoke is called at most once, when this response is given up for another one.
    Holding(std::shared_ptr<ReadMemory> aMemory, std::string aSource, RevokeCallback aOnRevoke);
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;
    ~Holding();

    /// Replaces what it held before. False once it is given up.
    bool set(std::size_t aBytes);
    bool isRevoked() const { return mRevoked; }

  private:
    friend class ReadMemory;

    std::shared_ptr<ReadMemory> mMemory;
    ResponseMemory::HolderId mId;
    std::string mSource;
    RevokeCallback mOnRevoke;
    bool mRevoked = false;
  };

  explicit ReadMemory(std::size_t aLimitBytes);

  std::size_t totalBytes() const { return mMemory.totalBytes(); }
  std::size_t limitBytes() const { return mMemory.limitBytes(); }
  /// Counts a response that was given up because of a limit, its own or the common one.
  void noteDropped() { ++mDropped; }
  /// Responses that were given up since the last call.
  std::uint64_t takeDropped() { return std::exchange(mDropped, 0); }

private:
  void revoke(ResponseMemory::HolderId aId);

  ResponseMemory mMemory;
  ResponseMemory::HolderId mNextId = 1;
  std::unordered_map<ResponseMemory::HolderId, Holding*> mHoldings;
  std::uint64_t mDropped = 0;
};

}
