#pragma once

#include "mustardplank/base/name_table.hpp"
#include "mustardplank/base/sink_body.hpp"
#include "mustardplank/platform/http_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <optional>
#include <string>

namespace mustardplank::platform {

/// Why a response is not read to its end.
enum class ReadFailure
{
  Malformed,
  /// The connection ended before the response.
  Cut,
  HeadTooLong,
  BodyTooLong,
  /// A chunk's size line, or the trailer section.
  ElementTooLong,
  /// The framing of the chunks takes more than the body may.
  FramingTooLong,
};

inline constexpr NameTable<ReadFailure, 6> kReadFailureNames{ { {
  { ReadFailure::Malformed, "malformed" },
  { ReadFailure::Cut, "cut" },
  { ReadFailure::HeadTooLong, "head_too_long" },
  { ReadFailure::BodyTooLong, "body_too_long" },
  { ReadFailure::ElementTooLong, "element_too_long" },
  { ReadFailure::FramingTooLong, "framing_too_long" },
} } };

/// Whether the response takes more than it may, in one form or another.
bool
isLimit(ReadFailure aFailure);

/// Parses one response with limits on each of its parts. Does no I/O.
///
///     while (!reader.isDone() && !reader.failure()) {
///       reader.receive(read(socket, reader.prepare()));
///     }
class ResponseReader
{
public:
  static constexpr std::size_t kMaxHeadBytes = 8UL * 1024;
  /// Bytes that the parser may leave unread until the rest of an element arrives.
  static constexpr std::size_t kMaxElementBytes = 16UL * 1024;
  /// Framing beyond as many bytes as the body may have.
  static constexpr std::size_t kMaxFramingBytes = 64UL * 1024;

  explicit ResponseReader(std::size_t aMaxBodyBytes);
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Room for the next bytes.
  boost::asio::mutable_buffer prepare();
  /// The first aBytes of prepare() have arrived.
  void receive(std::size_t aBytes);
  /// The connection has ended.
  void receiveEnd();

  bool isDone() const { return mParser.is_done() && !mFailure; }
  const std::optional<ReadFailure>& failure() const { return mFailure; }
  /// Bytes that the response takes in memory.
  std::size_t heldBytes() const;
  /// Whether the connection can carry another request: it stays open, and nothing follows.
  bool isReusable() const;
  HttpResponse take();

private:
  void fail(boost::beast::error_code aError);
  void noteHead();

  std::size_t mMaxBodyBytes;
  std::size_t mReceivedBytes = 0;
  boost::beast::flat_buffer mBuffer;
  boost::beast::http::response_parser<SinkBody> mParser;
  HttpResponse mResponse;
  bool mHeadNoted = false;
  std::optional<ReadFailure> mFailure;
};

}
