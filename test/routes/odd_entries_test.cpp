#include "deployment.hpp"

#include "support/resident_memory.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <sstream>
#include <thread>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

/// Time within which a change of the store's content takes effect.
constexpr Millis kApplyBound{ 2000 };
/// Above the levels at which a recursive reader uses up its stack of 8 MiB.
constexpr std::size_t kDeepLevels = 100000;
/// Longest line of the log.
constexpr std::size_t kMaxLogLine = 8192;

unsigned
statusOf(RouteDeployment& aDeployment, const Call& aCall)
{
  try {
    CallerConnection connection(aDeployment.callers());
    return connection.call(aCall).result_int();
  } catch (const boost::system::system_error&) {
    return 0;
  }
}

/// The entry of a sound server at an address where nobody listens, with one
/// member replaced.
std::string
entryWith(const std::string& aName, const std::string& aValue)
{
  std::string out = "{";
  for (const auto& [name, value] :
       std::vector<std::pair<std::string, std::string>>{ { "service", "\"svc\"" },
                                                         { "address", "\"127.0.0.1:9\"" },
                                                         { "zone", "\"fd-a\"" },
                                                         { "slots", "8" },
                                                         { "state", "\"ready\"" },
                                                         { "coldRemainingMs", "0" },
                                                         { "born", "1" },
                                                         { "sequence", "1" } }) {
    out += (out.size() > 1 ? ",\"" : "\"") + name + "\":" + (name == aName ? aValue : value);
  }
  return out + "}";
}

std::string
nested(const std::string& aOpen, const std::string& aClose, std::size_t aLevels = kDeepLevels)
{
  std::string out;
  for (std::size_t i = 0; i < aLevels; ++i) {
    out += aOpen;
  }
  for (std::size_t i = 0; i < aLevels; ++i) {
    out += aClose;
  }
  return out;
}

std::vector<std::string>
oddEntries()
{
  std::vector<std::string> out{
    "",
    "null",
    "[]",
    "\xff\xfe",
    nested("[", "]"),
    entryWith("slots", nested("[", "]")),
    // Sound but for the depth.
    entryWith("sequence", "1,\"other\":" + nested("[", "]")),
    entryWith("sequence", "1,\"other\":" + nested("[{\"sequence\":[", "]}]", 20000)),
  };
  for (const auto* it : { "127.0.0.1:0",
                          "127.0.0.1:65536",
                          "127.0.0.1:99999999999999999999",
                          "127.0.0.1:-1",
                          "256.0.0.1:80",
                          "[::1]:80",
                          ":",
                          "" }) {
    out.push_back(entryWith("address", "\"" + std::string(it) + "\""));
  }
  for (const auto* it :
       { "-1", "0", "1.5", "4294967296", "4294967304", "18446744073709551615", "1e30", "1e400" }) {
    out.push_back(entryWith("slots", it));
  }
  for (const auto* it : { "-1", "1e300", "1e18", "9223372036854775807", "86400001", "1e400" }) {
    out.push_back(entryWith("coldRemainingMs", it));
  }
  for (const auto* it : { "-1", "1.5", "9223372036854775807", "18446744073709551615", "1e30" }) {
    out.push_back(entryWith("born", it));
  }
  return out;
}

/// Keys that no server has, as they would not fit into a header field or a line
/// of the log.
std::vector<std::string>
oddKeys()
{
  return { "", "a\r\nX-Odd: 1", "a b", "\xff\xfe" };
}

/// CBOR items that a recursive reader follows level by level.
std::vector<std::string>
deepRecords()
{
  std::vector<std::string> out;
  for (const auto* it : { "\x81", "\xa1\x61w", "\x9f", "\xbf\x61w", "\x7f", "\x5f", "\xc1" }) {
    std::string text;
    for (std::size_t i = 0; i < kDeepLevels; ++i) {
      text += it;
    }
    out.push_back(text);
    // As the value of a member.
    out.push_back("\xa1\x61w" + text);
  }
  return out;
}

void
checkServesAndFollows(RouteDeployment& aDeployment)
{
  BOOST_TEST_REQUIRE(aDeployment.instance(0).running());
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(statusOf(aDeployment, callOf("/plain/ok")) == 200U);
  }
  aDeployment.writeServer(0, "draining");
  aDeployment.writeServer(1);
  std::this_thread::sleep_for(kApplyBound);
  const auto before = aDeployment.server(0).arrivals().size();
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(statusOf(aDeployment, callOf("/plain/ok")) == 200U);
  }
  BOOST_TEST(aDeployment.server(0).arrivals().size() == before);
  aDeployment.configure("key-new");
  auto call = callOf("/twice/ok");
  call.key = "key-new";
  BOOST_TEST(waitUntil(kApplyBound, [&] { return statusOf(aDeployment, call) == 200U; }));
  BOOST_TEST_REQUIRE(aDeployment.instance(0).running());
}

