#pragma once

#include "asio_types.hpp"
#include "backend_client.hpp"

#include "mustardplank/base/sink_body.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mustardplank::traffic {

struct Request;

/// One request on a connection to a backend server, and its answer.
class BackendExchange
{
public:
  enum class Result
  {
    /// More may follow.
    Ok,
    /// The answer is complete.
    Done,
    /// The connection broke or the backend server was silent for too long.
    Lost,
    /// The backend server sent something that is no HTTP, or the body's sink stopped.
    Malformed,
  };

  /// aOnBody takes the pieces of the answer's body and returns whether to go on.
  BackendExchange(std::shared_ptr<BackendConnection> aConnection,
                  std::function<bool(std::string_view)> aOnBody);

  /// Writes the request. aBody must live until then.
  Task<Result> send(const Request& aRequest, std::string_view aBody);
  /// Reads until the header of the answer is complete. aTimeout is for the first byte.
  Task<Result> readHeader(Duration aTimeout);
  /// Hands on what came already. Ok means that more has to be read.
  Result takeBuffered();
  /// For the caller's own read, which saves a coroutine for each token: where to read to, and then
  /// what came of it.
  boost::asio::mutable_buffer beginRead(Duration aTimeout);
  Result endRead(boost::system::error_code aError, std::size_t aBytes);
  Socket& socket() { return mConnection->socket; }
  /// Reads once and hands on what came.
  Task<Result> readSome(Duration aTimeout);

  unsigned status() const { return mParser.get().result_int(); }
  std::string contentType() const;
  bool receivedAnything() const { return mReceivedAnything; }
  /// Whether the connection can carry another request.
  bool isReusable() const;

private:
  Result consume();

  std::shared_ptr<BackendConnection> mConnection;
  boost::beast::http::response_parser<SinkBody> mParser;
  bool mReceivedAnything = false;
};

}
