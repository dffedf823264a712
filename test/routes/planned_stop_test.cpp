#include "deployment.hpp"

#include "mustardplank/base/clock.hpp"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

constexpr auto kGrace = RouteDeployment::kStopGrace;
/// Longest time that the configuration allows a request.
constexpr int kLongestMs = 3000;

/// The start of a planned stop.
class PlannedStop
{
public:
  explicit PlannedStop(RouteDeployment& aDeployment, Millis aGrace = kGrace)
    : mDeployment(aDeployment)
    , mGrace(aGrace)
    , mAt(bootNow())
  {
    mDeployment.instance(0).signal(SIGTERM);
  }

  void sleepUntil(Millis aAfterSignal) const
  {
    std::this_thread::sleep_for(mAt + aAfterSignal - bootNow());
  }

  Millis elapsed() const { return duration_cast<Millis>(bootNow() - mAt); }

  /// The process is gone, in order, before the grace period is over.
  void checkEnd() const
  {
    const auto code = mDeployment.instance(0).wait(mAt + mGrace - bootNow());
    BOOST_TEST_REQUIRE(code.has_value(), "still there after " << elapsed().count() << " ms");
    BOOST_TEST(*code == 0, mDeployment.instance(0).errors().substr(0, 6000));
  }

private:
  RouteDeployment& mDeployment;
  Millis mGrace;
  TimePoint mAt;
};

Call
longCall(const std::string& aPath)
{
  auto call = callOf(aPath);
  call.deadlineMs = kLongestMs;
  return call;
}

struct Answer
{
  /// 0: the connection ended without a complete answer.
  unsigned status = 0;
  bool closes = false;
};

Answer
nextAnswer(CallerConnection& aConnection)
{
  try {
    const auto answer = aConnection.read();
    return { answer.result_int(), !answer.keep_alive() };
  } catch (const boost::system::system_error&) {
    return {};
  }
}

/// Requests of the first organisation in all usage windows reported.
std::uint64_t
usageReported(RouteDeployment& aDeployment)
{
  std::map<std::uint64_t, std::uint64_t> windows;
  for (const auto& it : aDeployment.store().dutyCalls()) {
    if (it.path == "/usage") {
      windows[it.body.at("windowId").get<std::uint64_t>()] =
        it.body.at("counts").value("one", std::uint64_t(0));
    }
  }
  std::uint64_t sum = 0;
  for (const auto& [window, requests] : windows) {
    sum += requests;
  }
  return sum;
}

}

// Guards against an instance that is still handing over usage when the grace period ends, and is
// killed: a stream runs until the end, the store and the other instances do not answer.
BOOST_AUTO_TEST_CASE(routes_planned_stop_ends_in_time_beside_a_silent_store_and_silent_agents)
{
  RouteDeployment deployment(1, 3, Clocks::OfTheMachine, 2);
  std::this_thread::sleep_for(Millis(4500));
  deployment.store().setSilent(true);
  deployment.instance(1).signal(SIGSTOP);
  deployment.instance(2).signal(SIGSTOP);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  CallerConnection caller(deployment.callers());
  caller.send(longCall("/events/slow10"));
  stop.checkEnd();
  deployment.instance(1).signal(SIGCONT);
  deployment.instance(2).signal(SIGCONT);
}

// Guards against the same while the store refuses calls.
BOOST_AUTO_TEST_CASE(routes_planned_stop_ends_in_time_beside_a_store_that_is_down)
{
  RouteDeployment deployment(1, 1);
  deployment.store().setDown(true);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  CallerConnection caller(deployment.callers());
  caller.send(longCall("/events/slow10"));
  stop.checkEnd();
}

// Guards against streams that are cut before the last sixth of the grace period.
BOOST_AUTO_TEST_CASE(routes_planned_stop_lets_streams_run_until_the_last_sixth)
{
  RouteDeployment deployment(1, 1);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  CallerConnection caller(deployment.callers());
  caller.send(longCall("/events/slow10"));
  BOOST_TEST(nextAnswer(caller).status == 0U);
  BOOST_TEST(stop.elapsed().count() >= 5 * kGrace.count() / 6);
}