/// Lines of the log that contain a text.
std::vector<std::string>
linesWith(RouteDeployment& aDeployment, const std::string& aText)
{
  std::vector<std::string> out;
  std::istringstream text(aDeployment.instance(0).output());
  for (std::string line; std::getline(text, line);) {
    if (line.find(aText) != std::string::npos) {
      out.push_back(line);
    }
  }
  return out;
}

/// Appends an update of another instance that states this end of the log of claims.
void
appendClaimsEnd(RouteDeployment& aDeployment, std::int64_t aEnd)
{
  const nlohmann::json update{ { "i", "other" },           { "d", "fd-a" }, { "n", 1 }, { "q", 1 },
                               { "t", 1'790'000'000'000 }, { "h", aEnd },   { "r", 0 } };
  std::string bytes;
  nlohmann::json::to_cbor(update, bytes);
  aDeployment.store().append("board", bytes);
}

} // namespace

// Guards against an entry of another writer among those of the servers that
// ends the process, stops it from following the list, is taken for a server, or
// fills the log.
BOOST_AUTO_TEST_CASE(routes_odd_server_entries_are_ignored)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  const auto entries = oddEntries();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    deployment.store().put("keyed.servers", "odd" + std::to_string(i) + ".", entries[i]);
  }
  // Sound but for the key.
  for (const auto& it : oddKeys()) {
    deployment.store().put("keyed.servers", it, entryWith("", ""));
  }
  std::this_thread::sleep_for(kApplyBound);
  checkServesAndFollows(deployment);
  // The writer goes on renewing its entries.
  for (std::size_t i = 0; i < entries.size(); ++i) {
    deployment.store().put("keyed.servers", "odd" + std::to_string(i) + ".", entries[i]);
  }
  std::this_thread::sleep_for(kApplyBound);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    // An empty value removes the key.
    const std::size_t expected = entries[i].empty() ? 0 : 1;
    const auto name = "event=server.entry_ignored server=odd" + std::to_string(i) + ". ";
    const auto lines = linesWith(deployment, name);
    BOOST_TEST(lines.size() == expected, name << lines.size() << " " << entries[i].substr(0, 200));
    for (const auto& it : lines) {
      BOOST_TEST(it.size() <= kMaxLogLine);
    }
  }
}

// Guards against a server whose entry another writer replaced, which is used for good, or does not
// come back when it writes its entry again.
BOOST_AUTO_TEST_CASE(routes_server_whose_entry_stays_malformed_is_not_used)
{
  RouteDeployment deployment(2, 1);
  deployment.store().put("keyed.servers", "server0", entryWith("slots", "1e30"));
  // Longer than the instance waits for the server to write its entry again.
  std::this_thread::sleep_for(Millis(12000));
  const auto before = deployment.server(0).arrivals().size();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  }
  BOOST_TEST(deployment.server(0).arrivals().size() == before);
  deployment.writeServer(0);
  deployment.removeServer(1);
  std::this_thread::sleep_for(kApplyBound);
  BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  BOOST_TEST(deployment.server(0).arrivals().size() > before);
}

// Guards against an entry that is odd already when an instance starts, which
// reads the whole list.
BOOST_AUTO_TEST_CASE(routes_start_beside_odd_entries)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  const auto entries = oddEntries();
  for (std::size_t i = 0; i < entries.size(); ++i) {
    deployment.store().put("keyed.servers", "odd" + std::to_string(i), entries[i]);
  }
  for (const auto& it : oddKeys()) {
    deployment.store().put("keyed.servers", it, entryWith("", ""));
    deployment.store().put("keyed.agents", it, deepRecords().front());
    deployment.store().put("keyed.state", it, deepRecords().front());
  }
  deployment.instance(0).kill();
  deployment.startInstance(0);
  deployment.awaitServing();
  checkServesAndFollows(deployment);
}

// Guards against keys that are not UTF-8 and make the lists unreadable for an instance that starts.
BOOST_AUTO_TEST_CASE(routes_start_beside_keys_that_are_not_utf8)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  deployment.store().setRawKeys(true);
  for (const auto* topic : { "keyed.servers", "keyed.op", "keyed.agents", "keyed.state" }) {
    deployment.store().put(topic, "\xff\xfe", entryWith("", ""));
  }
  deployment.instance(0).kill();
  deployment.startInstance(0);
  deployment.awaitServing();
  checkServesAndFollows(deployment);
}

