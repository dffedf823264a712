#include "instance_status.hpp"

#include "mustardplank/settings/parse.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <ostream>

namespace mustardplank::ctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// An instance answers within milliseconds; a frozen one does not answer at all.
constexpr std::chrono::seconds kTimeout{ 3 };
/// Bytes of one element of the response (head, chunk size, trailer) that wait for its end.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

}

ExitCode
runInstanceStatus(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErrors)
{
  const auto address =
    aArguments.size() == 3 ? settings::parseAddress(aArguments[2]) : std::nullopt;
  if (!address) {
    aErrors << "mustardplankctl: status --instance: give the \"admin\" address of the instance's "
               "settings as IP:PORT\n";
    return ExitCode::Usage;
  }
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buf(kMaxUnparsedBytes);
  http::request<http::empty_body> request(http::verb::get, "/status", 11);
  request.set(http::field::host, aArguments[2]);
  request.keep_alive(false);
  http::response<http::string_body> response;
  beast::error_code error;
  // Timeouts of a stream hold for asynchronous calls only.
  stream.expires_after(kTimeout);
  const auto finish = [&](beast::error_code aError, std::size_t) { error = aError; };
  stream.async_connect(
    { asio::ip::make_address_v4(address->ip), address->port }, [&](beast::error_code aError) {
      error = aError;
      if (aError) {
        return;
      }
      http::async_write(stream, request, [&](beast::error_code aWritten, std::size_t) {
        error = aWritten;
        if (!aWritten) {
          http::async_read(stream, buf, response, finish);
        }
      });
    });
  io.run();
  if (error) {
    aErrors << "mustardplankctl: " << aArguments[2] << ": " << error.message()
            << "; check that the instance runs and that this is its \"admin\" address\n";
    return ExitCode::Unreachable;
  }
  if (response.result() != http::status::ok) {
    aErrors << "mustardplankctl: " << aArguments[2] << ": status " << response.result_int()
            << "; only instances in mode \"routes\" have a status page\n";
    return ExitCode::Refused;
  }
  aOut << response.body();
  return ExitCode::Ok;
}

}
