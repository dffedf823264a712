#include "instance_status.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

using namespace mustardplank::ctl;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Answers one request with the status and the path as the body.
class OneAnswer
{
public:
  explicit OneAnswer(unsigned aStatus)
    : mAcceptor(mIo, { asio::ip::make_address_v4("127.0.0.1"), 0 })
    , mThread([this, aStatus] {
      auto socket = mAcceptor.accept();
      boost::beast::flat_buffer buf;
      http::request<http::empty_body> request;
      http::read(socket, buf, request);
      http::response<http::string_body> response(static_cast<http::status>(aStatus), 11);
      response.body() = "page " + std::string(request.target()) + "\n";
      response.prepare_payload();
      http::write(socket, response);
    })
  {
  }
  ~OneAnswer() { mThread.join(); }

  std::string address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  asio::io_context mIo;
  asio::ip::tcp::acceptor mAcceptor;
  std::thread mThread;
};

struct Outcome
{
  ExitCode code;
  std::string out;
  std::string errors;
};

Outcome
statusOf(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream errors;
  const auto code = runInstanceStatus(aArguments, out, errors);
  return { code, out.str(), errors.str() };
}

}

BOOST_AUTO_TEST_SUITE(instance_status)

BOOST_AUTO_TEST_CASE(prints_what_the_instance_says)
{
  const OneAnswer instance(200);
  const auto outcome = statusOf({ "status", "--instance", instance.address() });
  BOOST_TEST((outcome.code == ExitCode::Ok));
  BOOST_TEST(outcome.out == "page /status\n");
}

// Guards against an error that leaves the operator without a next step.
BOOST_AUTO_TEST_CASE(errors_say_what_to_do)
{
  for (const auto* it : { "", "localhost:80", "10.0.0.1" }) {
    const auto outcome = statusOf({ "status", "--instance", it });
    BOOST_TEST((outcome.code == ExitCode::Usage));
    BOOST_TEST(outcome.errors.find("IP:PORT") != std::string::npos);
  }
  const auto nobody = statusOf({ "status", "--instance", "127.0.0.1:1" });
  BOOST_TEST((nobody.code == ExitCode::Unreachable));
  BOOST_TEST(nobody.errors.find("check that the instance runs") != std::string::npos);
  const OneAnswer other(404);
  const auto outcome = statusOf({ "status", "--instance", other.address() });
  BOOST_TEST((outcome.code == ExitCode::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
