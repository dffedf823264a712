#include "request_reader.hpp"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace mustardplank::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Unparsed bytes at which reading from the caller is paused, unless a header section may be
/// longer. Also the limit on a chunk's size line and on a trailer section.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
/// A larger buffer is freed once it is empty.
constexpr std::size_t kMaxKeptCapacity = 4UL * 1024;
/// The shortest end of a chunked body, "0\r\n\r\n". With fewer bytes Beast 1.81 ends the process by
/// an assertion, if it has seen the first line of that end before.
constexpr std::size_t kMinChunkedBytes = 5;
/// The fields of the parser, their parsed form and those sent to a server.
constexpr std::size_t kHeaderCopies = 3;
/// Of each field in Beast's container, besides its text.
constexpr std::size_t kFieldOverhead = 96;

std::size_t
bytesOfFields(const Fields& aFields)
{
  std::size_t n = 0;
  for (const auto& it : aFields) {
    n += kFieldOverhead + it.name_string().size() + it.value().size();
  }
  return kHeaderCopies * n;
}

}

RequestReader::RequestReader(const route::CallerLimits& aLimits)
{
  reset(aLimits);
}

void
RequestReader::reset(const route::CallerLimits& aLimits)
{
  mParser.emplace();
  mParser->eager(true);
  mLimits = aLimits;
  mParser->header_limit(mLimits.headerBytes);
  mParser->body_limit(mLimits.bodyBytes);
  mParser->get().body() = [this](std::string_view aBytes) {
    if (!mDiscardsBody) {
      mBody.append(aBytes);
    }
    return true;
  };
  mBody.clear();
  mDiscardsBody = false;
  mHeaderBytes = 0;
}

void
RequestReader::extendLimits(const route::CallerLimits& aLimits)
{
  if (hasStarted()) {
    return;
  }
  mLimits.headerBytes = std::max(mLimits.headerBytes, aLimits.headerBytes);
  mLimits.bodyBytes = std::max(mLimits.bodyBytes, aLimits.bodyBytes);
  mParser->header_limit(mLimits.headerBytes);
  mParser->body_limit(mLimits.bodyBytes);
}

void
RequestReader::append(std::string_view aBytes)
{
  mBuffer.commit(asio::buffer_copy(mBuffer.prepare(aBytes.size()), asio::buffer(aBytes)));
}

RequestReader::Result
RequestReader::read()
{
  while (mBuffer.size() > 0 && !mParser->is_done()) {
    if (mParser->is_header_done() && mParser->chunked() && mBuffer.size() < kMinChunkedBytes) {
      return Result::NeedMore;
    }
    BoostErrorCode ec;
    const bool inHeader = !mParser->is_header_done();
    mBuffer.consume(mParser->put(mBuffer.data(), ec));
    if (inHeader && mParser->is_header_done()) {
      mHeaderBytes = bytesOfFields(fields());
    }
    if (ec == http::error::need_more) {
      return mBuffer.size() >= maxUnparsedBytes() ? Result::Malformed : Result::NeedMore;
    }
    if (ec == http::error::header_limit) {
      return Result::HeaderTooLarge;
    }
    if (ec == http::error::body_limit) {
      return Result::BodyTooLarge;
    }
    if (ec) {
      return Result::Malformed;
    }
  }
  releaseBuffer();
  return mParser->is_done() ? Result::Complete : Result::NeedMore;
}

CallerRequest
RequestReader::take(const route::CallerLimits& aLimits)
{
  CallerRequest request;
  // With the fields of a trailer section.
  request.heldBytes = bytesOfFields(fields()) + mBody.capacity();
  request.header = std::move(mParser->get().base());
  request.body = std::make_shared<const BodyBuffer>(std::exchange(mBody, {}));
  reset(aLimits);
  return request;
}

void
RequestReader::discardBody()
{
  mBody.clear();
  mDiscardsBody = true;
}

void
RequestReader::discardUnparsed()
{
  mBuffer.clear();
  releaseBuffer();
}

void
RequestReader::releaseBuffer()
{
  if (mBuffer.size() == 0 && mBuffer.capacity() > kMaxKeptCapacity) {
    mBuffer.shrink_to_fit();
  }
}

std::size_t
RequestReader::maxUnparsedBytes() const
{
  return std::max<std::size_t>(kMaxUnparsedBytes, std::size_t{ mLimits.headerBytes } + 1);
}

std::size_t
RequestReader::heldBytes() const
{
  return mBuffer.capacity() + mHeaderBytes + mBody.capacity();
}

}
