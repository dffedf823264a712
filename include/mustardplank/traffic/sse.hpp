#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardplank::traffic {

/// Splits a stream of server-sent events into the data of each event. An event that came in one
/// piece is not copied.
///
///     SseParser parser;
///     bool ok = parser.feed(bytes, [&](std::string_view aData) { return handle(aData); });
class SseParser
{
public:
  /// A longer event is malformed.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  /// aOnData takes the data of one event and returns whether to go on. Returns false when it said
  /// no or an event is malformed (see problem()).
  template<typename OnData>
  bool feed(std::string_view aBytes, OnData&& aOnData)
  {
    while (!aBytes.empty()) {
      const std::size_t end = aBytes.find('\n');
      if (end == std::string_view::npos) {
        return keep(aBytes);
      }
      std::string_view line = aBytes.substr(0, end);
      aBytes.remove_prefix(end + 1);
      if (!mPartialLine.empty()) {
        if (!keep(line)) {
          return false;
        }
        mCompletedLine.swap(mPartialLine);
        mPartialLine.clear();
        line = mCompletedLine;
      }
      if (line.ends_with('\r')) {
        line.remove_suffix(1);
      }
      if (!line.empty()) {
        if (!takeLine(line, aBytes)) {
          return false;
        }
        continue;
      }
      if (!mHasData) {
        continue;
      }
      mHasData = false;
      const std::string_view data = mData.empty() ? mDataView : std::string_view(mData);
      const bool goOn = aOnData(data);
      mData.clear();
      if (!goOn) {
        return false;
      }
    }
    return true;
  }

  /// Whether the stream is between two events.
  bool betweenEvents() const { return !mHasData && mPartialLine.empty(); }
  /// What was wrong; empty when aOnData stopped the parser.
  const std::string& problem() const { return mProblem; }

private:
  bool keep(std::string_view aPart);
  /// aRest is what follows the line; when the event does not end there, its data are copied.
  bool takeLine(std::string_view aLine, std::string_view aRest);

  std::string mPartialLine;
  std::string mCompletedLine;
  std::string mData;
  std::string_view mDataView;
  bool mHasData = false;
  std::string mProblem;
};

}
