#pragma once

#include "mustardplank/agent/load_messages.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/work_factor.hpp"

#include <array>
#include <cstddef>
#include <initializer_list>
#include <vector>

namespace mustardplank::agent {

/// Keeps what servers have stated about their work factor until it is passed on. Does no I/O; times
/// are of the boot clock.
///
/// Load pattern: hundreds of instances get responses from the same hundred servers, many times a
/// second. Only the newest report of each server is passed on, once to each kind of recipient. A
/// report in a lost datagram is not repeated: the next one of the server makes up for it.
class WorkFactorRelay
{
public:
  enum class Recipient
  {
    OwnAgents,
    OtherAgents,
    Members,
    Dispatcher,
  };

  /// Reports of this age are dropped: what a server states changes within some hundred
  /// milliseconds.
  static constexpr Duration kMaxAge = Seconds(1);

  /// Keeps a report for the recipients unless a newer one of the server is known. An older one that
  /// still waits is dropped for all recipients: who passed the newer one on has told the others.
  void add(dispatch::ServerKey aServer,
           const dispatch::WorkFactorReport& aReport,
           std::initializer_list<Recipient> aRecipients,
           TimePoint aNow);
  bool hasNew(Recipient aRecipient) const { return !waiting(aRecipient).empty(); }
  /// Returns and removes what the recipient has not been told.
  dispatch::WorkFactorReports take(Recipient aRecipient);
  std::vector<AgedWorkFactor> takeAged(Recipient aRecipient, TimePoint aNow);
  /// Removes reports of kMaxAge.
  void expire(TimePoint aNow);

private:
  static constexpr std::size_t kRecipients = 4;

  const dispatch::WorkFactorReports& waiting(Recipient aRecipient) const
  {
    return mWaiting[static_cast<std::size_t>(aRecipient)];
  }

  dispatch::WorkFactorReports mNewest;
  std::array<dispatch::WorkFactorReports, kRecipients> mWaiting;
};

}
