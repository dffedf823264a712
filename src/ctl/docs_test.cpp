#include "command_line.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace mustardplank::ctl;

namespace {

std::string
readFile(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// Why the words of a command line are wrong; empty if they are right.
std::string
errorOf(const std::string& aWords)
{
  std::vector<std::string> words;
  std::istringstream stream(aWords);
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_CHECK(parseCommandLine(words));
      return std::string();
    },
    [](const CtlError& aError) { return aError.message; },
    [] { return std::string("unknown error"); });
}

/// Checks each "mustardplankctl ..." up to the end of the line, a backtick or a quote.
int
checkCommands(const std::filesystem::path& aPath, const std::string& aText)
{
  const std::string program = "mustardplankctl ";
  int count = 0;
  for (auto at = aText.find(program); at != std::string::npos; at = aText.find(program, at)) {
    at += program.size();
    const auto words = aText.substr(at, aText.find_first_of("`\"\n", at) - at);
    const auto error = errorOf(words);
    BOOST_TEST(error == "", aPath.filename() << ": " << words << ": " << error);
    ++count;
  }
  return count;
}

/// The text of a source file with "command " + expression written as "command ID".
std::string
withIds(std::string aText)
{
  const std::string joint = " \" +";
  for (auto at = aText.find(joint); at != std::string::npos; at = aText.find(joint, at)) {
    aText.replace(at, joint.size(), " ID\"");
  }
  return aText;
}

}

BOOST_AUTO_TEST_SUITE(documents)

// Guards against pages that tell an operator to type a command that does not exist.
BOOST_AUTO_TEST_CASE(commandsInPagesExist)
{
  int count = 0;
  for (const auto& it : std::filesystem::directory_iterator(SOURCE_DIR "/docs/operators")) {
    count += checkCommands(it.path(), readFile(it.path()));
  }
  BOOST_TEST(count > 30);
}

// Guards against status that recommends a command that does not exist.
BOOST_AUTO_TEST_CASE(commandsInStatusExist)
{
  const std::filesystem::path path(SOURCE_DIR "/src/mustardplank/operator/problems.cpp");
  BOOST_TEST(checkCommands(path, withIds(readFile(path))) > 10);
}

// Guards against a page without one of the four parts, or with another order.
BOOST_AUTO_TEST_CASE(pagesHaveTheFourParts)
{
  const std::string parts[] = { "## What you see",
                                "## What the system already does",
                                "## What you type",
                                "## How you know that it is over" };
  for (const auto& it : std::filesystem::directory_iterator(SOURCE_DIR "/docs/operators")) {
    if (it.path().filename() == "README.md") {
      continue;
    }
    const auto text = readFile(it.path());
    std::size_t at = 0;
    for (const auto& part : parts) {
      const auto found = text.find("\n" + part + "\n", at);
      BOOST_TEST(found != std::string::npos, it.path().filename() << " lacks " << part);
      at = std::min(found, text.size());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