// Guards against a page that is read again and again as its last key is empty.
BOOST_AUTO_TEST_CASE(routes_start_beside_a_page_that_ends_with_an_empty_key)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  for (const auto* topic : { "keyed.servers", "keyed.op", "keyed.agents", "keyed.state" }) {
    deployment.store().put(topic, "", entryWith("", ""));
  }
  deployment.store().setPageRows(1);
  deployment.instance(0).kill();
  deployment.startInstance(0);
  deployment.awaitServing();
  checkServesAndFollows(deployment);
}

// Guards against calls without pause, and without end, for a page that repeats.
BOOST_AUTO_TEST_CASE(routes_repeated_page_is_not_requested_without_end)
{
  constexpr std::size_t kMaxCalls = 200;
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  deployment.store().setPageRows(1);
  deployment.store().setRepeatFirstPage(true);
  deployment.store().put("keyed.op", "evacuate/fd-z", "{}");
  deployment.store().put("keyed.servers", "odd", "{}");
  deployment.instance(0).kill();
  const auto before = deployment.store().pageCalls();
  deployment.startInstance(0);
  std::this_thread::sleep_for(Millis(3000));
  BOOST_TEST(deployment.store().pageCalls() - before <= kMaxCalls);
  deployment.store().setRepeatFirstPage(false);
  deployment.awaitServing();
  checkServesAndFollows(deployment);
}

// Guards against a record in the logs that instances share that ends each
// process that reads it.
BOOST_AUTO_TEST_CASE(routes_deeply_nested_records_change_nothing)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  for (const auto& it : deepRecords()) {
    deployment.store().append("board", it);
    deployment.store().append("reports", it);
    deployment.store().append("claims", it);
    deployment.store().put("keyed.agents", "fd-a", it);
    deployment.store().put("keyed.state", "servers", it);
  }
  std::this_thread::sleep_for(Millis(3000));
  const auto status = deployment.instance(0).wait(Millis(0));
  BOOST_TEST(!status.has_value(), "the process ended with " << status.value_or(0));
  checkServesAndFollows(deployment);
}

// Guards against a record in the logs that instances share with a value that
// cannot be used, which ends each process that reads it or stops the duties.
BOOST_AUTO_TEST_CASE(routes_odd_records_of_instances_change_nothing)
{
  using nlohmann::json;
  constexpr std::int64_t kWindowMs = 2000;
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  const auto now =
    std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
  const auto window = now / kWindowMs;
  const auto append = [&](const std::string& aTopic, const json& aObject) {
    std::string bytes;
    json::to_cbor(aObject, bytes);
    deployment.store().append(aTopic, bytes);
  };
  const json sound{ { "i", "other" }, { "d", "fd-a" }, { "n", 1 }, { "q", 1 }, { "t", now } };
  for (const json& it : { json(1e300), json(-1), json(std::numeric_limits<std::int64_t>::max()) }) {
    for (const auto* name : { "n", "q", "t" }) {
      auto object = sound;
      object[name] = it;
      append("board", object);
    }
    auto object = sound;
    object["w"] = { { it, { { "one", it } } } };
    object["s"] = { { "svc", it, it } };
    append("board", object);
    append("reports", { { "w", it }, { "c", { { "one", it } } } });
  }
  for (std::int64_t i = 0; i < 3; ++i) {
    auto object = sound;
    object["w"] = { { window + i, { { "\xff\xfe", 1 } } } };
    append("board", object);
    append("reports", { { "w", window + i }, { "c", { { "\xff", 1 } } } });
  }
  std::this_thread::sleep_for(Millis(12000));
  const auto status = deployment.instance(0).wait(Millis(0));
  BOOST_TEST(!status.has_value(), "the process ended with " << status.value_or(0));
  checkServesAndFollows(deployment);
  const auto before = deployment.store().dutyCalls().size();
  BOOST_TEST(
    waitUntil(Millis(12000), [&] { return deployment.store().dutyCalls().size() > before; }));
}

