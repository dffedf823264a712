#include "deployment.hpp"
#include "false_answers.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace mustardplank;
using namespace mustardplank::routes;
using support::waitUntil;

namespace {

constexpr std::size_t kServers = 3;
constexpr std::size_t kMaxBody = 8UL * 1024 * 1024;
/// Servers that lost connections are avoided for a while; a request that none of them got is sent
/// again.
constexpr int kMaxTries = 40;
constexpr Millis kBetweenTries{ 100 };

/// A deployment that takes the large bodies of requestForms().
class FaultyDeployment : public RouteDeployment
{
public:
  FaultyDeployment()
    : RouteDeployment(kServers, 1)
  {
    setMaxBodyBytes(kMaxBody);
    configure();
    // In force when a large body is not refused any more.
    Call call = callOf("/open/ok");
    call.body = std::string(kMaxBody / 2, 'x');
    BOOST_TEST_REQUIRE(waitUntil(Millis(5000), [&] {
      call.attempt = newAttempt();
      return callOnce(call).status == 200;
    }));
  }

  Outcome callOnce(const Call& aCall)
  {
    try {
      CallerConnection connection(callers());
      const auto response = connection.call(aCall);
      return { response.result_int(), response.body() };
    } catch (const boost::system::system_error&) {
      return {};
    }
  }

  /// Whether a server read the whole request, with the body that the caller sent.
  bool hasArrivedWhole(const Call& aCall)
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      for (const auto& it : server(i).arrivals()) {
        if (it.attempt == aCall.attempt && it.whole && it.body == aCall.body) {
          return true;
        }
      }
    }
    return false;
  }
};

/// Large bodies matter where the server responds before it has read them.
bool
isApplicable(const FalseAnswer& aAnswer, const RequestForm& aForm)
{
  return !aForm.isLarge() || aAnswer.at == FalseAnswer::At::RequestHead;
}

void
checkAnswer(FaultyDeployment& aDeployment, const FalseAnswer& aAnswer, const RequestForm& aForm)
{
  Call call;
  call.path = pathOf(aForm, aAnswer);
  call.method = aForm.method;
  call.deadlineMs = 2500;
  Outcome outcome;
  for (int i = 0; i < kMaxTries; ++i) {
    call.attempt = newAttempt();
    call.body = aForm.body(call.attempt);
    outcome = aDeployment.callOnce(call);
    if (outcome.status != 503 || aDeployment.arrivals(call.attempt) > 0) {
      break;
    }
    std::this_thread::sleep_for(kBetweenTries);
  }
  auto misfit = misfitOf(aForm, aAnswer, call.attempt, outcome);
  const auto arrivals = aDeployment.arrivals(call.attempt);
  if (misfit.empty() && !aForm.isRepeatable && arrivals > 1) {
    misfit = "sent " + std::to_string(arrivals) + " times";
  }
  if (misfit.empty() && aAnswer.end == FalseAnswer::End::ReadOn &&
      aAnswer.verdict == FalseAnswer::Verdict::Complete &&
      !waitUntil(Millis(aAnswer.group == "late" ? 6000 : 2000),
                 [&] { return aDeployment.hasArrivedWhole(call); })) {
    misfit = "the request is truncated";
  }
  BOOST_TEST_MESSAGE("answer=" << aAnswer.name << " form=" << aForm.name
                               << " status=" << outcome.status << " bytes=" << outcome.body.size()
                               << " misfit=\"" << misfit << "\"");
  BOOST_TEST(misfit.empty(), aAnswer.name << " " << aForm.name << ": " << misfit);
}

/// Checks the answers of the group that aSelects takes, for all forms of requests.
template<typename Selects>
void
checkAnswers(const std::string& aGroup, Selects aSelects)
{
  FaultyDeployment deployment;
  for (const auto& answer : falseAnswers()) {
    if (answer.group != aGroup || !aSelects(answer)) {
      continue;
    }
    for (const auto& form : requestForms()) {
      if (isApplicable(answer, form)) {
        checkAnswer(deployment, answer, form);
      }
    }
  }
}

bool
all(const FalseAnswer&)
{
  return true;
}

auto
framedAs(FalseAnswer::Framing aFraming, FalseAnswer::At aAt)
{
  return
    [=](const FalseAnswer& aAnswer) { return aAnswer.framing == aFraming && aAnswer.at == aAt; };
}

}

// Guards against a response without a length that is cut off while the request is being written,
// and passed on as complete.
BOOST_AUTO_TEST_CASE(routes_open_answer_before_the_whole_request_does_not_look_complete)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::None, FalseAnswer::At::RequestHead));
}

