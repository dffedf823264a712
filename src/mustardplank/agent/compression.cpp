#include "compression.hpp"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace mustardplank::agent {

namespace zlib = boost::beast::zlib;

namespace {

/// Speed matters more than size: an agent compresses while others wait for it.
constexpr int kLevel = 3;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kMinOutputBytes = 4096;

}

std::string
compress(std::string_view aBytes)
{
  zlib::deflate_stream stream;
  stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string out(stream.upper_bound(aBytes.size()) + kMinOutputBytes, '\0');
  zlib::z_params params;
  params.next_in = aBytes.data();
  params.avail_in = aBytes.size();
  params.next_out = out.data();
  params.avail_out = out.size();
  boost::system::error_code ec;
  stream.write(params, zlib::Flush::finish, ec);
  out.resize(params.total_out);
  return out;
}

std::optional<std::string>
decompress(std::string_view aBytes, std::size_t aMaxSize)
{
  zlib::inflate_stream stream;
  std::string out;
  zlib::z_params params;
  params.next_in = aBytes.data();
  params.avail_in = aBytes.size();
  for (;;) {
    const auto size = out.size();
    const auto room = std::min(std::max(kMinOutputBytes, size), aMaxSize - size);
    if (room == 0) {
      return std::nullopt;
    }
    out.resize(size + room);
    params.next_out = out.data() + size;
    params.avail_out = room;
    boost::system::error_code ec;
    stream.write(params, zlib::Flush::sync, ec);
    out.resize(size + room - params.avail_out);
    if (ec == zlib::error::end_of_stream) {
      return out;
    }
    // Without progress the input is truncated.
    if ((ec && ec != zlib::error::need_buffers) || out.size() == size) {
      return std::nullopt;
    }
  }
}

}
