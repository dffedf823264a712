#pragma once

#include <string>
#include <string_view>

namespace mustardplank::gateway {

/// Extracts complete events from a stream of server-sent events that arrives in pieces, so that a
/// caller never receives part of an event whose rest may not arrive. Tracks the most recent event
/// id.
///
///     splitter.append("id: 3\ndata: x\n\nid: 4\nda");
///     splitter.takeEvents();  // "id: 3\ndata: x\n\n"
///     splitter.lastEventId(); // "3"
class EventSplitter
{
public:
  void append(std::string_view aBytes);
  /// Whether the buffer holds a complete event.
  bool hasEvents() const;
  /// Returns and removes all complete events in the buffer.
  std::string takeEvents();
  /// Bytes not taken yet; after takeEvents() these are the start of an incomplete event.
  const std::string& remainder() const { return mBuffer; }
  /// Whether the remainder holds part of an event: a field, or a line without its end. Blank lines
  /// and comments belong to no event (HTML Living Standard, 9.2.6).
  bool isInsideEvent() const;
  /// Returns and removes the remainder.
  std::string takeRemainder();
  /// The most recent id among the events taken; empty when none had an id.
  const std::string& lastEventId() const { return mLastEventId; }
  /// Events taken so far.
  std::size_t eventCount() const { return mEventCount; }

private:
  void updateLastEventId(std::string_view aEvents);

  std::string mBuffer;
  /// No event ends before this offset in mBuffer.
  std::size_t mSearchOffset = 0;
  std::string mLastEventId;
  std::size_t mEventCount = 0;
};

}