// Guards against usage that is lost because it is counted after the first handover: the store is
// out, and requests begin to run as the instance is about to end.
BOOST_AUTO_TEST_CASE(routes_usage_counted_late_in_a_planned_stop_is_reported)
{
  constexpr int kCalls = 10;
  RouteDeployment deployment(2, 2, Clocks::OfTheMachine, 2);
  std::this_thread::sleep_for(Millis(4500));
  if (deployment.adminPage(0, "/status").find("lease held") != std::string::npos) {
    // The other instance has to report.
    deployment.instance(0).kill();
    deployment.startInstance(0);
    BOOST_TEST_REQUIRE(waitUntil(Millis(9000), [&] {
      return deployment.adminPage(1, "/status").find("lease held") != std::string::npos;
    }));
    deployment.awaitServing();
    std::this_thread::sleep_for(Millis(3000));
  }
  const auto before = usageReported(deployment);
  deployment.store().setDown(true);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (int i = 0; i < kCalls; ++i) {
    callers.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    callers.back()->send(longCall("/plain/delayed1900"));
  }
  std::uint64_t served = 0;
  for (auto& it : callers) {
    served += nextAnswer(*it).status == 200U ? 1 : 0;
  }
  stop.checkEnd();
  BOOST_TEST(served == kCalls);
  deployment.store().setDown(false);
  BOOST_TEST(waitUntil(Millis(9000), [&] { return usageReported(deployment) >= before + served; }),
             usageReported(deployment) << " of " << before << " + " << served);
}

// Guards against requests that were taken late and passed on, and are cut off without an answer.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_requests_that_are_still_running)
{
  RouteDeployment deployment(1, 1);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  CallerConnection caller(deployment.callers());
  caller.send(longCall("/plain/hang"));
  const auto answer = nextAnswer(caller);
  BOOST_TEST(answer.status == 504U);
  BOOST_TEST(answer.closes);
  BOOST_TEST(stop.elapsed().count() >= 5 * kGrace.count() / 6);
  stop.checkEnd();
}

// Guards against requests that wait for a server until the process ends, without an answer or
// passed on too late.
BOOST_AUTO_TEST_CASE(routes_planned_stop_refuses_requests_that_wait_for_a_server)
{
  constexpr std::size_t kCalls = 30;
  RouteDeployment deployment(1, 1);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2200));
  std::vector<std::unique_ptr<CallerConnection>> callers;
  std::vector<std::string> attempts;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const auto call = longCall("/plain/hang");
    attempts.push_back(call.attempt);
    callers.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    callers.back()->send(call);
  }
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kCalls; ++i) {
    const auto answer = nextAnswer(*callers[i]);
    const bool ran = deployment.arrivals(attempts[i]) > 0;
    BOOST_TEST(answer.status == (ran ? 504U : 503U));
    BOOST_TEST(answer.closes);
    refused += ran ? 0 : 1;
  }
  BOOST_TEST(refused > 0U);
  stop.checkEnd();
}

// Guards against requests whose last part arrives after the last new request was taken, or never.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_requests_that_arrive_in_parts)
{
  RouteDeployment deployment(1, 1);
  const PlannedStop stop(deployment);
  const auto call = callOf("/plain/ok");
  const auto text = CallerConnection::textOf(call);
  const auto head = text.find("\r\n\r\n") + 4;
  // The rest comes at this time, if it comes.
  const std::vector<std::pair<std::size_t, Millis>> parts = {
    { 10, Millis(2700) },   { head - 2, Millis(2900) }, { head, Millis(3000) },
    { head, Millis(3900) }, { head + 1, Millis(4200) }, { head + 1, Millis(0) },
  };
  stop.sleepUntil(Millis(2300));
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (const auto& [sent, at] : parts) {
    callers.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    callers.back()->sendText(text.substr(0, sent));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto& [sent, at] = parts[i];
    if (at > Millis(0)) {
      stop.sleepUntil(at);
      callers[i]->sendText(text.substr(sent));
    }
    const auto answer = nextAnswer(*callers[i]);
    BOOST_TEST(answer.status == 503U, "part " << i);
    BOOST_TEST(answer.closes, "part " << i);
  }
  BOOST_TEST(deployment.arrivals(call.attempt) == 0U);
  stop.checkEnd();
}

