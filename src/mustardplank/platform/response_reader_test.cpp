#include "response_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstring>
#include <random>
#include <string>

using namespace mustardplank;
using namespace mustardplank::platform;

namespace {

constexpr std::size_t kMaxBodyBytes = 1000;

/// Gives the bytes to the reader in pieces of up to aPiece bytes, until it wants no more.
void
feed(ResponseReader& aReader, const std::string& aBytes, std::size_t aPiece)
{
  for (std::size_t i = 0; i < aBytes.size() && !aReader.isDone() && !aReader.failure();) {
    const auto room = aReader.prepare();
    const auto n = std::min({ aPiece, room.size(), aBytes.size() - i });
    std::memcpy(room.data(), aBytes.data() + i, n);
    aReader.receive(n);
    i += n;
  }
}

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

}

BOOST_AUTO_TEST_SUITE(response_reader)

// Guards against responses that are read differently, or end the process, depending on where the
// network divides them: Beast 1.81 fails on the end of a chunked body in small pieces.
BOOST_AUTO_TEST_CASE(pieces_of_any_size_give_the_same_response)
{
  const std::string kTexts[] = {
    kChunkedHead + "3\r\nabc\r\n3;x=y\r\ndef\r\n0\r\n\r\n",
    kChunkedHead + "3\r\nabc\r\n3\r\ndef\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef",
  };
  for (const auto& text : kTexts) {
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
      ResponseReader reader(kMaxBodyBytes);
      feed(reader, text, piece);
      BOOST_TEST_CONTEXT(text << " in pieces of " << piece)
      {
        BOOST_REQUIRE(reader.isDone());
        BOOST_TEST(reader.isReusable());
        const auto response = reader.take();
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == "abcdef");
        BOOST_TEST(response.fields.size() == 1U);
      }
    }
  }
}

// Guards against a response without a length whose end is taken for a failure, and against one that
// was cut off and counts as whole.
BOOST_AUTO_TEST_CASE(end_of_the_connection_ends_a_body_without_framing_only)
{
  ResponseReader open(kMaxBodyBytes);
  feed(open, "HTTP/1.1 200 OK\r\n\r\nabc", 100);
  open.receiveEnd();
  BOOST_TEST(open.isDone());
  BOOST_TEST(!open.isReusable());
  BOOST_TEST(open.take().body == "abc");
  const std::string kCut[] = { std::string(),
                               std::string("HTTP/1.1 200"),
                               std::string("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc"),
                               kChunkedHead + "3\r\nabc\r\n",
                               kChunkedHead + "3\r\nabc\r\n0\r\n" };
  for (const auto& text : kCut) {
    ResponseReader reader(kMaxBodyBytes);
    feed(reader, text, 100);
    reader.receiveEnd();
    BOOST_TEST(!reader.isDone(), text);
    BOOST_TEST((reader.failure() == ReadFailure::Cut), text);
  }
}

// Guards against a part of a response without a limit, and against limits that cannot be told apart
// in the log.
BOOST_AUTO_TEST_CASE(each_part_has_a_limit)
{
  const std::string filler(1'000'000, 'x');
  std::string chunks;
  for (int i = 0; i < 100'000; ++i) {
    chunks += "1;" + std::string(200, 'e') + "\r\nx\r\n";
  }
  const std::pair<std::string, ReadFailure> kForms[] = {
    { "HTTP/1.1 200 " + filler, ReadFailure::HeadTooLong },
    { "HTTP/1.1 200 OK\r\nX-Long: " + filler, ReadFailure::HeadTooLong },
    { "HTTP/1.1 200 OK\r\n\r\n" + filler, ReadFailure::BodyTooLong },
    { "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n", ReadFailure::BodyTooLong },
    { kChunkedHead + "1;" + filler, ReadFailure::ElementTooLong },
    { kChunkedHead + "3e9\r\n", ReadFailure::BodyTooLong },
    { kChunkedHead + "1\r\nx\r\n0\r\nX-Trailer: " + filler, ReadFailure::ElementTooLong },
    { kChunkedHead + chunks, ReadFailure::FramingTooLong },
    { filler, ReadFailure::Malformed },
  };
  for (const auto& [text, expected] : kForms) {
    for (const std::size_t piece : { 1000UL, 100'000UL }) {
      ResponseReader reader(kMaxBodyBytes);
      feed(reader, text, piece);
      BOOST_TEST_CONTEXT(text.substr(0, 60) << " in pieces of " << piece)
      {
        BOOST_REQUIRE(reader.failure().has_value());
        BOOST_TEST(kReadFailureNames.name(*reader.failure()) == kReadFailureNames.name(expected));
        BOOST_TEST(reader.heldBytes() < 128UL * 1024);
      }
    }
  }
}

// Guards against crashes and unbounded memory on responses that were damaged in any way.
BOOST_AUTO_TEST_CASE(damaged_responses_end_in_bounded_memory)
{
  const std::string kTexts[] = {
    kChunkedHead + "3\r\nabc\r\n10;x\r\n0123456789abcdef\r\n0\r\nX-Trailer: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nStore-Era: 4\r\nContent-Length: 6\r\n\r\nabcdef",
  };
  for (unsigned seed = 1; seed <= 20'000; ++seed) {
    std::minstd_rand random(seed);
    auto text = kTexts[random() % 2];
    for (auto n = random() % 6; n > 0; --n) {
      const auto at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random() >> 8);
          break;
        case 1:
          text.insert(at, text.substr(random() % text.size(), random() % 40));
          break;
        case 2:
          text.erase(at, 1 + random() % 20);
          break;
        default:
          text.insert(at, "\r\n");
      }
      text += "x";
    }
    ResponseReader reader(kMaxBodyBytes);
    feed(reader, text, 1 + random() % 30);
    reader.receiveEnd();
    BOOST_REQUIRE_MESSAGE(reader.isDone() != reader.failure().has_value(), "seed " << seed);
    BOOST_REQUIRE_MESSAGE(reader.heldBytes() < 128UL * 1024, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
