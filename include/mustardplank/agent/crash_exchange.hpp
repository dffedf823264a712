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
class CrashExchange
{
public:
  /// Times that a note is sent, and the pause before each; the first one collects notes.
  static constexpr Duration kSendPauses[] = { Millis(10), Millis(100), Millis(400) };
  /// The first pause of answers, which are less urgent and more frequent.
  static constexpr Duration kAnswerPause = Millis(60);
  /// Further notes are dropped.
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

private:
  struct Pending
  {
    dispatch::CrashNote note;
    Audience audience = Audience::Neighbours;
    std::size_t sent = 0;
    TimePoint due{};
  };

  /// The notes that are due now for this audience, in batches for one datagram each.
  std::vector<std::string> encodeDue(Audience aAudience, TimePoint aNow);

  std::vector<Pending> mPending;
};

}