// Guards against a record with an end of the claims beyond that of their log, after which no
// instance takes the duties.
BOOST_AUTO_TEST_CASE(routes_claims_end_beyond_the_log_stops_no_duty)
{
  RouteDeployment deployment(1, 1);
  appendClaimsEnd(deployment, std::numeric_limits<std::int64_t>::max());
  std::this_thread::sleep_for(Millis(6000));
  const auto before = deployment.store().dutyCalls().size();
  BOOST_TEST(statusOf(deployment, callOf("/plain/ok")) == 200U);
  BOOST_TEST(
    waitUntil(Millis(12000), [&] { return deployment.store().dutyCalls().size() > before; }));
}

// Guards against such a record that keeps an instance from taking over the duties of one that was
// killed.
BOOST_AUTO_TEST_CASE(routes_claims_end_beyond_the_log_stops_no_takeover)
{
  RouteDeployment deployment(1, 1);
  BOOST_TEST_REQUIRE(
    waitUntil(Millis(12000), [&] { return !deployment.store().dutyCalls().empty(); }));
  deployment.instance(0).kill();
  const auto before = deployment.store().dutyCalls().size();
  appendClaimsEnd(deployment, 1'000'000);
  appendClaimsEnd(deployment, std::numeric_limits<std::int64_t>::max());
  deployment.startInstance(0);
  deployment.awaitServing();
  BOOST_TEST(
    waitUntil(Millis(18000), [&] { return deployment.store().dutyCalls().size() > before; }));
}

// Guards against a configuration with a number out of range that ends the
// process or is taken in part.
BOOST_AUTO_TEST_CASE(routes_odd_operator_records_change_nothing)
{
  RouteDeployment deployment(2, 1);
  deployment.removeServer(1);
  auto& store = deployment.store();
  store.put("keyed.op", "config", nested("[", "]"));
  store.put("keyed.op", "config", R"({"version":1000,"routes":)" + nested("[", "]") + "}");
  store.put("keyed.op", "config", R"({"version":1e400})");
  store.put("keyed.op", "config", R"({"version":18446744073709551616,"routes":[]})");
  for (const auto* it : { "1e300", "-1", "1e400", "9223372036854775807" }) {
    const std::string text(it);
    store.put("keyed.op", "config", R"({"version":1000,"limits":{"idleTimeoutMs":)" + text + "}}");
    store.put(
      "keyed.op",
      "config",
      R"({"version":1000,"routes":[{"name":"r","hostname":"h","pathPrefix":"/","routeType":"idempotent","service":"svc","timeoutMs":)" +
        text + "}]}");
  }
  std::string many = R"({"version":1000,"routes":[)";
  for (int i = 0; i < 3000; ++i) {
    many += (i > 0 ? ",{}" : "{}");
  }
  store.put("keyed.op", "config", many + "]}");
  store.put("keyed.op", "", "{}");
  store.put("keyed.op", "\xff\xfe\r\n", "{}");
  store.put("keyed.op", "evacuate/", "{}");
  store.put("keyed.op", "evacuate/\xff\r\n", nested("[", "]"));
  std::this_thread::sleep_for(kApplyBound);
  checkServesAndFollows(deployment);
  const auto lines = linesWith(deployment, "event=config.rejected");
  BOOST_TEST(!lines.empty());
  for (const auto& it : lines) {
    BOOST_TEST(it.size() <= kMaxLogLine, it.size());
  }
}

// Guards against a list in the store without end, page after page, which takes a process over its
// memory when it starts or reads anew. Instances that know the list serve on.
BOOST_AUTO_TEST_CASE(routes_list_without_end_leaves_the_memory_of_the_machine)
{
  constexpr double kMemoryMb = 100.0;
  RouteDeployment deployment(2, 2);
  deployment.store().setEndlessList(true);
  deployment.instance(0).kill();
  deployment.startInstance(0);
  // Makes the other one read its lists anew.
  deployment.store().compact("keyed.servers");
  double mostMb = 0.0;
  int whole = 0;
  int calls = 0;
  const auto until = std::chrono::steady_clock::now() + Seconds(6);
  while (std::chrono::steady_clock::now() < until) {
    for (std::size_t i = 0; i < 2; ++i) {
      mostMb = std::max(mostMb, support::residentMb(deployment.instance(i).id()));
    }
    ++calls;
    try {
      CallerConnection connection(deployment.callers(1));
      whole += connection.call(callOf("/twice/ok")).result_int() == 200U ? 1 : 0;
    } catch (const boost::system::system_error&) {
    }
  }
  BOOST_TEST(deployment.store().pageCalls() > 20U);
  BOOST_TEST(mostMb < kMemoryMb);
  BOOST_TEST(whole == calls);
  deployment.store().setEndlessList(false);
  deployment.awaitServing();
}
