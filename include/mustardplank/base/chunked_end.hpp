#pragma once

#include <cstddef>

namespace mustardplank {

/// The shortest end of a chunked body, "0\r\n\r\n". With fewer bytes of it Beast 1.81 ends the
/// process by an assertion, if it has seen the first line of that end before.
inline constexpr std::size_t kMinChunkedEndBytes = 5;

/// Whether the unread bytes may be a part of a chunked body's end, which must not be given to the
/// parser before the rest has arrived. aBuffer is not empty.
template<typename Parser, typename FlatBuffer>
bool
mayBePartOfChunkedEnd(const Parser& aParser, const FlatBuffer& aBuffer)
{
  if (!aParser.is_header_done() || !aParser.chunked() || aBuffer.size() >= kMinChunkedEndBytes) {
    return false;
  }
  const char first = *static_cast<const char*>(aBuffer.data().data());
  return first == '0' || first == '\r' || first == '\n';
}

}
