#include "request_reader.hpp"

#include <boost/test/unit_test.hpp>

using namespace mustardplank;
using namespace mustardplank::gateway;

namespace {

using Result = RequestReader::Result;

const std::string kHead = "POST /a HTTP/1.1\r\nHost: h\r\n";

route::CallerLimits
limits()
{
  route::CallerLimits out;
  out.headerBytes = 1024;
  out.bodyBytes = 4'000'000;
  return out;
}

}

// Guards against memory that a declared length takes before any byte of the body arrives.
BOOST_AUTO_TEST_CASE(request_reader_holds_nothing_of_a_declared_length)
{
  RequestReader reader(limits());
  reader.append(kHead + "Content-Length: 4000000\r\n\r\nx");
  BOOST_TEST((reader.read() == Result::NeedMore));
  BOOST_TEST(reader.heldBytes() < 4096U);
}

// Guards against a body that takes several times its size.
BOOST_AUTO_TEST_CASE(request_reader_holds_about_the_size_of_a_body)
{
  RequestReader reader(limits());
  reader.append(kHead + "Content-Length: 4000000\r\n\r\n");
  const std::string piece(10'000, 'x');
  for (int i = 0; i < 399; ++i) {
    reader.append(piece);
    BOOST_TEST((reader.read() == Result::NeedMore));
  }
  BOOST_TEST(reader.bodyBytes() == 3'990'000U);
  BOOST_TEST(reader.heldBytes() < 4'200'000U);
  reader.append(piece);
  BOOST_TEST((reader.read() == Result::Complete));
  const auto request = reader.take(limits());
  BOOST_TEST(request.body->size() == 4'000'000U);
  BOOST_TEST(request.heldBytes >= 4'000'000U);
  BOOST_TEST(reader.heldBytes() < 4096U);
}

// Guards against a size line of a chunk that never ends and stops the reading without a response.
BOOST_AUTO_TEST_CASE(request_reader_refuses_an_endless_chunk_extension)
{
  RequestReader reader(limits());
  reader.append(kHead + "Transfer-Encoding: chunked\r\n\r\n1;a=");
  auto result = reader.read();
  for (int i = 0; i < 100 && result == Result::NeedMore; ++i) {
    reader.append(std::string(1000, 'x'));
    result = reader.read();
  }
  BOOST_TEST((result == Result::Malformed));
}

// Guards against an empty chunked body that ends the process when its end arrives byte by byte.
BOOST_AUTO_TEST_CASE(request_reader_reads_a_chunked_body_byte_by_byte)
{
  for (const std::string body : { "0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n" }) {
    RequestReader reader(limits());
    const auto text = kHead + "Transfer-Encoding: chunked\r\n\r\n" + body;
    for (std::size_t i = 0; i < text.size(); ++i) {
      reader.append(text.substr(i, 1));
      BOOST_TEST((reader.read() == Result::Complete) == (i + 1 == text.size()));
    }
    BOOST_TEST(reader.take(limits()).body->size() == (body.size() > 5 ? 1U : 0U));
  }
}

// Guards against a rejected body that is held until its connection ends.
BOOST_AUTO_TEST_CASE(request_reader_frees_a_body_that_is_discarded)
{
  RequestReader reader(limits());
  reader.append(kHead + "Content-Length: 200000\r\n\r\n" + std::string(100'000, 'x'));
  BOOST_TEST((reader.read() == Result::NeedMore));
  reader.discardBody();
  reader.append(std::string(50'000, 'x'));
  BOOST_TEST((reader.read() == Result::NeedMore));
  BOOST_TEST(reader.bodyBytes() == 0U);
  BOOST_TEST(reader.heldBytes() < 4096U);
}

// Guards against limits of an older configuration that refuse a request within the newer ones.
BOOST_AUTO_TEST_CASE(request_reader_applies_raised_limits_to_the_next_request)
{
  auto low = limits();
  low.bodyBytes = 10;
  RequestReader reader(low);
  reader.extendLimits(limits());
  reader.append(kHead + "Content-Length: 20\r\n\r\n" + std::string(20, 'x'));
  BOOST_TEST((reader.read() == Result::Complete));
  reader.take(low);
  reader.append(kHead + "Content-Length: 20\r\n\r\n");
  BOOST_TEST((reader.read() == Result::BodyTooLarge));
}
