#include "chat_chunk.hpp"
#include "chat_request.hpp"

#include "mustardplank/traffic/sse.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace mustardplank;
using namespace mustardplank::traffic;

namespace {

std::string
chunk(const std::string& aContent, const std::string& aId = "r1")
{
  return R"({"id":")" + aId + R"(","choices":[{"index":0,"delta":{"content":")" + aContent +
         R"("},"finish_reason":null}]})";
}

}

BOOST_AUTO_TEST_SUITE(chunk_reader)

// Guards against a chunk of a server that is nested deeper than the stack is large and ends the
// process when it is compared.
BOOST_AUTO_TEST_CASE(deeplyNestedChunkIsRejected)
{
  constexpr std::size_t kLevels = 1000000;
  const auto nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  auto payload = chunk("a");
  payload.insert(1, "\"other\":" + nested + ",");
  ChatChunkReader reader("r1");
  BOOST_TEST(!reader.read(payload).problem.empty());
  BOOST_TEST(reader.read(chunk("a")).problem.empty());
}

// Guards against the comparison with earlier chunks accepting what a full parse would not.
BOOST_AUTO_TEST_CASE(checksChunksAfterTheFirst)
{
  ChatChunkReader reader("r1");
  BOOST_TEST(reader.read(chunk("a")).problem.empty());
  BOOST_TEST(reader.read(chunk("b ")).escapedText == "b ");
  BOOST_TEST(reader.read(chunk(R"(\"\n\u00e9)")).escapedText == R"(\"\n\u00e9)");
  BOOST_TEST(reader.read(chunk("\xc3\xa9")).escapedText == "\xc3\xa9");
  BOOST_TEST(!reader.read(chunk("\xff")).problem.empty());
  BOOST_TEST(!reader.read(chunk("\x01")).problem.empty());
  BOOST_TEST(!reader.read(chunk(R"(\q)")).problem.empty());
  BOOST_TEST(!reader.read(chunk(R"(x\)")).problem.empty());
  BOOST_TEST(!reader.read(chunk("a", "r2")).problem.empty());
  BOOST_TEST(!reader.read(chunk("a") + "x").problem.empty());
  BOOST_TEST(!reader.read("{}").problem.empty());
  // A quote ends the text: what follows is another field, not text.
  const auto tricky = reader.read(chunk(R"(a","role":"b)"));
  BOOST_TEST(tricky.problem.empty());
  BOOST_TEST(tricky.escapedText == "a");
}

// Guards against text at another place of the chunk being taken for the delta's.
BOOST_AUTO_TEST_CASE(learnsOnlyTheDelta)
{
  ChatChunkReader reader("r1");
  const std::string before = R"({"id":"r1","choices":[{"index":0,"delta":{"content":"same"},)";
  const auto with = [&](const std::string& aNote) {
    return before + R"("finish_reason":null}],"note":")" + aNote + R"("})";
  };
  BOOST_TEST(reader.read(with("same")).escapedText == "same");
  BOOST_TEST(reader.read(with("other")).escapedText == "same");
}

BOOST_AUTO_TEST_CASE(readsEnd)
{
  ChatChunkReader reader("r1");
  reader.read(chunk("a"));
  const auto last =
    reader.read(R"({"id":"chatcmpl-r1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],)"
                R"("usage":{"prompt_tokens":3,"completion_tokens":4}})");
  BOOST_TEST(last.problem.empty());
  BOOST_TEST(last.finishReason == "stop");
  BOOST_TEST(last.promptTokens == 3U);
  BOOST_TEST(last.completionTokens == 4U);
}

// Guards against events that differ by how the bytes were cut.
BOOST_AUTO_TEST_CASE(parsesEventsInAnyPieces)
{
  const std::string stream = ": comment\r\n\r\ndata: one\n\nevent: x\ndata:two\r\n\r\ndata: a\n"
                             "data: b\n\n\n";
  const std::vector<std::string> expected = { "one", "two", "a\nb" };
  for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
    SseParser parser;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
      // A copy of the exact size lets a sanitizer see reads beyond the piece or after its end.
      const std::string part = stream.substr(at, piece);
      BOOST_TEST(parser.feed(part, [&](std::string_view aData) {
        events.emplace_back(aData);
        return true;
      }));
    }
    BOOST_TEST(events == expected, boost::test_tools::per_element());
    BOOST_TEST(parser.betweenEvents());
  }
}

// Guards against an event without end taking all memory.
BOOST_AUTO_TEST_CASE(refusesEndlessEvent)
{
  SseParser parser;
  const std::string part = "data: " + std::string(1000, 'x');
  bool ok = true;
  for (int i = 0; i < 1000 && ok; ++i) {
    ok = parser.feed(part, [](std::string_view) { return true; });
  }
  BOOST_TEST(!ok);
}

BOOST_AUTO_TEST_CASE(resumeBodyIsValidJson)
{
  const auto body = resumeBody(R"({"model":"m1"})", 3, R"(a\"b)");
  const auto json = nlohmann::json::parse(body);
  BOOST_TEST(json["resume"]["tokens"] == 3);
  BOOST_TEST(json["resume"]["text"] == "a\"b");
}

BOOST_AUTO_TEST_SUITE_END()
