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
  void append(std::string_view aBytes);
  /// All whole events that have not been taken.
  std::string takeEvents();
  /// What follows the last whole event.
  const std::string& remainder() const { return mBuffer; }
  std::string takeRemainder();
  /// Of the last event taken; empty when none had an id.
  const std::string& lastEventId() const { return mLastEventId; }
  std::size_t eventCount() const { return mEventCount; }

private:
  void updateLastEventId(std::string_view aEvents);

  std::string mBuffer;
  /// Up to where no event ends.
  std::size_t mSearchOffset = 0;
  std::string mLastEventId;
  std::size_t mEventCount = 0;
};

}