// Guards against a response without a length that a reset ends, and against refusing one that ends
// in order.
BOOST_AUTO_TEST_CASE(routes_open_answer_ends_with_a_clean_end)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::None, FalseAnswer::At::WholeRequest));
}

// Guards against a response that is shorter than its length and passed on as complete.
BOOST_AUTO_TEST_CASE(routes_answer_with_length_is_complete_with_it)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::Length, FalseAnswer::At::WholeRequest));
}

BOOST_AUTO_TEST_CASE(routes_early_answer_with_length_is_complete_with_it)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::Length, FalseAnswer::At::RequestHead));
}

// Guards against a response without its last chunk that is passed on as complete.
BOOST_AUTO_TEST_CASE(routes_chunked_answer_is_complete_with_its_last_chunk)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::Chunked, FalseAnswer::At::WholeRequest));
}

BOOST_AUTO_TEST_CASE(routes_early_chunked_answer_is_complete_with_its_last_chunk)
{
  checkAnswers("end", framedAs(FalseAnswer::Framing::Chunked, FalseAnswer::At::RequestHead));
}

// Guards against a request that is truncated as its server responds before it has read all of it.
BOOST_AUTO_TEST_CASE(routes_early_answer_leaves_the_request_whole)
{
  checkAnswers("early", all);
}

// Guards against the same when the server reads on only after some seconds.
BOOST_AUTO_TEST_CASE(routes_early_answer_leaves_a_request_whole_that_is_read_late)
{
  checkAnswers("late", all);
}

// Guards against bytes of one request in another after an early response.
BOOST_AUTO_TEST_CASE(routes_requests_after_an_early_answer_are_not_mixed)
{
  FaultyDeployment deployment;
  const auto& forms = requestForms();
  const auto form = std::find_if(
    forms.begin(), forms.end(), [](const auto& aForm) { return aForm.name == "once_large"; });
  CallerConnection connection(deployment.callers());
  for (int i = 0; i < 20; ++i) {
    auto call = callOf(i % 2 == 0 ? form->route + "false_length_early_read_on" : "/plain/ok");
    call.body = i % 2 == 0 ? form->body(call.attempt) : "body of " + call.attempt;
    const auto response = connection.call(call);
    BOOST_TEST(response.result_int() == 200U);
    BOOST_TEST(response.body() == "answer to " + call.attempt);
    BOOST_TEST(
      (waitUntil(Millis(i % 2 == 0 ? 2000 : 0), [&] { return deployment.hasArrivedWhole(call); })));
    BOOST_TEST(deployment.arrivals(call.attempt) == 1U);
  }
}

// Guards against a status that is none and that is passed on.
BOOST_AUTO_TEST_CASE(routes_status_line_that_is_none_is_no_answer)
{
  checkAnswers("status", all);
}

// Guards against an interim response that is taken for the response, or hides another one.
BOOST_AUTO_TEST_CASE(routes_interim_answer_is_no_answer)
{
  checkAnswers("interim", all);
}

// Guards against a response that two readers would end at different bytes.
BOOST_AUTO_TEST_CASE(routes_ambiguous_framing_is_no_answer)
{
  checkAnswers("framing", all);
}

// Guards against fields after the body, or of another attempt, that count as those of the response.
BOOST_AUTO_TEST_CASE(routes_trailers_and_other_attempts_do_not_make_an_answer)
{
  checkAnswers("identity", all);
}

// Guards against a server that ends the process: Beast 1.81 fails an assertion when the end of an
// empty chunked body arrives in pieces.
BOOST_AUTO_TEST_CASE(routes_empty_chunked_answer_in_pieces_does_not_end_the_process)
{
  FaultyDeployment deployment;
  CallerConnection connection(deployment.callers());
  const auto response = connection.call(callOf("/plain/false_empty_chunked_end_in_pieces"));
  BOOST_TEST(response.result_int() == 200U);
  BOOST_TEST(response.body().empty());
  BOOST_TEST(connection.call(callOf("/plain/ok")).result_int() == 200U);
}

// Guards against a response to another request that a server writes before it has got one.
BOOST_AUTO_TEST_CASE(routes_answer_before_its_request_is_no_answer)
{
  RouteDeployment deployment(1, 1);
  deployment.server(0).setGreeting("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
                                   "X-Response-Signature: sig\r\nContent-Length: 5\r\n\r\nother");
  for (int i = 0; i < 20; ++i) {
    CallerConnection connection(deployment.callers());
    // The connection to the server is a new one each time.
    const auto call = callOf("/plain/false_length_whole_close");
    const auto response = connection.call(call);
    const bool isOwn =
      response.result_int() == 200U && response.body() == "answer to " + call.attempt;
    BOOST_TEST((isOwn || response.result_int() == 502U || response.result_int() == 503U),
               response.result_int() << " " << response.body());
  }
}
