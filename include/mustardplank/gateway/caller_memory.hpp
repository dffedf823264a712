#pragma once

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace mustardplank::gateway {

/// What a caller's connection is doing.
enum class CallerStage
{
  /// No byte of a request has arrived.
  Idle,
  /// A request has arrived in part.
  Receiving,
  /// A whole request that no server may have run yet.
  Waiting,
  /// A request that a server may run.
  Executing,
  /// A response that the caller has not taken yet.
  Delivering,
};

inline constexpr NameTable<CallerStage, 5> kCallerStageNames{ { {
  { CallerStage::Idle, "idle" },
  { CallerStage::Receiving, "receiving" },
  { CallerStage::Waiting, "waiting" },
  { CallerStage::Executing, "executing" },
  { CallerStage::Delivering, "delivering" },
} } };

/// Accounts for the bytes that callers make the process hold, by connection, and names the
/// connection that has to give up while they exceed the limit: the one that holds most for longest
/// without progress. Connections whose address or organisation holds less than its guaranteed
/// minimum come last, and before these those whose request a server may be running.
///
/// Load pattern: a crowd of callers sends bodies that stop just short of their end, or reads no
/// responses, while ordinary callers go on.
///
///     CallerMemory memory({ .limitBytes = 1000, .minimumBytes = 100 });
///     memory.add(1, "127.0.0.1", now);
///     memory.setBytes(1, 2000);
///     memory.findExcess(now); // 1
class CallerMemory
{
public:
  using HolderId = std::uint64_t;

  struct Options
  {
    std::size_t limitBytes = 30'000'000;
    /// Guaranteed to each address and organisation while others hold more.
    std::size_t minimumBytes = 3'750'000;
    /// Slower callers are given up while memory is scarce.
    std::uint64_t minBytesPerSecond = 8'000;
  };

  explicit CallerMemory(Options aOptions);

  void add(HolderId aHolder, const std::string& aAddress, TimePoint aNow);
  void remove(HolderId aHolder);
  /// Empty if the caller is of none.
  void setOrganisation(HolderId aHolder, const std::string& aOrganisation);
  /// Replaces what the holder held before.
  void setBytes(HolderId aHolder, std::size_t aBytes);
  void setStage(HolderId aHolder, CallerStage aStage, TimePoint aNow);
  /// Bytes of a request that arrived, or of a response that were taken.
  void noteProgress(HolderId aHolder, std::size_t aBytes, TimePoint aNow);

  std::size_t bytesOf(HolderId aHolder) const;
  std::size_t totalBytes() const { return mTotalBytes; }
  std::size_t limitBytes() const { return mOptions.limitBytes; }
  bool isExceeded() const { return mTotalBytes > mOptions.limitBytes; }
  /// Whether three quarters of the limit are in use.
  bool isScarce() const { return mTotalBytes / 3 > mOptions.limitBytes / 4; }
  /// Nothing while the limit is kept.
  std::optional<HolderId> findExcess(TimePoint aNow) const;
  /// A connection that makes less than the least progress; nothing while memory is not scarce.
  std::optional<HolderId> findStalled(TimePoint aNow) const;
  /// The connection to close for a new one from aAddress when there may be no more connections: of
  /// the address that has most, idle ones first. Nothing if the new one has to be refused.
  std::optional<HolderId> findReplaceable(const std::string& aAddress, TimePoint aNow) const;

private:
  /// The connections of one address or organisation.
  struct Group
  {
    std::size_t bytes = 0;
    std::size_t connections = 0;
  };
  /// Iterators stay valid while others are added.
  using Groups = std::map<std::string, Group>;

  struct Holder
  {
    Groups::iterator address{};
    std::optional<Groups::iterator> organisation{};
    std::size_t bytes = 0;
    CallerStage stage = CallerStage::Idle;
    /// When the stage began or the last kProgressStep was complete.
    TimePoint progressAt{};
    std::size_t progressBytes = 0;
  };

  static void leave(Groups& aGroups, Groups::iterator aGroup, std::size_t aBytes);
  bool isProtected(const Holder& aHolder) const;

  Options mOptions;
  std::size_t mTotalBytes = 0;
  Groups mAddresses;
  Groups mOrganisations;
  std::unordered_map<HolderId, Holder> mHolders;
};

}
