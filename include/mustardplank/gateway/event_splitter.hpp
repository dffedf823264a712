#pragma once

#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Cuts the bytes of an event stream at the ends of events, so that a caller never gets a part of
/// an event that may not be finished, and remembers the id of the last whole one.
///
///     splitter.add("id: 3\ndata: x\n\nid: 4\nda");
///     splitter.take();        // "id: 3\ndata: x\n\n"
///     splitter.lastEventId(); // "3"
class EventSplitter
{
public:
  void add(std::string_view aBytes);
  /// All whole events that have not been taken.
  std::string take();
  /// What follows the last whole event.
  const std::string& rest() const { return mBuffer; }
  std::string takeRest();
  /// Of the last event taken; empty when none had an id.
  const std::string& lastEventId() const { return mLastId; }
  std::size_t events() const { return mEvents; }

private:
  void noteEvents(std::string_view aWhole);

  std::string mBuffer;
  /// Up to where no event ends.
  std::size_t mSearched = 0;
  std::string mLastId;
  std::size_t mEvents = 0;
};

}
