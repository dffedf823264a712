#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace mustardplank {

/// Accounts for the bytes that the process holds of all responses together, in bytes, and names the
/// holder that has to give up while they exceed the limit: the largest one of the source that holds
/// most.
///
/// Load pattern: a server answers every request with a body without end. Each of these responses
/// stays below its own limit, all of them together do not; small responses of other servers go on.
///
///     memory.set(1, "server-a", 900);
///     memory.set(2, "server-b", 400);
///     memory.findExcess(); // 1, with a limit of 1000
class ResponseMemory
{
public:
  using HolderId = std::uint64_t;

  explicit ResponseMemory(std::size_t aLimitBytes);

  /// Replaces what the holder held before; 0 removes it.
  void set(HolderId aHolder, const std::string& aSource, std::size_t aBytes);
  void remove(HolderId aHolder);
  std::size_t bytesOf(HolderId aHolder) const;
  std::size_t totalBytes() const { return mTotalBytes; }
  std::size_t limitBytes() const { return mLimitBytes; }
  /// Nothing while the limit is kept.
  std::optional<HolderId> findExcess() const;

private:
  struct Holder
  {
    std::string source;
    std::size_t bytes = 0;
  };

  std::size_t mLimitBytes;
  std::size_t mTotalBytes = 0;
  std::unordered_map<HolderId, Holder> mHolders;
};

}
