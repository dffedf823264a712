#include "compression.hpp"

#include <zlib.h>

#include <algorithm>

namespace mustardplank::agent {

namespace {

/// Speed matters more than size: an agent compresses while others wait for it.
constexpr int kLevel = 3;
/// Negative: without a header, as older builds of the instances expect.
constexpr int kWindowBits = -15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kMinOutputBytes = 4096;

Bytef*
bytesOf(const char* aData)
{
  // zlib does not write to its input, whose pointer is not const for historical reasons.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aData));
}

}

std::string
compress(std::string_view aBytes)
{
  z_stream stream{};
  if (deflateInit2(&stream, kLevel, Z_DEFLATED, kWindowBits, kMemoryLevel, Z_DEFAULT_STRATEGY) !=
      Z_OK) {
    return {};
  }
  std::string out(deflateBound(&stream, aBytes.size()) + kMinOutputBytes, '\0');
  stream.next_in = bytesOf(aBytes.data());
  stream.avail_in = static_cast<uInt>(aBytes.size());
  stream.next_out = bytesOf(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  const bool complete = deflate(&stream, Z_FINISH) == Z_STREAM_END;
  out.resize(complete ? stream.total_out : 0);
  deflateEnd(&stream);
  return out;
}

std::optional<std::string>
decompress(std::string_view aBytes, std::size_t aMaxSize)
{
  z_stream stream{};
  if (inflateInit2(&stream, kWindowBits) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = bytesOf(aBytes.data());
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string out;
  int result = Z_OK;
  while (result == Z_OK) {
    const auto size = out.size();
    const auto room = std::min(std::max(kMinOutputBytes, size), aMaxSize - size);
    if (room == 0) {
      break;
    }
    out.resize(size + room);
    stream.next_out = bytesOf(out.data()) + size;
    stream.avail_out = static_cast<uInt>(room);
    result = inflate(&stream, Z_NO_FLUSH);
    out.resize(size + room - stream.avail_out);
  }
  inflateEnd(&stream);
  return result == Z_STREAM_END ? std::optional(std::move(out)) : std::nullopt;
}

}
