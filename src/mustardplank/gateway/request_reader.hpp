#pragma once

#include "mustardplank/base/sink_body.hpp"
#include "mustardplank/gateway/body_buffer.hpp"
#include "mustardplank/gateway/types.hpp"
#include "mustardplank/route/model.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace mustardplank::gateway {

/// A caller's request, read whole.
struct CallerRequest
{
  boost::beast::http::request_header<> header;
  std::shared_ptr<const BodyBuffer> body;
  /// What the request holds in memory, about.
  std::size_t heldBytes = 0;
};

/// Reads requests from the bytes of a caller's connection, one at a time. Holds what has arrived
/// and not what a caller declares.
///
///     reader.reset(limits);
///     reader.append(bytes);
///     if (reader.read() == RequestReader::Result::Complete) { reader.take(limits); }
class RequestReader
{
public:
  enum class Result
  {
    NeedMore,
    Complete,
    HeaderTooLarge,
    BodyTooLarge,
    /// No valid request, or a chunk's size line or trailer section without an end.
    Malformed,
  };

  explicit RequestReader(const route::CallerLimits& aLimits);

  /// Forgets the request in progress; bytes after it stay.
  void reset(const route::CallerLimits& aLimits);
  /// Raises the limits for a request of which nothing has arrived.
  void extendLimits(const route::CallerLimits& aLimits);
  void append(std::string_view aBytes);
  /// Goes on with the request in progress, up to its end.
  Result read();
  /// Takes the request that is complete and begins the next one.
  CallerRequest take(const route::CallerLimits& aLimits);
  /// Frees the body and discards what still comes of it.
  void discardBody();
  /// Frees the bytes that are not parsed yet.
  void discardUnparsed();

  /// Whether bytes of the request in progress have been parsed.
  bool hasStarted() const { return mParser->got_some(); }
  bool isHeaderDone() const { return mParser->is_header_done(); }
  bool isDone() const { return mParser->is_done(); }
  /// Valid once the header section is done.
  const Fields& fields() const { return mParser->get().base(); }
  bool keepAlive() const { return mParser->get().keep_alive(); }
  /// Bytes that are not parsed yet.
  std::size_t unparsedBytes() const { return mBuffer.size(); }
  /// Bytes of the body in progress.
  std::size_t bodyBytes() const { return mBody.size(); }
  /// Most bytes that may be unparsed before reading pauses.
  std::size_t maxUnparsedBytes() const;
  /// What the reader holds in memory, about.
  std::size_t heldBytes() const;

private:
  using Parser = boost::beast::http::request_parser<SinkBody>;

  void releaseBuffer();

  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  /// Of mParser.
  route::CallerLimits mLimits;
  BodyBuffer mBody;
  bool mDiscardsBody = false;
  /// What the fields hold in memory, about.
  std::size_t mHeaderBytes = 0;
};

}
