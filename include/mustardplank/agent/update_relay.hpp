#pragma once

#include "mustardplank/base/time.hpp"
#include "mustardplank/control/records.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mustardplank::agent {

/// What an agent holds of the updates that other instances have handed to it, until it has written
/// them to the store. Does no I/O.
///
/// Load pattern: hundreds of instances publish usage each second; the agent writes the latest
/// update of each with one call. An update repeats whatever was not acknowledged before it, so only
/// the latest one of each process is kept.
class UpdateRelay
{
public:
  /// Processes whose updates are kept.
  static constexpr std::size_t kMaxProcesses = 1024;
  /// An update without changes is written when the last one of its process is this old, so that the
  /// others see that the instance is alive.
  static constexpr Duration kIdleInterval = Millis(2000);
  /// A process that has handed over no update for this long is forgotten.
  static constexpr Duration kMemory = Seconds(30);

  /// One process of an instance.
  struct Process
  {
    InstanceId instance;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Process&) const = default;
  };

  /// An update and its encoding.
  void accept(const control::InstanceUpdate& aUpdate, std::string aBytes, TimePoint aNow);
  /// Encoded updates that are to be written now, with their processes and sequence numbers.
  struct Item
  {
    Process process;
    std::uint64_t sequence = 0;
    std::string bytes;
  };
  std::vector<Item> takeDue(TimePoint aNow);
  /// The items are in the store.
  void recordWritten(const std::vector<Item>& aItems, TimePoint aNow);
  /// The store was restored from an older copy: the latest update of each process is written again.
  void forgetWritten();
  /// Another agent has written the update with this sequence number.
  void recordWrittenElsewhere(std::uint64_t aIncarnation, std::uint64_t aSequence, TimePoint aNow);
  /// Updates that are not in the store yet, whether due or not, to hand them to another agent.
  std::vector<Item> unwritten() const;
  /// Highest sequence number of the process that is in the store; 0 if none is known to be.
  std::uint64_t writtenSequence(const Process& aProcess) const;
  /// Instances that have handed over an update within the last seconds.
  std::size_t instanceCount(TimePoint aNow) const;

private:
  struct State
  {
    std::uint64_t sequence = 0;
    std::string bytes;
    bool hasChanges = false;
    std::uint64_t written = 0;
    TimePoint writtenAt{};
    TimePoint acceptedAt{};
  };

  std::map<Process, State> mProcesses;
};

}
