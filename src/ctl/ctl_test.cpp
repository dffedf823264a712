#include "apply_options.hpp"
#include "command_line.hpp"
#include "render.hpp"
#include "table.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace mustardplank;
using namespace mustardplank::ctl;

namespace {

using Words = std::vector<std::string>;

CommandLine
parsed(const Words& aWords)
{
  return leaf::try_handle_all(
    [&] { return parseCommandLine(aWords); },
    [](const CtlError& aError) -> CommandLine { throw std::runtime_error(aError.message); },
    []() -> CommandLine { throw std::runtime_error("unknown error"); });
}

/// The message of a command line that is wrong.
std::string
errorOf(const Words& aWords)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_CHECK(parseCommandLine(aWords));
      return std::string();
    },
    [](const CtlError& aError) {
      BOOST_TEST((aError.code == ExitCode::Usage));
      return aError.message;
    },
    [] { return std::string("unknown error"); });
}

Words
split(const std::string& aText)
{
  Words words;
  std::istringstream stream(aText);
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

}

BOOST_AUTO_TEST_SUITE(commandLine)

BOOST_AUTO_TEST_CASE(optionsMayStandAnywhere)
{
  const auto line =
    parsed({ "--json", "organisation", "--weight=2", "put", "bramwell", "--class", "a,b" });
  BOOST_TEST(line.command->name() == "organisation put");
  BOOST_TEST(line.argument == "bramwell");
  BOOST_TEST(line.has("json"));
  BOOST_TEST(line.value("weight") == "2");
  BOOST_TEST(line.options.at("class") == (Words{ "a", "b" }), boost::test_tools::per_element());
}

// Guards against state that one command line leaves in getopt_long for the next.
BOOST_AUTO_TEST_CASE(parsesSeveralLinesInOneProcess)
{
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!errorOf({ "status", "--wrong" }).empty());
    BOOST_TEST(parsed({ "top", "--count", "1" }).value("count") == "1");
  }
}

// Guards against examples in help texts that do not work, and against options without description.
BOOST_AUTO_TEST_CASE(everyExampleParses)
{
  std::set<std::string_view> used(globalOptions().begin(), globalOptions().end());
  for (const auto& it : commandTable()) {
    auto words = split(std::string(it.example));
    BOOST_TEST(words.front() == "mustardplankctl");
    words.erase(words.begin());
    BOOST_TEST(parsed(words).command == &it, it.example);
    BOOST_TEST(helpText(it).find(it.example) != std::string::npos);
    BOOST_TEST(helpText().find(it.name()) != std::string::npos);
    used.insert(it.options.begin(), it.options.end());
  }
  for (const auto& it : optionTable()) {
    BOOST_TEST(used.count(it.name) == 1U, it.name << " belongs to no command");
  }
}

BOOST_AUTO_TEST_CASE(helpNeedsNeitherArgumentNorConnection)
{
  BOOST_TEST(parsed({ "--help" }).help == helpText());
  BOOST_TEST(parsed({ "key", "--help" }).help == helpText("key"));
  BOOST_TEST(parsed({ "key", "create", "--help" }).help == helpText(*findCommand("key", "create")));
}

// Guards against an operator who corrects one error after the other, and against errors that do not
// say what to do.
BOOST_AUTO_TEST_CASE(errorsSayWhatToDo)
{
  BOOST_TEST(errorOf({}) == "command: missing; \"mustardplankctl --help\" lists the commands");
  BOOST_TEST(errorOf({ "statsu" }) ==
             "statsu: unknown command; did you mean \"status\"?; \"mustardplankctl --help\" lists "
             "the commands");
  BOOST_TEST(errorOf({ "key" }) == "key: needs one of create, rotate, withdraw, list");
  BOOST_TEST(errorOf({ "server", "drian", "s1" }) ==
             "server drian: unknown command; did you mean \"server drain\"?; give one of put, "
             "drain, bring-back, withdraw, list");
  BOOST_TEST(errorOf({ "server", "drain" }) ==
             "server drain: needs SERVER, for example: mustardplankctl server drain writer-7");
  BOOST_TEST(errorOf({ "server", "drain", "a", "b" }) ==
             "b: one word too many; \"server drain\" takes only SERVER");
  BOOST_TEST(errorOf({ "status", "--jsn" }) == "--jsn: unknown option; did you mean \"--json\"?");
  BOOST_TEST(errorOf({ "status", "--timeout" }) == "--timeout: needs a value");
  BOOST_TEST(errorOf({ "status", "-x" }).find("unknown option") != std::string::npos);
  BOOST_TEST(errorOf({ "status", "--weight", "1" }).find("is no option of \"status\"") !=
             std::string::npos);
  BOOST_TEST(errorOf({ "organisation", "put", "o", "--weight", "1", "--weight", "2" }) ==
             "--weight: given twice; give it once");
  const auto several = errorOf({ "server", "drain", "--wrong", "--tier", "1" });
  BOOST_TEST(std::count(several.begin(), several.end(), '\n') == 2);
}

