#pragma once

#include "mustardplank/pool/messages.hpp"

#include <map>
#include <optional>

namespace mustardplank::pool {

/// What the owners of the pool in other failure domains have room for.
class Spill
{
public:
  void heard(const OwnerLoad& aLoad, TimePoint aNow);
  /// The failure domain with the most room, which is then counted as used.
  std::optional<FailureDomainId> take(TimePoint aNow);
  /// Any failure domain whose owner lives, for work that must leave this one.
  std::optional<FailureDomainId> takeAny(TimePoint aNow);

private:
  struct Other
  {
    OwnerLoad load;
    TimePoint heard;
    /// When it came (back).
    TimePoint since;
    /// Spilled since its last report.
    std::uint32_t sent = 0;
  };
  double room(const Other& aOther, TimePoint aNow) const;

  std::map<FailureDomainId, Other> mOthers;
};

}
