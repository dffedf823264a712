#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <cstdint>
#include <optional>

namespace mustardplank::control {

struct DutyLeaseOptions
{
  /// Time without a renewal after which the store gives the duties to another member.
  Duration ttl = Seconds(3);
  /// Two holders act at least this far apart.
  Duration lease = Seconds(3);
  /// Time that a call made under the lease may take.
  Duration callTime = Millis(1000);
  /// For differences between clocks and delays on the way.
  Duration margin = Millis(200);
};

/// Whether this instance has the duties that only one may have at a time, by membership in a group
/// of the store. Pure; times are on the clock that counts suspension.
///
///     lease.joined(sentAt, membership, now);
///     if (auto fence = lease.mayAct(bootNow())) { send(order, *fence); }
class DutyLease
{
public:
  explicit DutyLease(DutyLeaseOptions aOptions);

  /// A renewal that was sent at aSent has been answered.
  void joined(TimePoint aSent, const Membership& aMembership, TimePoint aNow);
  /// The fencing token while this instance may act; to be asked directly before each call.
  std::optional<std::uint64_t> mayAct(TimePoint aNow) const;
  /// Until when a call that begins now may be sent.
  TimePoint actUntil() const;
  bool holds() const { return mFence.has_value(); }
  std::uint64_t generation() const { return mGeneration; }

private:
  DutyLeaseOptions mOptions;
  std::uint64_t mGeneration = 0;
  std::optional<std::uint64_t> mFence;
  TimePoint mHeldSince{};
  TimePoint mRenewedAt{};
};

}
