#include "response_reader.hpp"

#include "mustardplank/base/chunked_end.hpp"

#include <boost/beast/http/error.hpp>

#include <utility>

namespace mustardplank::platform {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A response for which a process waits long, as hundreds of followers do, holds little until it
/// begins.
constexpr std::size_t kFirstReadBytes = 512;
constexpr std::size_t kReadBytes = 16UL * 1024;

}

bool
isLimit(ReadFailure aFailure)
{
  return aFailure != ReadFailure::Malformed && aFailure != ReadFailure::Cut;
}

ResponseReader::ResponseReader(std::size_t aMaxBodyBytes)
  : mMaxBodyBytes(aMaxBodyBytes)
{
  // Trailers would be taken for fields of the head if they were parsed with it.
  mParser.eager(false);
  mParser.header_limit(kMaxHeadBytes);
  mParser.body_limit(aMaxBodyBytes);
  mParser.get().body() = [this](std::string_view aBytes) {
    mResponse.body.append(aBytes);
    return true;
  };
}

boost::asio::mutable_buffer
ResponseReader::prepare()
{
  return mBuffer.prepare(mReceivedBytes == 0 ? kFirstReadBytes : kReadBytes);
}

void
ResponseReader::receive(std::size_t aBytes)
{
  mBuffer.commit(aBytes);
  mReceivedBytes += aBytes;
  while (!mFailure && !mParser.is_done() && mBuffer.size() > 0 &&
         !mayBePartOfChunkedEnd(mParser, mBuffer)) {
    beast::error_code ec;
    mBuffer.consume(mParser.put(mBuffer.data(), ec));
    if (ec == http::error::need_more) {
      break;
    }
    if (ec) {
      fail(ec);
      return;
    }
    noteHead();
  }
  if (mFailure || mParser.is_done()) {
    return;
  }
  if (mBuffer.size() > kMaxElementBytes) {
    mFailure = mHeadNoted ? ReadFailure::ElementTooLong : ReadFailure::HeadTooLong;
  } else if (mReceivedBytes > 2 * mMaxBodyBytes + kMaxFramingBytes) {
    mFailure = ReadFailure::FramingTooLong;
  }
}

void
ResponseReader::receiveEnd()
{
  if (isDone() || mFailure) {
    return;
  }
  beast::error_code ec;
  if (mHeadNoted && mBuffer.size() == 0) {
    mParser.put_eof(ec);
  }
  if (ec || !mParser.is_done()) {
    mFailure = ReadFailure::Cut;
  }
}

void
ResponseReader::fail(beast::error_code aError)
{
  if (aError == http::error::header_limit) {
    mFailure = mHeadNoted ? ReadFailure::ElementTooLong : ReadFailure::HeadTooLong;
  } else if (aError == http::error::body_limit) {
    mFailure = ReadFailure::BodyTooLong;
  } else {
    mFailure = ReadFailure::Malformed;
  }
}

void
ResponseReader::noteHead()
{
  if (mHeadNoted || !mParser.is_header_done()) {
    return;
  }
  mHeadNoted = true;
  mParser.eager(true);
  mResponse.status = mParser.get().result_int();
  for (const auto& it : mParser.get().base()) {
    mResponse.fields.emplace_back(it.name_string(), it.value());
  }
}

std::size_t
ResponseReader::heldBytes() const
{
  return mBuffer.capacity() + mResponse.body.capacity();
}

bool
ResponseReader::isReusable() const
{
  return isDone() && mParser.keep_alive() && mBuffer.size() == 0;
}

HttpResponse
ResponseReader::take()
{
  return std::move(mResponse);
}

}