// Guards against requests that were sent ahead and get no answer, because the connection ends after
// the answer to the one before.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_requests_sent_ahead)
{
  constexpr int kAhead = 3;
  RouteDeployment deployment(1, 1);
  for (const auto* path : { "/plain/delayed", "/events/stream20", "/plain/hang" }) {
    deployment.instance(0).kill();
    deployment.startInstance(0);
    deployment.awaitServing();
    CallerConnection caller(deployment.callers());
    BOOST_TEST(caller.call(callOf("/plain/ok")).result_int() == 200U);
    const PlannedStop stop(deployment);
    stop.sleepUntil(Millis(2200));
    std::string text = CallerConnection::textOf(longCall(path));
    std::vector<Call> ahead;
    for (int i = 0; i < kAhead; ++i) {
      ahead.push_back(callOf("/plain/ok"));
      text += CallerConnection::textOf(ahead.back());
    }
    caller.sendText(text);
    const auto first = nextAnswer(caller);
    BOOST_TEST(first.status == (std::string(path) == "/plain/hang" ? 504U : 200U), path);
    for (int i = 0; i < kAhead; ++i) {
      const auto answer = nextAnswer(caller);
      BOOST_TEST(answer.status == 503U, path << " " << i);
      BOOST_TEST(answer.closes == (i == kAhead - 1), path << " " << i);
      BOOST_TEST(deployment.arrivals(ahead[static_cast<std::size_t>(i)].attempt) == 0U);
    }
    stop.checkEnd();
  }
}

// Guards against answers that are complete here and cut off because the process ends before the
// caller has read them.
BOOST_AUTO_TEST_CASE(routes_planned_stop_waits_for_callers_that_read_slowly)
{
  constexpr std::size_t kKib = 15000;
  RouteDeployment deployment(1, 1);
  const PlannedStop stop(deployment);
  stop.sleepUntil(Millis(2300));
  CallerConnection caller(deployment.callers());
  caller.send(longCall("/plain/large" + std::to_string(kKib)));
  stop.sleepUntil(Millis(4000));
  BOOST_TEST(nextAnswer(caller).status == 200U);
  BOOST_TEST(caller.partialBody().size() == kKib * 1024);
  stop.checkEnd();
}

// Guards against a refusal that is lost because the connection is reset: the rest of the body
// arrives after it was closed.
BOOST_AUTO_TEST_CASE(routes_refusal_reaches_a_caller_that_is_still_sending)
{
  RouteDeployment deployment(1, 1);
  auto call = callOf("/plain/ok");
  call.body = std::string(4 * 1024 * 1024, 'x');
  for (int i = 0; i < 20; ++i) {
    CallerConnection caller(deployment.callers());
    try {
      caller.send(call);
    } catch (const boost::system::system_error& error) {
      BOOST_TEST_MESSAGE(error.what());
    }
    BOOST_TEST(nextAnswer(caller).status == 413U);
  }
}

// Guards against an instance that ends, and a request that gets no answer, because a caller sends
// more ahead than is read.
BOOST_AUTO_TEST_CASE(routes_request_with_much_sent_ahead_is_answered)
{
  constexpr std::size_t kAhead = 300;
  RouteDeployment deployment(1, 1);
  CallerConnection caller(deployment.callers());
  auto text = CallerConnection::textOf(callOf("/plain/delayed"));
  for (std::size_t i = 0; i < kAhead; ++i) {
    auto call = callOf("/plain/ok");
    call.body = std::string(1024, 'x');
    text += CallerConnection::textOf(call);
  }
  caller.sendText(text);
  for (std::size_t i = 0; i <= kAhead; ++i) {
    BOOST_TEST_REQUIRE(nextAnswer(caller).status == 200U, "answer " << i);
  }
  BOOST_TEST(deployment.instance(0).running());
}

// Guards against an answer of which the rest is discarded, because the connection is closed with
// bytes unread that the caller has sent after its last request.
BOOST_AUTO_TEST_CASE(routes_last_answer_is_whole_though_the_caller_sends_more)
{
  constexpr std::size_t kKib = 2000;
  RouteDeployment deployment(1, 1);
  CallerConnection caller(deployment.callers());
  auto call = callOf("/plain/large" + std::to_string(kKib));
  call.fields.emplace_back("Connection", "close");
  caller.sendText(CallerConnection::textOf(call) + std::string(300 * 1024, 'x'));
  std::this_thread::sleep_for(Millis(500));
  BOOST_TEST(nextAnswer(caller).status == 200U);
  BOOST_TEST(caller.partialBody().size() == kKib * 1024);
}

