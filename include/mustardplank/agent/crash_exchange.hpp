#pragma once

#include "mustardplank/agent/datagram.hpp"
#include "mustardplank/base/findings.hpp"
#include "mustardplank/base/time.hpp"
#include "mustardplank/dispatch/crash_note.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace mustardplank::agent {

/// Whether a datagram holds crash notes; others are about load.
bool
isCrashNotes(const std::string& aBytes);

/// Encodes as CBOR.
std::string
encodeCrashNotes(const std::vector<dispatch::CrashNote>& aNotes);

/// Returns nothing for a malformed message and adds the reasons to aFindings.
std::optional<std::vector<dispatch::CrashNote>>
decodeCrashNotes(const std::string& aBytes, Findings& aFindings);

/// Sends crash notes to the neighbours of this instance: its agents, and if it is an agent the
/// other agents and the instances of its failure domain. Agents pass on what is new to them; what
/// comes from an agent goes to the instances of the failure domain only. So a note reaches all
/// instances in three hops and never returns, also when it was forgotten meanwhile. Does no I/O;
/// times are of the boot clock.
///
/// Load pattern: a prompt part crashes a server or more each second, at requests to any instance.
/// The store takes seconds to carry a report to all instances; datagrams between agents take some
/// hundredths. As datagrams are lost, each note is sent several times.
///
/// Load pattern: sound servers reset hundreds of connections a second. An agent sends every note to
/// a whole failure domain, so the bytes to each neighbour are limited: the more urgent notes go
/// first, repetitions are left out, and a loss that has waited for too long is dropped.
class CrashExchange
{
public:
  /// Times that a note is sent, and the pause before each; the first one collects notes.
  static constexpr Duration kSendPauses[] = { Millis(10), Millis(100), Millis(400) };
  /// The first pause of answers, which are less urgent and more frequent.
  static constexpr Duration kAnswerPause = Millis(60);
  /// Pause between two datagrams to a neighbour, in which notes are collected.
  static constexpr Duration kSendInterval = Millis(25);
  /// Limit on what each neighbour is sent, and on what may be saved up of it.
  static constexpr std::size_t kBytesPerSecond = 2048;
  static constexpr std::size_t kBurstBytes = 4096;
  /// A note that could not be sent within this time is dropped.
  static constexpr Duration kMaxWait = Seconds(1);
  /// Further notes are dropped, the least urgent ones first.
  static constexpr std::size_t kMaxPending = 512;
  /// Notes in one datagram, so that it stays below the size that networks carry whole.
  static constexpr std::size_t kMaxNoteBytes = 1100;

  /// Who gets a note.
  enum class Audience
  {
    Neighbours,
    /// The neighbours that are no agents.
    Members,
  };

  void send(dispatch::CrashNote aNote, Audience aAudience, TimePoint aNow);
  /// Datagrams that are to be sent now.
  std::vector<Datagram> takeDue(const Neighbours& aNeighbours, TimePoint aNow);
  /// When takeDue() has something next.
  std::optional<TimePoint> nextAt() const;
  /// Notes that were never sent since the last call, as there were too many.
  std::size_t takeDropped();

private:
  struct Pending
  {
    dispatch::CrashNote note;
    Audience audience = Audience::Neighbours;
    std::size_t sent = 0;
    TimePoint due{};
    TimePoint addedAt{};
    /// Encoded.
    std::size_t bytes = 0;
  };

  static bool isMoreUrgent(const Pending& aLeft, const Pending& aRight);
  void refill(TimePoint aNow);

  /// Marks the notes that are due and within the limit as sent, and drops those that have waited
  /// for too long.
  std::vector<const Pending*> selectDue(TimePoint aNow);
  /// Messages with the selected notes for this audience, one for each datagram.
  static std::vector<std::string> encodeSelected(const std::vector<const Pending*>& aSelected,
                                                 Audience aAudience);

  std::vector<Pending> mPending;
  TimePoint mNextSendAt{};
  TimePoint mRefilledAt{};
  /// Bytes that each neighbour may be sent now.
  double mBytesLeft = kBurstBytes;
  std::size_t mDropped = 0;
};

}