// Guards against a put that resets what the operator did not name.
BOOST_AUTO_TEST_CASE(optionsChangeOnlyWhatIsGiven)
{
  v1::Organisation object;
  object.set_weight(3);
  object.set_default_class("a");
  object.add_allowed_classes("a");
  Findings findings;
  applyOptions(parsed({ "organisation", "put", "o", "--request-rate", "1.5" }), object, findings);
  BOOST_TEST(object.weight() == 3.0);
  BOOST_TEST(object.request_rate() == 1.5);
  BOOST_TEST(object.allowed_classes_size() == 1);
  applyOptions(
    parsed({ "organisation", "put", "o", "--class", "b", "--class", "c,d" }), object, findings);
  BOOST_TEST(object.allowed_classes_size() == 3);
  applyOptions(parsed({ "organisation", "put", "o", "--class=" }), object, findings);
  BOOST_TEST(object.allowed_classes_size() == 0);
  BOOST_TEST(findings.empty());
}

BOOST_AUTO_TEST_CASE(wrongValuesAreFindings)
{
  Findings findings;
  v1::BackendServer server;
  applyOptions(parsed({ "server",
                        "put",
                        "s",
                        "--slots",
                        "-1",
                        "--cold-slots",
                        "1x",
                        "--checks-fence",
                        "true",
                        "--kind",
                        "fast",
                        "--pool",
                        "a,b" }),
               server,
               findings);
  BOOST_TEST(findings.size() == 5U);
  v1::Organisation organisation;
  findings = Findings();
  for (const std::string value : { "", "x", "1,5", "0x10", "1e999" }) {
    applyOptions(
      parsed({ "organisation", "put", "o", "--weight=" + value }), organisation, findings);
  }
  BOOST_TEST(findings.size() == 5U);
}

// Guards against a crash on any command line.
BOOST_AUTO_TEST_CASE(randomCommandLinesDoNotCrash)
{
  std::srand(20261204);
  Words parts{ "", "-", "--", "---", "=", "--=", "--server=", "\xff", "a,b,,", "--help=1", "-h" };
  for (const auto& it : commandTable()) {
    parts.emplace_back(it.group);
    parts.emplace_back(it.action);
  }
  for (const auto& it : optionTable()) {
    parts.push_back("--" + std::string(it.name));
    parts.push_back("--" + std::string(it.name).substr(0, 3));
  }
  int wrong = 0;
  constexpr int kRounds = 5000;
  for (int i = 0; i < kRounds; ++i) {
    Words words;
    const int count = std::rand() % 6;
    for (int j = 0; j < count; ++j) {
      words.push_back(parts[static_cast<std::size_t>(std::rand()) % parts.size()]);
    }
    wrong += errorOf(words).empty() ? 0 : 1;
  }
  BOOST_TEST(wrong > kRounds / 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(rendering)

BOOST_AUTO_TEST_CASE(columnsAreAligned)
{
  Table table({ "ID", "TIER", "NOTE" });
  table.add({ "urgent", "0", "" });
  table.add({ "prüfung", "12" });
  BOOST_TEST(table.text() == "ID       TIER  NOTE\n"
                             "urgent   0\n"
                             "prüfung  12\n");
}

// Guards against names that move the cursor or clear the operator's terminal.
BOOST_AUTO_TEST_CASE(controlCharactersAreNotPrinted)
{
  Table table({ "ID" });
  table.add({ "a\033[2Jb\n" });
  BOOST_TEST(table.text() == "ID\na?[2Jb?\n");
  v1::StatusReport report;
  report.add_problems()->set_what("x\033[2J\x7f");
  BOOST_TEST(render(report).find('\033') == std::string::npos);
  v1::WatchEvent event;
  event.set_text("\r");
  BOOST_TEST(render(event).find('\r') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(emptyListsSaySo)
{
  BOOST_TEST(render(v1::KeyList()) == "There are no keys.\n");
}

// Guards against a status in which the operator has to look for what is wrong.
BOOST_AUTO_TEST_CASE(statusStartsWithProblems)
{
  v1::StatusReport report;
  report.set_instance("a1");
  auto& problem = *report.add_problems();
  problem.set_severity(v1::SEVERITY_CRITICAL);
  problem.set_where("pool chat in fd-a");
  problem.set_what("no backend server takes work");
  problem.set_command("mustardplankctl server list --pool chat");
  const auto text = render(report);
  BOOST_TEST(text.find("CRITICAL  pool chat in fd-a\n    no backend server takes work\n    try: "
                       "mustardplankctl server list --pool chat\n") != std::string::npos);
  BOOST_TEST(text.find("CRITICAL") < text.find("INSTANCE"));
}

BOOST_AUTO_TEST_CASE(instancesBehindAreCounted)
{
  v1::StatusReport report;
  report.set_instance("a1");
  report.set_config_revision(20);
  report.set_newest_change(12);
  auto& other = *report.add_instances();
  other.set_id("a2");
  other.set_config_revision(9);
  other.set_last_heard_ms(200);
  const auto behind = renderInstances(report);
  BOOST_TEST(behind.find("revision 12, is not yet in force on 1 of 2 instances.") !=
             std::string::npos);
  BOOST_TEST(behind.find("0.2 s ago") != std::string::npos);
  other.set_config_revision(12);
  BOOST_TEST(renderInstances(report).find("revision 12, is in force on all 2 instances.") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
