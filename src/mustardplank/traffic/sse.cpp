#include "mustardplank/traffic/sse.hpp"

namespace mustardplank::traffic {

bool
SseParser::keep(std::string_view aPart)
{
  if (mPartialLine.size() + aPart.size() > kMaxEventBytes) {
    mProblem = "an event is longer than " + std::to_string(kMaxEventBytes) + " bytes";
    return false;
  }
  mPartialLine.append(aPart);
  return true;
}

bool
SseParser::takeLine(std::string_view aLine, std::string_view aRest)
{
  if (aLine.front() == ':') {
    return true;
  }
  const std::size_t colon = aLine.find(':');
  const std::string_view name = aLine.substr(0, colon);
  if (name == "event" || name == "id" || name == "retry") {
    return true;
  }
  if (name != "data" || colon == std::string_view::npos) {
    mProblem = "a line is no field of a server-sent event";
    return false;
  }
  std::string_view value = aLine.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (mData.size() + value.size() > kMaxEventBytes) {
    mProblem = "an event is longer than " + std::to_string(kMaxEventBytes) + " bytes";
    return false;
  }
  // Only an event whose end is at hand may be handed on without a copy; the bytes are gone when
  // the rest comes.
  const bool endsHere = !mHasData && (aRest.starts_with('\n') || aRest.starts_with("\r\n"));
  if (endsHere) {
    mDataView = value;
  } else {
    if (mHasData) {
      mData += '\n';
    }
    mData.append(value);
    mDataView = {};
  }
  mHasData = true;
  return true;
}

}
