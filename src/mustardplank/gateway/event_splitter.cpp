#include "mustardplank/gateway/event_splitter.hpp"

#include <algorithm>
#include <utility>

namespace mustardplank::gateway {

namespace {

/// Offset just after the first blank line that ends an event, searching from aFrom.
std::size_t
findEventEnd(std::string_view aText, std::size_t aFrom)
{
  for (auto at = aText.find('\n', aFrom); at != std::string_view::npos;
       at = aText.find('\n', at + 1)) {
    const auto next = at + 1;
    if (next < aText.size() && aText[next] == '\n') {
      return next + 1;
    }
    if (next + 1 < aText.size() && aText[next] == '\r' && aText[next + 1] == '\n') {
      return next + 2;
    }
  }
  return std::string_view::npos;
}

std::string_view
trim(std::string_view aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == '\r' || aText.back() == ' ')) {
    aText.remove_suffix(1);
  }
  return aText;
}

}

void
EventSplitter::append(std::string_view aBytes)
{
  mBuffer.append(aBytes);
}

bool
EventSplitter::hasEvents() const
{
  return findEventEnd(mBuffer, mSearchOffset) != std::string::npos;
}

std::string
EventSplitter::takeEvents()
{
  std::size_t end = 0;
  for (auto next = findEventEnd(mBuffer, mSearchOffset); next != std::string::npos;
       next = findEventEnd(mBuffer, next)) {
    end = next;
    ++mEventCount;
  }
  std::string events = mBuffer.substr(0, end);
  mBuffer.erase(0, end);
  // An event end may arrive in part; searching again from the last three characters finds it.
  mSearchOffset = mBuffer.size() > 3 ? mBuffer.size() - 3 : 0;
  updateLastEventId(events);
  return events;
}

bool
EventSplitter::isInsideEvent() const
{
  bool inside = false;
  for (std::string_view rest = mBuffer; !rest.empty();) {
    const auto end = rest.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      return true;
    }
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end + (rest.substr(end).starts_with("\r\n") ? 2 : 1));
    inside = !line.empty() && (inside || line.front() != ':');
  }
  return inside;
}

std::string
EventSplitter::takeRemainder()
{
  mSearchOffset = 0;
  return std::exchange(mBuffer, {});
}

void
EventSplitter::updateLastEventId(std::string_view aEvents)
{
  while (!aEvents.empty()) {
    const auto line = aEvents.substr(0, aEvents.find('\n'));
    if (line.starts_with("id:")) {
      mLastEventId = trim(line.substr(3));
    }
    aEvents.remove_prefix(std::min(aEvents.size(), line.size() + 1));
  }
}

}