// Guards against a short grace period that is over before the last request is refused.
BOOST_AUTO_TEST_CASE(routes_planned_stop_with_a_short_grace_answers_all_requests)
{
  for (const auto grace : { Millis(3000), Millis(3500), Millis(4000) }) {
    RouteDeployment deployment(1, 1, Clocks::OfTheMachine, 1, grace);
    CallerConnection running(deployment.callers());
    const PlannedStop stop(deployment, grace);
    running.send(longCall("/plain/delayed2000"));
    unsigned served = 0;
    while (stop.elapsed() < grace) {
      try {
        CallerConnection caller(deployment.callers());
        caller.send(longCall("/plain/delayed400"));
        const auto status = nextAnswer(caller).status;
        BOOST_TEST((status == 200U || status == 503U || status == 504U),
                   status << " after " << stop.elapsed().count() << " of " << grace.count());
        served += status == 200U ? 1 : 0;
      } catch (const boost::system::system_error&) {
        break;
      }
    }
    BOOST_TEST(served > 0U);
    BOOST_TEST(nextAnswer(running).status == 200U);
    stop.checkEnd();
  }
}

// Guards against requests without an answer at an instance that is paused during its stop.
BOOST_AUTO_TEST_CASE(routes_planned_stop_of_a_paused_instance_answers_all_requests)
{
  for (const auto resumed : { Millis(3200), Millis(4300) }) {
    RouteDeployment deployment(1, 1);
    CallerConnection kept(deployment.callers());
    BOOST_TEST(kept.call(callOf("/plain/ok")).result_int() == 200U);
    const PlannedStop stop(deployment);
    CallerConnection running(deployment.callers());
    stop.sleepUntil(Millis(1800));
    running.send(longCall("/plain/hang"));
    stop.sleepUntil(Millis(2000));
    deployment.instance(0).signal(SIGSTOP);
    kept.send(callOf("/plain/ok"));
    CallerConnection fresh(deployment.callers());
    fresh.send(callOf("/plain/ok"));
    stop.sleepUntil(resumed);
    deployment.instance(0).signal(SIGCONT);
    for (auto* it : { &kept, &fresh }) {
      const auto status = nextAnswer(*it).status;
      BOOST_TEST((status == 200U || status == 503U), status << " at " << resumed.count());
    }
    BOOST_TEST(nextAnswer(running).status == 504U);
    stop.checkEnd();
  }
}

// Guards against kept connections that are closed while a request arrives on them.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_requests_on_kept_connections)
{
  constexpr int kCallers = 30;
  RouteDeployment deployment(1, 1);
  std::vector<std::unique_ptr<CallerConnection>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<CallerConnection>(deployment.callers()));
    BOOST_TEST(callers.back()->call(callOf("/plain/ok")).result_int() == 200U);
  }
  const PlannedStop stop(deployment);
  int unanswered = 0;
  for (int i = 0; i < kCallers; ++i) {
    // From 2.54 to 2.66 s.
    stop.sleepUntil(Millis(2540 + 4 * i));
    const auto call = callOf("/plain/ok");
    try {
      callers[static_cast<std::size_t>(i)]->send(call);
      const auto status = nextAnswer(*callers[static_cast<std::size_t>(i)]).status;
      const auto ran = deployment.arrivals(call.attempt);
      BOOST_TEST((status != 503U || ran == 0U));
      unanswered += status == 0U && ran > 0U ? 1 : 0;
    } catch (const boost::system::system_error&) {
      BOOST_TEST(deployment.arrivals(call.attempt) == 0U);
    }
  }
  BOOST_TEST(unanswered == 0);
  stop.checkEnd();
}

// Guards against a request that gets no answer because the stream before it on its connection had
// not announced that the connection ends: it had begun before the stop.
BOOST_AUTO_TEST_CASE(routes_planned_stop_answers_a_request_after_a_stream_that_began_before)
{
  RouteDeployment deployment(1, 1);
  deployment.setRouteTimeout(Millis(6000));
  deployment.configure();
  std::this_thread::sleep_for(Millis(1000));
  CallerConnection caller(deployment.callers());
  auto streamed = callOf("/events/slow5");
  streamed.deadlineMs = 5000;
  caller.send(streamed);
  std::this_thread::sleep_for(Millis(200));
  const PlannedStop stop(deployment);
  const auto stream = caller.read();
  BOOST_TEST(stream.keep_alive());
  BOOST_TEST(stop.elapsed() > Millis(2600));
  std::this_thread::sleep_for(Millis(100));
  const auto call = callOf("/plain/ok");
  caller.send(call);
  const auto answer = nextAnswer(caller);
  BOOST_TEST(answer.status == 503U);
  BOOST_TEST(answer.closes);
  BOOST_TEST(deployment.arrivals(call.attempt) == 0U);
  stop.checkEnd();
}
