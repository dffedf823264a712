#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/store.hpp"

#include <map>
#include <optional>
#include <set>

namespace mustardplank::control {

/// Failure domains that operators have taken out of service. Does no I/O.
///
/// A store that is restored from an older copy may lack the latest statements until the operators
/// have written them again: a domain that is back according to such a copy is held back for
/// kRestoreGrace.
class EvacuatedDomains
{
public:
  static constexpr Duration kRestoreGrace = Millis(4000);

  /// Applies a statement of the store; returns whether domains() has changed.
  bool apply(const DomainStatus& aStatus, RecordSource aSource, TimePoint aNow);
  /// The store was restored from an older copy, which may lack the same statements as the one
  /// before.
  void noteRestored(TimePoint aNow);
  /// Applies what was held back; returns whether domains() has changed.
  bool tick(TimePoint aNow);

  const std::set<FailureDomainId>& domains() const { return mDomains; }

private:
  std::set<FailureDomainId> mDomains;
  /// Domains that are back according to a restored copy.
  std::set<FailureDomainId> mHeldBack;
  std::optional<TimePoint> mRestoredUntil;
};

}
